"""Which replicas of a database are in sync: drops those that lag, and takes in those that follow, in two steps."""

from collections import deque
from dataclasses import dataclass, replace

from ..config.configuration import Configuration
from ..http_frontend.position_query import BackendPosition, query_position
from .database_failover_context import DatabaseFailoverContext
from .database_primary import DatabasePrimary

# A replica keeps up if it has by now what the primary had this long ago, and is dropped after lagging for as long.
LAG_US = 1_000_000
# Every commit waits for a replica that joins, so it joins when every HTTP proxy has had the time to open its
# channels to it: this long after a view's lease. Before that, writes would have to be denied for want of channels.
CHANNELS_OPEN_US = 1_300_000


@dataclass(frozen=True, kw_only=True)
class PrimaryProgress:
    """How far the primary of a term was at a time."""

    at_us: int
    term: int
    received: int


class InSyncTracker:
    """Invariant: every acknowledged commit is durable at each replica that is in sync, so that any may be promoted;
    and the last one in sync is never dropped, for it alone could replace a primary that dies now.
    """

    def __init__(self, *, failover: DatabaseFailoverContext) -> None:
        self.failover = failover
        self.progress: dict[str, deque[PrimaryProgress]] = {}
        self.lagging_since_us: dict[str, int] = {}
        self.fit_since_us: dict[str, int] = {}
        # why a window can't empty a replica yet, by database; shown to operators
        self.holds: dict[str, str] = {}

    def forget(self) -> None:
        """For a new holder: what it measured in an earlier time as holder says nothing now."""
        self.lagging_since_us.clear()
        self.progress.clear()

    async def update(self, *, database: str, configuration: Configuration, assignment: DatabasePrimary) -> None:
        """One look at all replicas; changes the assignment by one step at most."""
        failover, now_us = self.failover, self.failover.ctx.now_us()
        names = configuration.databases.get(database, ())
        positions = await self._positions(names=names, assignment=assignment)
        primary = positions.get(assignment.primary)
        if primary is None or not primary.is_primary or primary.term != assignment.term:
            return
        mark = self._mark(database=database, term=assignment.term, received=primary.received, now_us=now_us)
        following = _arrived(positions=positions, term=assignment.term, mark=mark)
        self._note_fit(names=names, now_us=now_us)
        changed = self._without_lagging(database=database, assignment=assignment, following=following, now_us=now_us)
        if changed is None:
            most = configuration.amount(name="inSync", database=database)
            changed = await self._with_joining(
                database=database, assignment=assignment, names=names, following=following, most=most
            )
        if changed is not None:
            await failover.assignments.compare_and_set(database=database, old=assignment, new=changed)
        reason = "" if assignment.in_sync else "no replica is in sync; writes are denied"
        failover.blocking.report(name=database, reason=reason)

    # -- what is seen --

    async def _positions(self, *, names: tuple[str, ...], assignment: DatabasePrimary) -> dict[str, BackendPosition]:
        # A backend that is empty for maintenance is left alone, unless commits still wait for it.
        staying = self.failover.staying(names=names)
        requested = tuple(dict.fromkeys((assignment.primary, *assignment.confirmers, *staying)))
        return await self.failover.positions(names=self.failover.healthy(names=requested))

    def _mark(self, *, database: str, term: int, received: int, now_us: int) -> int:
        """How far the primary was `LAG_US` ago; a replica that has as much keeps up."""
        progress = self.progress.setdefault(database, deque())
        progress.append(PrimaryProgress(at_us=now_us, term=term, received=received))
        while len(progress) > 1 and progress[1].at_us <= now_us - LAG_US:
            progress.popleft()
        return min((each.received for each in progress if each.term == term), default=received)

    def _note_fit(self, *, names: tuple[str, ...], now_us: int) -> None:
        """Keeps since when each backend is healthy without a break; those of other databases stay as they are."""
        others = {name: since_us for name, since_us in self.fit_since_us.items() if name not in names}
        healthy = {name: self.fit_since_us.get(name, now_us) for name in self.failover.staying(names=names)}
        self.fit_since_us = healthy | others

    # -- who is dropped --

    def _without_lagging(
        self, *, database: str, assignment: DatabasePrimary, following: set[str], now_us: int
    ) -> DatabasePrimary | None:
        """The assignment without those that lag or are to be empty; None where it stays as it is."""
        lagging = self._lagging(names=assignment.confirmers, following=following, now_us=now_us)
        in_sync = tuple(name for name in assignment.in_sync if name not in lagging)
        in_sync = self._without_maintenance(database=database, in_sync=in_sync, following=following)
        if assignment.in_sync and not in_sync:
            in_sync = assignment.in_sync[:1]
        joining = tuple(name for name in assignment.joining if name not in lagging)
        if (in_sync, joining) == (assignment.in_sync, assignment.joining):
            return None
        return replace(assignment, in_sync=in_sync, joining=joining)

    def _lagging(self, *, names: tuple[str, ...], following: set[str], now_us: int) -> set[str]:
        """Those to drop: at once where the heartbeats call them unfit, else after `LAG_US` of lagging."""
        for name in names:
            if name in following:
                self.lagging_since_us.pop(name, None)
            else:
                self.lagging_since_us.setdefault(name, now_us)
        since_us = self.lagging_since_us
        healthy = self.failover.healthy(names=names)
        lagging = {name for name in names if name in since_us and now_us - since_us[name] > LAG_US}
        return lagging | {name for name in names if name in since_us and name not in healthy}

    def _without_maintenance(
        self, *, database: str, in_sync: tuple[str, ...], following: set[str]
    ) -> tuple[str, ...]:
        """Drops whom a window wants empty, as soon as somebody outside of it is in sync; until then one stays."""
        failover = self.failover
        self.holds.pop(database, None)
        if any(name in following for name in failover.staying(names=in_sync)):
            return tuple(name for name in in_sync if not failover.in_maintenance(name=name))
        if not any(failover.in_maintenance(name=name) for name in in_sync):
            return in_sync
        kept = min(in_sync, key=lambda name: name not in following)
        self.holds[database] = f"window holds back: nobody outside it is in sync, so {kept} stays"
        return (kept,)

    # -- who joins --

    async def _with_joining(
        self,
        *,
        database: str,
        assignment: DatabasePrimary,
        names: tuple[str, ...],
        following: set[str],
        most: int,
    ) -> DatabasePrimary | None:
        """The assignment with the next step of a replica's joining; None where there is none to take."""
        assignments = self.failover.assignments
        if not assignment.joining:
            return self._start_joining(assignment=assignment, names=names, following=following, most=most)
        # Only when older views have expired does every commit wait for the joining ones.
        if assignments.age_us(database=database) > assignments.view_expiry_us:
            return await self._finish_joining(assignment=assignment)
        return None

    def _start_joining(
        self, *, assignment: DatabasePrimary, names: tuple[str, ...], following: set[str], most: int
    ) -> DatabasePrimary | None:
        failover = self.failover
        known = (assignment.primary, *assignment.confirmers)
        fresh = tuple(name for name in names if name in following and name not in known)
        fit_by_us = failover.ctx.now_us() - failover.view.lease_us - CHANNELS_OPEN_US
        ripe = tuple(
            name
            for name in failover.staying(names=fresh)
            if name in self.fit_since_us and self.fit_since_us[name] <= fit_by_us
        )
        room = most - sum(not failover.in_maintenance(name=name) for name in assignment.in_sync)
        return replace(assignment, joining=ripe[:room]) if ripe and room > 0 else None

    async def _finish_joining(self, *, assignment: DatabasePrimary) -> DatabasePrimary | None:
        """Takes in those that have all up to the primary's present end, since what follows waits for them."""
        failover = self.failover
        mark = await query_position(connection_pools=failover.connection_pools, name=assignment.primary, direct=True)
        if mark.is_error() or mark.ok.term != assignment.term:
            return None
        positions = await failover.positions(names=assignment.joining)
        found = _arrived(positions=positions, term=assignment.term, mark=mark.ok.received)
        arrived = tuple(name for name in assignment.joining if name in found)
        if not arrived:
            return None
        joining = tuple(name for name in assignment.joining if name not in arrived)
        return replace(assignment, in_sync=(*assignment.in_sync, *arrived), joining=joining, successors=())


def _arrived(*, positions: dict[str, BackendPosition], term: int, mark: int) -> set[str]:
    """Who has received everything up to `mark` in this term."""
    return {name for name, each in positions.items() if each.term == term and each.received >= mark}
