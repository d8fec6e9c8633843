"""One proxy's part in a change of the shard map."""

from collections.abc import Callable

from ..config.service_plan import DatabaseRoute
from ..failover.service_primary import PrimaryState
from ..failover.shard_state import GIVE_UP_US, SHARDS_KEY, UNNOTIFIED_GRACE_US, ShardPhase, ShardState, Vote
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .in_flight_writes import InFlightWrites
from .relayed_view import LEASE_US, RelayedView, ShardVote

# Open transactions may go on for so long after their database began to move.
DRAIN_US = 250_000
# When a map that can't be applied here is expected to be applicable.
UNKNOWN_MAP_RETRY_US = 1_000_000
# Once the view has lapsed, writes without an answer for so long are abandoned.
UNANSWERED_LIMIT_US = 250_000
MIN_RETRY_US = 50_000


class Shards:
    """Applies the old map until the new one is in force and can be applied here; never both.

    While the map closes, its moving databases take no writes and no reads that must see all commits; older reads go
    on at the old service, as long as nothing that they must see can be at the new one.

    `applied`: the map by which this proxy routes. `changed_us`: when the register's map last changed.
    `moved_us`: when each database was routed elsewhere. `old_as_of_us`: the last moment for which the view showed
    that the applied map was the register's. All are moments by this proxy's clock.
    """

    def __init__(self, *, ctx: Context, view: RelayedView, has_open_writes: Callable[[frozenset[str]], bool]) -> None:
        """
        :param has_open_writes: whether a transaction that may write is open at any of these databases.
        """
        self.ctx = ctx
        self.view = view
        self.has_open_writes = has_open_writes
        self.in_flight = InFlightWrites(ctx=ctx)
        self.applied = ShardState()
        self.changed_us = 0
        self.moved_us: dict[str, int] = {}
        self.old_as_of_us = 0
        view.changes.subscribe(self._changed)
        view.vote = self.vote

    def _changed(self, key: str) -> None:
        if key == SHARDS_KEY:
            self.changed_us = self.ctx.now_us()
            self.update()
            if self.view.shards.phase == ShardPhase.closing:
                self.ctx.spawn(work=self._abandon_late(proposal=self.view.shards.proposal), name="shards.give_up")

    async def _abandon_late(self, *, proposal: int) -> None:
        """Abandons writes that are unanswered when the map has been closing for long; a partition may hold them."""
        await self.ctx.sleep(duration_us=GIVE_UP_US)
        state = self.view.shards
        if state.proposal == proposal and state.phase == ShardPhase.closing:
            self.in_flight.abandon(databases=self._moving(), older_than_us=GIVE_UP_US)

    def update(self) -> None:
        """Applies the register's map if that is possible here; once the view lapses, abandons unanswered writes."""
        # A map may be closing without this proxy's knowledge, and what was sent in time must not arrive too late.
        if self.ctx.now_us() >= self.view.as_of_us + LEASE_US:
            self.in_flight.abandon(databases=None, older_than_us=UNANSWERED_LIMIT_US)
        state = self.view.shards
        if state.current.version == self.applied.current.version:
            self.applied = state
            # While the register had the old map, nothing can have been written at a new service.
            self.old_as_of_us = self.view.as_of_us
            return
        if not self._applicable(state=state):
            return
        now_us = self.ctx.now_us()
        for database in set(state.current.placements) | set(self.applied.current.placements):
            if state.current.placements.get(database) != self.applied.current.placements.get(database):
                self.moved_us[database] = now_us
        self.applied = state
        self.ctx.log.info("shard map %d taken over", state.current.version)

    def _applicable(self, *, state: ShardState) -> bool:
        """Whether this proxy knows every service of a map and its primary."""
        shard_map = state.following if state.phase != ShardPhase.steady else state.current
        plan = self.view.plan
        if plan is None:
            return False
        for database, service in shard_map.placements.items():
            assignment = self.view.primaries.get(service)
            known = service in plan.services and assignment is not None and assignment.state == PrimaryState.settled
            if database not in plan.routes or not known:
                return False
        return True

    def vote(self) -> ShardVote:
        """What this proxy tells its controller of the map that is to follow."""
        state = self.view.shards
        if state.phase == ShardPhase.steady:
            return ShardVote(0, Vote.silent)
        if state.phase == ShardPhase.proposed:
            return ShardVote(state.proposal, Vote.agrees if self._applicable(state=state) else Vote.disagrees)
        return ShardVote(state.proposal, Vote.silent if self._busy() else Vote.closed)

    def _busy(self) -> bool:
        """Whether anything may still take effect at the moving databases' old services."""
        moving, within_us = self._moving(), self.view.shards.in_flight_us
        if any(self.in_flight.may_take_effect(database=database, within_us=within_us) for database in moving):
            return True
        return self.ctx.now_us() - self.changed_us < DRAIN_US and self.has_open_writes(moving)

    def _moving(self) -> frozenset[str]:
        state = self.view.shards
        names = set(state.current.placements) | set(state.following.placements)
        return frozenset(name for name in names if state.moving(database=name))

    def service_of(self, *, route: DatabaseRoute) -> str:
        """The service to which a route's database belongs by the applied map."""
        return self.applied.current.service_of(database=route.database, planned=route.service)

    def _behind(self, *, database: str) -> bool:
        """Whether the register has a later map that can't be applied here and concerns this database."""
        current = self.view.shards.current
        return current.placements.get(database) != self.applied.current.placements.get(database)

    def fault(self, *, database: str) -> CinderstairError | None:
        """Why the database takes no writes and no full reads now; None where it does.

        Its detail `left_us` says when to ask again.
        """
        if self._behind(database=database):
            return CinderstairError(
                code=ErrorCode.MOVING,
                reason="its place has moved, and is not known here",
                details={"left_us": UNKNOWN_MAP_RETRY_US},
            )
        state = self.view.shards
        if state.phase == ShardPhase.closing and state.moving(database=database):
            left_us = max(MIN_RETRY_US, self.changed_us + state.ready_in_us - self.ctx.now_us())
            return CinderstairError(code=ErrorCode.MOVING, reason="its place moves", details={"left_us": left_us})
        return None

    def may_end(self, *, database: str, since_us: int) -> bool:
        """Whether a transaction that began at `since_us` may still go on and commit where it began."""
        state = self.view.shards
        if self._behind(database=database) or self.moved_us.get(database, since_us) > since_us:
            return False
        if state.phase == ShardPhase.steady:
            # A proxy without news may have missed a proposal, which stands for UNNOTIFIED_GRACE_US before anything
            # closes.
            return self.ctx.now_us() < self.view.as_of_us + LEASE_US + UNNOTIFIED_GRACE_US
        # During a change, a proxy without news may have missed that the map closes.
        closing = state.phase == ShardPhase.closing and state.moving(database=database)
        return self.view.current and not (closing and self.ctx.now_us() - self.changed_us >= DRAIN_US)

    def read_since_us(self, *, database: str, since_us: int) -> int | None:
        """The earliest moment of a sample that serves a read of what was committed before `since_us`.

        A sample from before a move says nothing of what was copied to the new service.

        :returns: None where the read can't be served here.
        """
        if self._behind(database=database) and since_us > self.old_as_of_us:
            return None
        closing = self.view.shards.phase == ShardPhase.closing and self.view.shards.moving(database=database)
        if closing and since_us > self.view.as_of_us:
            return None
        return max(since_us, self.moved_us.get(database, since_us))
