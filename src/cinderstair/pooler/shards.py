"""Applies shard maps at one proxy, and votes on changes."""

from collections.abc import Callable

from ..config.service_plan import DatabaseRoute
from ..failover.service_primary import PrimaryState
from ..failover.shard_state import CLOSING_REPLY_TIMEOUT_US, MIN_PROPOSED_US, SHARDS_KEY, ShardPhase, ShardState, Vote
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .in_flight_writes import InFlightWrites
from .relayed_view import LEASE_US, RelayedView, ShardVote

# How long open transactions may continue after the map began to close for their database.
DRAIN_US = 250_000
# The retry time given to clients while the newest map can't be applied here.
UNKNOWN_MAP_RETRY_US = 1_000_000
# While the view is not current, writes unanswered for this long are abandoned.
UNANSWERED_LIMIT_US = 250_000
MIN_RETRY_US = 50_000


class Shards:
    """Owns the shard map by which this proxy routes: the old one until the new one is in force and applicable here.

    While the map closes, its moving databases accept neither writes nor reads that must see all commits. Reads with
    an older bound continue at the old service, as long as no commit that they must see can be at the new one.

    `applied`: the map by which this proxy routes. `changed_us`: when the register's map last changed.
    `moved_us`: when each database was last routed to another service. `old_as_of_us`: the latest time for which the
    view confirmed that the applied map is the register's. All times are by this proxy's clock.
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
        """Abandons writes still unanswered CLOSING_REPLY_TIMEOUT_US after the map began to close.

        A partition may delay them.
        """
        await self.ctx.sleep(duration_us=CLOSING_REPLY_TIMEOUT_US)
        state = self.view.shards
        if state.proposal == proposal and state.phase == ShardPhase.closing:
            self.in_flight.abandon(databases=self._moving(), older_than_us=CLOSING_REPLY_TIMEOUT_US)

    def update(self) -> None:
        """Applies the register's map if possible; abandons unanswered writes while the view is not current."""
        # A map may be closing without this proxy's knowledge, and a write sent before that must not take effect late.
        if self.ctx.now_us() >= self.view.as_of_us + LEASE_US:
            self.in_flight.abandon(databases=None, older_than_us=UNANSWERED_LIMIT_US)
        state = self.view.shards
        if state.current.version == self.applied.current.version:
            self.applied = state
            # While the register had this map, no write can have been made at another service.
            self.old_as_of_us = self.view.as_of_us
            return
        if not self._applicable(state=state):
            return
        now_us = self.ctx.now_us()
        for database in set(state.current.placements) | set(self.applied.current.placements):
            if state.current.placements.get(database) != self.applied.current.placements.get(database):
                self.moved_us[database] = now_us
        self.applied = state
        self.ctx.log.info("shard map %d applied", state.current.version)

    def _applicable(self, *, state: ShardState) -> bool:
        """Whether every database and service of the map is known here, with a settled primary."""
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
        """This proxy's vote on the present proposal, which its controller passes on."""
        state = self.view.shards
        if state.phase == ShardPhase.steady:
            return ShardVote(0, Vote.silent)
        if state.phase == ShardPhase.proposed:
            return ShardVote(state.proposal, Vote.agrees if self._applicable(state=state) else Vote.disagrees)
        return ShardVote(state.proposal, Vote.silent if self._busy() else Vote.closed)

    def _busy(self) -> bool:
        """Whether a write or transaction may still take effect at a moving database's old service."""
        moving, within_us = self._moving(), self.view.shards.in_flight_us
        if any(self.in_flight.may_take_effect(database=database, within_us=within_us) for database in moving):
            return True
        return self.ctx.now_us() - self.changed_us < DRAIN_US and self.has_open_writes(moving)

    def _moving(self) -> frozenset[str]:
        state = self.view.shards
        names = set(state.current.placements) | set(state.following.placements)
        return frozenset(name for name in names if state.moving(database=name))

    def service_of(self, *, route: DatabaseRoute) -> str:
        """The service that has a route's database by the applied map."""
        return self.applied.current.service_of(database=route.database, planned=route.service)

    def _behind(self, *, database: str) -> bool:
        """Whether the register has a later map that can't be applied here and concerns this database."""
        current = self.view.shards.current
        return current.placements.get(database) != self.applied.current.placements.get(database)

    def fault(self, *, database: str) -> CinderstairError | None:
        """The error for writes, and for reads that must see all commits, while the database moves; None otherwise.

        The detail `left_us` is the time after which to retry, in microseconds.
        """
        if self._behind(database=database):
            return CinderstairError(
                code=ErrorCode.MOVING,
                reason=f"{database} has moved to a service that this proxy does not know yet",
                details={"left_us": UNKNOWN_MAP_RETRY_US},
            )
        state = self.view.shards
        if state.phase == ShardPhase.closing and state.moving(database=database):
            left_us = max(MIN_RETRY_US, self.changed_us + state.ready_in_us - self.ctx.now_us())
            return CinderstairError(
                code=ErrorCode.MOVING, reason=f"{database} is moving to another service", details={"left_us": left_us}
            )
        return None

    def may_end(self, *, database: str, since_us: int) -> bool:
        """Whether a transaction that began at `since_us` may continue and commit at the service where it began."""
        state = self.view.shards
        if self._behind(database=database) or self.moved_us.get(database, since_us) > since_us:
            return False
        if state.phase == ShardPhase.steady:
            # A proxy without updates may have missed a proposal, but a map begins to close MIN_PROPOSED_US later
            # at the earliest.
            return self.ctx.now_us() < self.view.as_of_us + LEASE_US + MIN_PROPOSED_US
        # During a change, a proxy whose view is not current may have missed that the map closes.
        closing = state.phase == ShardPhase.closing and state.moving(database=database)
        return self.view.current and not (closing and self.ctx.now_us() - self.changed_us >= DRAIN_US)

    def read_since_us(self, *, database: str, since_us: int) -> int | None:
        """The earliest time of a position sample that can serve a read of all commits before `since_us`.

        A sample from before a move does not cover the commits that were copied to the new service.

        :returns: None where the read can't be served by the applied map.
        """
        if self._behind(database=database) and since_us > self.old_as_of_us:
            return None
        closing = self.view.shards.phase == ShardPhase.closing and self.view.shards.moving(database=database)
        if closing and since_us > self.view.as_of_us:
            return None
        return max(since_us, self.moved_us.get(database, since_us))
