"""One proxy's part in a change of the shard map."""

from collections.abc import Callable

from ..config.service_plan import DatabaseRoute
from ..failover.service_primary import PrimaryState
from ..failover.shard_state import GIVE_UP_US, SHARDS_KEY, UNTOLD_US, ShardPhase, ShardState, Vote
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .in_flight_writes import InFlightWrites
from .relayed_view import LEASE_US, RelayedView, ShardVote

DRAIN_US = 250_000
UNKNOWN_US = 1_000_000
OWED_US = 250_000


class Shards:
    """Holds the old map until the new one is in force and agreed with here; never both.

    While the map closes, its moving databases take no writes and no reads that must see all; older reads go on
    at the old place, as long as nothing that they must see can stand at the new one.
    """

    def __init__(self, *, ctx: Context, view: RelayedView, open_: Callable[[frozenset[str]], bool]) -> None:
        self.ctx = ctx
        self.view = view
        self.open_ = open_
        self.in_flight = InFlightWrites(ctx=ctx)
        self.held = ShardState()
        self.heard_us = 0
        self.moved_us: dict[str, int] = {}
        self.last_old_us = 0
        view.changes.subscribe(self._changed)
        view.vote = self.vote

    def _changed(self, key: str) -> None:
        if key == SHARDS_KEY:
            self.heard_us = self.ctx.now_us()
            self.look()
            if self.view.shards.phase == ShardPhase.closing:
                self.ctx.spawn(work=self._give_up(turn=self.view.shards.turn), name="shards.give_up")

    async def _give_up(self, *, turn: int) -> None:
        """What is not answered by then is not waited for, since it may lie in a cut."""
        await self.ctx.sleep(duration_us=GIVE_UP_US)
        word = self.view.shards
        if word.turn == turn and word.phase == ShardPhase.closing:
            self.in_flight.abandon(databases=self._moving(), older_than_us=GIVE_UP_US)

    def look(self) -> None:
        """Takes the register's word over, if it is agreed with here; once the view lapses, gives up what is owed."""
        # why: a map may be closing and nobody here is told, and what was sent in time must not arrive out of time
        if self.ctx.now_us() >= self.view.as_of_us + LEASE_US:
            self.in_flight.abandon(databases=None, older_than_us=OWED_US)
        word = self.view.shards
        if word.current.version == self.held.current.version:
            self.held = word
            # why: while the register's word was the old map, nothing can have been written at a new place
            self.last_old_us = self.view.as_of_us
            return
        if not self._fits(state=word):
            return
        now_us = self.ctx.now_us()
        for database in set(word.current.places) | set(self.held.current.places):
            if word.current.places.get(database) != self.held.current.places.get(database):
                self.moved_us[database] = now_us
        self.held = word
        self.ctx.log.info("shard map %d taken over", word.current.version)

    def _fits(self, *, state: ShardState) -> bool:
        """Whether this proxy knows every place of a map, and who leads there."""
        places = state.following if state.phase != ShardPhase.steady else state.current
        plan = self.view.plan
        if plan is None:
            return False
        for database, service in places.places.items():
            lead = self.view.leads.get(service)
            known = service in plan.services and lead is not None and lead.state == PrimaryState.settled
            if database not in plan.routes or not known:
                return False
        return True

    def vote(self) -> ShardVote:
        """What this proxy tells its controller of the map that is to follow."""
        word = self.view.shards
        if word.phase == ShardPhase.steady:
            return ShardVote(0, Vote.silent)
        if word.phase == ShardPhase.proposed:
            return ShardVote(word.turn, Vote.agrees if self._fits(state=word) else Vote.disagrees)
        return ShardVote(word.turn, Vote.silent if self._busy() else Vote.closed)

    def _busy(self) -> bool:
        """Whether anything may still land at the moving databases' old places."""
        moving, within_us = self._moving(), self.view.shards.under_way_us
        if any(self.in_flight.may_land(database=database, within_us=within_us) for database in moving):
            return True
        return self.ctx.now_us() - self.heard_us < DRAIN_US and self.open_(moving)

    def _moving(self) -> frozenset[str]:
        word = self.view.shards
        names = set(word.current.places) | set(word.following.places)
        return frozenset(name for name in names if word.moving(database=name))

    def place(self, *, route: DatabaseRoute) -> str:
        return self.held.current.place(database=route.database, planned=route.service)

    def _behind(self, *, database: str) -> bool:
        """Whether the register has moved on to a map that is not agreed with here, and this database with it."""
        word = self.view.shards.current
        return word.places.get(database) != self.held.current.places.get(database)

    def fault(self, *, database: str) -> CinderstairError | None:
        """Why nothing may be written or read in full here now; None where it may."""
        if self._behind(database=database):
            return CinderstairError(
                code=ErrorCode.MOVING,
                reason="its place has moved, and is not known here",
                details={"left_us": UNKNOWN_US},
            )
        word = self.view.shards
        if word.phase == ShardPhase.closing and word.moving(database=database):
            left_us = max(50_000, self.heard_us + word.ready_in_us - self.ctx.now_us())
            return CinderstairError(code=ErrorCode.MOVING, reason="its place moves", details={"left_us": left_us})
        return None

    def may_end(self, *, database: str, since_us: int) -> bool:
        """Whether a transaction that began then may still go on and commit where it began."""
        word = self.view.shards
        if self._behind(database=database) or self.moved_us.get(database, since_us) > since_us:
            return False
        if word.phase == ShardPhase.steady:
            # why: whoever is out of touch may have missed a proposal, which stands for as long before anything closes
            return self.ctx.now_us() < self.view.as_of_us + LEASE_US + UNTOLD_US
        # why: with a change on its way, whoever is out of touch may have missed that it has come
        closing = word.phase == ShardPhase.closing and word.moving(database=database)
        return self.view.current and not (closing and self.ctx.now_us() - self.heard_us >= DRAIN_US)

    def read_since_us(self, *, database: str, since_us: int) -> int | None:
        """The moment from which a sample must be, for a read of what is older than `since_us`; None: not here.

        A sample from before the move says nothing of what was brought over.
        """
        if self._behind(database=database) and since_us > self.last_old_us:
            return None
        closing = self.view.shards.phase == ShardPhase.closing and self.view.shards.moving(database=database)
        if closing and since_us > self.view.as_of_us:
            return None
        return max(since_us, self.moved_us.get(database, since_us))
