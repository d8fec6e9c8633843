"""Maintains the in-sync set of each database: removes lagging replicas, and adds replicas that keep up.

A replica is added in two steps: it joins, so that every new commit waits for it, and is in sync once it has also
received all earlier commits."""

from collections import deque
from dataclasses import dataclass, replace

from ..config.configuration import Configuration
from ..http_frontend.position_query import BackendPosition, query_position
from .database_failover_context import DatabaseFailoverContext
from .database_primary import DatabasePrimary

# A replica keeps up if it has everything that the primary had this long ago, and is removed after lagging for as
# long, in microseconds.
LAG_US = 1_000_000
# Every commit waits for a joining replica, so it joins only once every HTTP proxy has had time to open its channels
# to it: this long after a view's lease, in microseconds. Before that, writes would be denied for lack of channels.
CHANNELS_OPEN_US = 1_300_000


@dataclass(frozen=True, kw_only=True)
class PrimaryProgress:
    """The log position of the primary of a term at a point in time."""

    at_us: int
    term: int
    received: int


class InSyncTracker:
    """Owns the measurements of replication lag and health on which changes of the in-sync set are based.

    Invariant: every acknowledged commit is durable at each in-sync replica, so any of them may be promoted. The last
    in-sync replica is never removed, since only it could replace a primary that fails.
    """

    def __init__(self, *, failover: DatabaseFailoverContext) -> None:
        self.failover = failover
        self.progress: dict[str, deque[PrimaryProgress]] = {}
        self.lagging_since_us: dict[str, int] = {}
        self.healthy_since_us: dict[str, int] = {}
        # why a window can't drain a replica yet, by database; shown in the status
        self.drain_blockers: dict[str, str] = {}

    def discard_measurements(self) -> None:
        """Discards the lag measurements of an earlier term as lease holder."""
        self.lagging_since_us.clear()
        self.progress.clear()

    async def update(self, *, database: str, configuration: Configuration, assignment: DatabasePrimary) -> None:
        """Measures all replicas once, and changes the assignment by at most one step."""
        failover, now_us = self.failover, self.failover.ctx.now_us()
        names = configuration.databases.get(database, ())
        positions = await self._positions(names=names, assignment=assignment)
        primary = positions.get(assignment.primary)
        if primary is None or not primary.is_primary or primary.term != assignment.term:
            return
        threshold = self._lag_threshold(
            database=database, term=assignment.term, received=primary.received, now_us=now_us
        )
        keeping_up = _caught_up(positions=positions, term=assignment.term, threshold=threshold)
        self._update_healthy_since(names=names, now_us=now_us)
        changed = self._without_lagging(
            database=database, assignment=assignment, keeping_up=keeping_up, now_us=now_us
        )
        if changed is None:
            max_in_sync = configuration.amount(name="inSync", database=database)
            changed = await self._with_joining(
                database=database, assignment=assignment, names=names, keeping_up=keeping_up, max_in_sync=max_in_sync
            )
        if changed is not None:
            await failover.assignments.compare_and_set(database=database, old=assignment, new=changed)
        reason = (
            ""
            if assignment.in_sync
            else "no replica is in sync, so writes are denied; check that the replicas run and keep up"
        )
        failover.blocking.report(name=database, reason=reason)

    # -- measurements --

    async def _positions(self, *, names: tuple[str, ...], assignment: DatabasePrimary) -> dict[str, BackendPosition]:
        # A backend drained for maintenance is not queried, unless commits still wait for it.
        staying = self.failover.staying(names=names)
        requested = tuple(dict.fromkeys((assignment.primary, *assignment.confirmers, *staying)))
        return await self.failover.positions(names=self.failover.healthy(names=requested))

    def _lag_threshold(self, *, database: str, term: int, received: int, now_us: int) -> int:
        """The primary's position `LAG_US` ago; a replica that has reached it keeps up."""
        progress = self.progress.setdefault(database, deque())
        progress.append(PrimaryProgress(at_us=now_us, term=term, received=received))
        while len(progress) > 1 and progress[1].at_us <= now_us - LAG_US:
            progress.popleft()
        return min((each.received for each in progress if each.term == term), default=received)

    def _update_healthy_since(self, *, names: tuple[str, ...], now_us: int) -> None:
        """Updates since when each backend has been healthy and outside maintenance without interruption."""
        others = {name: since_us for name, since_us in self.healthy_since_us.items() if name not in names}
        healthy = {name: self.healthy_since_us.get(name, now_us) for name in self.failover.staying(names=names)}
        self.healthy_since_us = healthy | others

    # -- removal --

    def _without_lagging(
        self, *, database: str, assignment: DatabasePrimary, keeping_up: set[str], now_us: int
    ) -> DatabasePrimary | None:
        """The assignment without replicas that lag or must be drained; None if it is unchanged."""
        lagging = self._lagging(names=assignment.confirmers, keeping_up=keeping_up, now_us=now_us)
        in_sync = tuple(name for name in assignment.in_sync if name not in lagging)
        in_sync = self._without_maintenance(database=database, in_sync=in_sync, keeping_up=keeping_up)
        if assignment.in_sync and not in_sync:
            in_sync = assignment.in_sync[:1]
        joining = tuple(name for name in assignment.joining if name not in lagging)
        if (in_sync, joining) == (assignment.in_sync, assignment.joining):
            return None
        return replace(assignment, in_sync=in_sync, joining=joining)

    def _lagging(self, *, names: tuple[str, ...], keeping_up: set[str], now_us: int) -> set[str]:
        """The replicas to remove: lagging ones that are unhealthy at once, others after `LAG_US` of lagging."""
        for name in names:
            if name in keeping_up:
                self.lagging_since_us.pop(name, None)
            else:
                self.lagging_since_us.setdefault(name, now_us)
        since_us = self.lagging_since_us
        healthy = self.failover.healthy(names=names)
        lagging = {name for name in names if name in since_us and now_us - since_us[name] > LAG_US}
        return lagging | {name for name in names if name in since_us and name not in healthy}

    def _without_maintenance(
        self, *, database: str, in_sync: tuple[str, ...], keeping_up: set[str]
    ) -> tuple[str, ...]:
        """Removes replicas in maintenance once another one is in sync; until then keeps one of them."""
        failover = self.failover
        self.drain_blockers.pop(database, None)
        if any(name in keeping_up for name in failover.staying(names=in_sync)):
            return tuple(name for name in in_sync if not failover.in_maintenance(name=name))
        if not any(failover.in_maintenance(name=name) for name in in_sync):
            return in_sync
        kept = min(in_sync, key=lambda name: name not in keeping_up)
        self.drain_blockers[database] = f"window holds back: no replica outside it is in sync, so {kept} stays"
        return (kept,)

    # -- joining --

    async def _with_joining(
        self,
        *,
        database: str,
        assignment: DatabasePrimary,
        names: tuple[str, ...],
        keeping_up: set[str],
        max_in_sync: int,
    ) -> DatabasePrimary | None:
        """The assignment after the next step of joining replicas; None if there is none."""
        assignments = self.failover.assignments
        if not assignment.joining:
            return self._start_joining(
                assignment=assignment, names=names, keeping_up=keeping_up, max_in_sync=max_in_sync
            )
        # Commits wait for the joining replicas only once all older views have expired.
        if assignments.age_us(database=database) > assignments.view_expiry_us:
            return await self._finish_joining(assignment=assignment)
        return None

    def _start_joining(
        self, *, assignment: DatabasePrimary, names: tuple[str, ...], keeping_up: set[str], max_in_sync: int
    ) -> DatabasePrimary | None:
        failover = self.failover
        known = (assignment.primary, *assignment.confirmers)
        candidates = tuple(name for name in names if name in keeping_up and name not in known)
        healthy_by_us = failover.ctx.now_us() - failover.view.lease_us - CHANNELS_OPEN_US
        eligible = tuple(
            name
            for name in failover.staying(names=candidates)
            if name in self.healthy_since_us and self.healthy_since_us[name] <= healthy_by_us
        )
        free_slots = max_in_sync - sum(not failover.in_maintenance(name=name) for name in assignment.in_sync)
        return replace(assignment, joining=eligible[:free_slots]) if eligible and free_slots > 0 else None

    async def _finish_joining(self, *, assignment: DatabasePrimary) -> DatabasePrimary | None:
        """Marks joining replicas in sync once they reach the primary's position; later commits wait for them."""
        failover = self.failover
        primary = await query_position(
            connection_pools=failover.connection_pools, name=assignment.primary, direct=True
        )
        if primary.is_error() or primary.ok.term != assignment.term:
            return None
        positions = await failover.positions(names=assignment.joining)
        found = _caught_up(positions=positions, term=assignment.term, threshold=primary.ok.received)
        caught_up = tuple(name for name in assignment.joining if name in found)
        if not caught_up:
            return None
        joining = tuple(name for name in assignment.joining if name not in caught_up)
        return replace(assignment, in_sync=(*assignment.in_sync, *caught_up), joining=joining, successors=())


def _caught_up(*, positions: dict[str, BackendPosition], term: int, threshold: int) -> set[str]:
    """The names of the backends that have received everything up to `threshold` in this term."""
    return {name for name, each in positions.items() if each.term == term and each.received >= threshold}
