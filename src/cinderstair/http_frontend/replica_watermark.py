"""Tracks how far one replica has durably received the log, for the commits that wait for it."""

import asyncio
from dataclasses import dataclass

from ..runtime.context import Context
from .connection_pools import ConnectionPools
from .position_query import query_position

# how long a replica may hold a position query until it has received the position
HOLD_US = 200_000
RETRY_PAUSE_US = 20_000
MAX_FAILURES = 20


@dataclass(frozen=True, slots=True)
class PendingPosition:
    """A position of a term that a commit waits for."""

    term: int
    position: int


class ReplicaWatermark:
    """Owns the term and the position that a replica last reported.

    One position query at a time serves all commits that wait for the replica. Polling stops when nothing is pending
    or after MAX_FAILURES failed queries.
    """

    def __init__(self, *, ctx: Context, connection_pools: ConnectionPools, name: str) -> None:
        self.ctx = ctx
        self.connection_pools = connection_pools
        self.name = name
        self.term = 0
        self.received = 0
        self.pending: list[PendingPosition] = []
        self.polling = False
        self.changed = asyncio.Event()

    def covers(self, *, term: int, position: int) -> bool:
        """Whether the replica is known to have received a position of a term."""
        return self.term == term and self.received >= position

    def request(self, *, term: int, position: int) -> None:
        """Polls the replica until it has received a position; `changed` is set at each reply."""
        self.pending.append(PendingPosition(term, position))
        if not self.polling:
            self.polling = True
            self.ctx.spawn(work=self._poll(), name=f"watermark.{self.name}")

    def _lowest_pending(self) -> int:
        """Drops positions that are covered or of an older term; the lowest one left, or 0."""
        self.pending = [
            each
            for each in self.pending
            if not self.covers(term=each.term, position=each.position) and each.term >= self.term
        ]
        return min((each.position for each in self.pending), default=0)

    async def _poll(self) -> None:
        failures = 0
        try:
            # the failover removes a replica that does not answer; commits have deadlines of their own
            while (position := self._lowest_pending()) and failures < MAX_FAILURES:
                answer = await query_position(
                    connection_pools=self.connection_pools, name=self.name, at_least=position, hold_us=HOLD_US
                )
                if answer.is_ok():
                    # positions of different terms can't be compared, so both are replaced together
                    self.term, self.received = answer.ok.term, answer.ok.received
                    self.changed.set()
                    self.changed = asyncio.Event()
                else:
                    failures += 1
                    await self.ctx.sleep(duration_us=RETRY_PAUSE_US * 2)
                await self.ctx.sleep(
                    duration_us=0 if answer.is_ok() and answer.ok.received >= position else RETRY_PAUSE_US
                )
        finally:
            self.pending = []
            self.polling = False
