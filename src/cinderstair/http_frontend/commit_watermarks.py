"""Decides when a commit may be acknowledged, from the watermarks of the replicas that must hold it."""

import asyncio

from ..runtime.context import Context
from .connection_pools import ConnectionPools
from .replica_watermark import ReplicaWatermark
from .view import View

# how often the primary assignment and the view are checked while a commit waits
RECHECK_US = 50_000


class CommitWatermarks:
    """Owns one watermark per replica, and waits for replicas to reach a position of a term."""

    def __init__(self, *, ctx: Context, view: View, connection_pools: ConnectionPools) -> None:
        self.ctx = ctx
        self.view = view
        self.connection_pools = connection_pools
        self.watermarks: dict[str, ReplicaWatermark] = {}

    def watermark(self, *, name: str) -> ReplicaWatermark:
        """The watermark of a replica, created on first use."""
        if name not in self.watermarks:
            self.watermarks[name] = ReplicaWatermark(ctx=self.ctx, connection_pools=self.connection_pools, name=name)
        return self.watermarks[name]

    def term_in_force(self, *, database: str, term: int) -> bool:
        """Whether the term is still in force and serves, by a view that is current."""
        assignment = self.view.assignment(database=database)
        return self.view.current and assignment is not None and assignment.term == term and assignment.serves

    async def durable(self, *, database: str, term: int, position: int, until_us: int) -> bool:
        """Waits until every in-sync and joining replica has received a position.

        :param until_us: the deadline on the local clock.
        :returns: True once they all have it and the term is still in force; False when the term has ended or the
            deadline has passed.
        """
        polled: set[str] = set()
        while True:
            assignment = self.view.assignment(database=database)
            # once another term has begun, no commit of this one may be acknowledged
            if assignment is None or assignment.term != term or not assignment.serves:
                return False
            missing = [
                name
                for name in assignment.confirmers
                if not self.watermark(name=name).covers(term=term, position=position)
            ]
            # without an in-sync replica the commit would exist on the primary's disk only
            if assignment.in_sync and not missing and self.view.current:
                return True
            left_us = until_us - self.ctx.now_us()
            if left_us <= 0:
                return False
            for name in missing:
                if name not in polled or not self.watermark(name=name).polling:
                    polled.add(name)
                    self.watermark(name=name).request(term=term, position=position)
            await self._wait_for_any(names=missing, wait_us=min(left_us, RECHECK_US))

    async def _wait_for_any(self, *, names: list[str], wait_us: int) -> None:
        waits = [
            self.ctx.spawn(work=self._wait_for_watermark(name=name, wait_us=wait_us), name="watermark")
            for name in names
        ]
        if not waits:
            await self.ctx.sleep(duration_us=wait_us)
            return
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)

    async def _wait_for_watermark(self, *, name: str, wait_us: int) -> None:
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                await self.watermark(name=name).changed.wait()
        except TimeoutError:
            pass
