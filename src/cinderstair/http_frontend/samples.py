"""Samples the primary's log position, to bound the staleness of replica reads without comparing clocks."""

from collections import deque
from dataclasses import dataclass

from ..failover.database_primary import DatabasePrimary
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from .backend_reachability import BackendReachability
from .connection_pools import ConnectionPools
from .position_query import query_position
from .view import View

SAMPLE_EVERY_US = 250_000
# older samples are dropped; reads with a longer staleness bound use the oldest one left
KEEP_US = 3_000_000


@dataclass(frozen=True, kw_only=True)
class Sample:
    """At some time after `began_us` (local clock) the primary of `term` was at `position`."""

    began_us: int
    term: int
    position: int


class Samples(CommandQueueMixin):
    """Owns the recent samples of all databases, taken every SAMPLE_EVERY_US."""

    def __init__(
        self, *, ctx: Context, view: View, connection_pools: ConnectionPools, reachability: BackendReachability
    ) -> None:
        self.reachability = reachability
        self.ctx = ctx
        self.view = view
        self.connection_pools = connection_pools
        self.samples: dict[str, deque[Sample]] = {}
        self.open_queue()
        self.every(every_us=SAMPLE_EVERY_US, command=self._sample_all, name="sample")

    def _sample_all(self) -> None:
        for database in self.view.primaries:
            self.ctx.spawn(work=self.sample(database=database), name="sample")

    async def sample(self, *, database: str) -> None:
        """Queries the primary of a database and records its position; without a valid reply nothing is recorded."""
        assignment = self.view.assignment(database=database)
        if assignment is None or not assignment.serves:
            return
        began_us = self.ctx.now_us()
        position = await query_position(connection_pools=self.connection_pools, name=assignment.primary)
        if position.is_error() or not position.ok.is_primary or position.ok.term != assignment.term:
            return
        # the position is the newest one only while no other backend can have been promoted
        if not self.view.current or not self._unchanged(database=database, assignment=assignment):
            return
        self.reachability.record_answer()
        samples = self.samples.setdefault(database, deque())
        samples.append(Sample(began_us=began_us, term=assignment.term, position=position.ok.received))
        while samples and samples[0].began_us < self.ctx.now_us() - KEEP_US:
            samples.popleft()

    def _unchanged(self, *, database: str, assignment: DatabasePrimary) -> bool:
        now = self.view.assignment(database=database)
        return now is not None and now.term == assignment.term and now.serves

    def floor(self, *, database: str, term: int, since_us: int) -> int | None:
        """The position that covers all commits acknowledged before `since_us`; None without a sample since then."""
        eligible = [s for s in self.samples.get(database, ()) if s.term == term and s.began_us >= since_us]
        return min((sample.position for sample in eligible), default=None)
