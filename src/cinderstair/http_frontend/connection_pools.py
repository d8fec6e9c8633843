"""All of an HTTP proxy's connection pools, sized by its share of the backends."""

from collections.abc import Iterable

from ..config.backend import Backend
from ..config.configuration import Configuration
from ..failover.database_primary import DatabasePrimary
from ..membership.heartbeat_table import SILENT_AFTER_US, HeartbeatTable
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from .pool import Pool
from .subsetting import allotment, with_replacements
from .view import View

REFRESH_EVERY_US = 250_000
# growth waits until every HTTP proxy has either shrunk or lost its view, so the cap holds in between
GROW_MARGIN_US = 300_000
# what is under way at a backend goes on for so long after it has become unfit
UNHEALTHY_GRACE_US = 3_000_000


class ConnectionPools(CommandQueueMixin):
    """Owns the pools. The share is computed here, only when the list, the ids or fitness change."""

    def __init__(self, *, ctx: Context, view: View, heartbeat_table: HeartbeatTable, queue_limit: int) -> None:
        self.ctx = ctx
        self.view = view
        self.heartbeat_table = heartbeat_table
        self.queue_limit = queue_limit
        self.pools: dict[str, Pool] = {}
        self.subsets_by_database: dict[str, tuple[str, ...]] = {}
        self.unhealthy_since_us: dict[str, int] = {}
        self.grow_at_us: dict[str, int] = {}
        self.target_limits: dict[str, int] = {}
        self.last_assignments: dict[str, DatabasePrimary] = {}
        self.recomputations = 0
        self.subset_inputs: object = None
        self.open_queue()
        view.changes.subscribe(lambda _: self.post(command=self.refresh, once="refresh"))
        self.every(every_us=REFRESH_EVERY_US, command=self.refresh, name="refresh")

    def pool(self, *, name: str) -> Pool | None:
        """The pool of a backend; None where it isn't configured."""
        return self.pools.get(name)

    def subset_of(self, *, database: str) -> tuple[str, ...]:
        """The backends of a database that are in this HTTP proxy's subset."""
        return self.subsets_by_database.get(database, ())

    def usable(self, *, name: str) -> bool:
        """Whether new jobs may be sent to a backend."""
        pool = self.pools.get(name)
        # what a window empties keeps what it still leads, until the lead has moved, and gets nothing else
        if name in self.view.leaving.backends and not self._is_primary(name=name):
            return False
        return (
            pool is not None and pool.limit > 0 and self.heartbeat_table.healthy(name=name) and not pool.backing_off
        )

    def _is_primary(self, *, name: str) -> bool:
        return any(assignment.primary == name for assignment in self.view.primaries.values())

    def open(self, *, name: str) -> bool:
        """Whether this HTTP proxy may have channels there at all."""
        pool = self.pools.get(name)
        return pool is not None and pool.limit > 0

    def reachable(self, *, name: str) -> bool:
        """Whether anything at all may still be sent to a backend."""
        # by the clock itself, since a process that stood still has not noticed yet who fell silent meanwhile
        if self.heartbeat_table.age_us(name=name) > SILENT_AFTER_US + UNHEALTHY_GRACE_US:
            return False
        since_us = self.unhealthy_since_us.get(name)
        return since_us is None or self.ctx.now_us() - since_us < UNHEALTHY_GRACE_US

    def refresh(self) -> None:
        """Brings the pools up to the configuration, the proxy ids, the leads and the backends' fitness."""
        configuration = self.view.configuration
        if configuration is None:
            return
        now_us = self.ctx.now_us()
        for name in configuration.backends:
            if self.heartbeat_table.healthy(name=name):
                self.unhealthy_since_us.pop(name, None)
            else:
                self.unhealthy_since_us.setdefault(name, now_us)
                # a backend that empties or fell silent is left alone as soon as no job is under way
                if name in self.pools:
                    self.pools[name].close_idle()
        self._give_up_stale(names=configuration.backends)
        assigned_backends = frozenset(
            (assignment.primary, assignment.confirmers) for assignment in self.view.primaries.values()
        )
        unavailable = frozenset(self.unhealthy_since_us), frozenset(self.view.leaving.backends)
        subset_inputs = (configuration.version, self.view.proxy_ids, unavailable, assigned_backends)
        if subset_inputs != self.subset_inputs:
            self.subset_inputs = subset_inputs
            self._compute(configuration=configuration)
        self._grow()

    def _give_up_stale(self, *, names: Iterable[str]) -> None:
        """Jobs that wait for what won't come, or would not count, are answered now and not when their time is up."""
        for name in names:
            if name in self.pools and not self.reachable(name=name):
                self.pools[name].give_up()
        for database, assignment in self.view.primaries.items():
            before = self.last_assignments.get(database, assignment)
            self.last_assignments[database] = assignment
            # whatever the old primary answers now belongs to a term that is over
            if (
                before.term < assignment.term
                and before.primary != assignment.primary
                and before.primary in self.pools
            ):
                self.pools[before.primary].give_up()

    def _compute(self, *, configuration: Configuration) -> None:
        self.recomputations += 1
        my_id = self.view.proxy_ids.id_of(name=self.ctx.name)
        ids = self.view.proxy_ids.ids
        unfit = frozenset(self.unhealthy_since_us) | frozenset(self.view.leaving.backends)
        target_limits: dict[str, int] = {}
        for database, names in configuration.databases.items():
            size = configuration.amount(name="subsetSize", database=database)
            subsets = {
                number: with_replacements(names=names, http_proxy_id=number, subset_size=size, unfit=unfit)
                for number in ids
            }
            self.subsets_by_database[database] = () if my_id is None else subsets[my_id]
            assignment = self.view.primaries.get(database)
            for name in names:
                # every HTTP proxy writes, whatever its subset, and asks those that must hold what it wrote
                assigned = assignment is not None and name in (assignment.primary, *assignment.confirmers)
                user_ids = [n for n, assigned_backends in subsets.items() if assigned or name in assigned_backends]
                limit = (
                    0
                    if my_id is None
                    else allotment(cap=configuration.backends[name].cap, user_ids=user_ids, http_proxy_id=my_id)
                )
                # the source's flow control, a bound on one backend's active jobs from one HTTP proxy
                target_limits[name] = min(limit, configuration.amount(name="active", database=database))
        self._resize(target_limits=target_limits, backends=configuration.backends)

    def _resize(self, *, target_limits: dict[str, int], backends: dict[str, Backend]) -> None:
        now_us = self.ctx.now_us()
        for name, backend in backends.items():
            pool = self.pools.get(name)
            # a backend declared at another address is another server; its old channels lead astray
            if pool is None or pool.address != backend.address:
                if pool is not None:
                    pool.resize(limit=0)
                pool = Pool(ctx=self.ctx, name=name, address=backend.address, queue_limit=self.queue_limit)
                self.pools[name] = pool
            if target_limits[name] < pool.limit:
                pool.resize(limit=target_limits[name])
            if target_limits[name] > pool.limit and self.target_limits.get(name) != target_limits[name]:
                self.grow_at_us[name] = now_us + self.view.lease_us + GROW_MARGIN_US
        for name in set(self.pools) - set(backends):
            self.pools.pop(name).resize(limit=0)
        self.target_limits = target_limits

    def _grow(self) -> None:
        now_us = self.ctx.now_us()
        for name, target_limits in self.target_limits.items():
            pool = self.pools[name]
            if target_limits > pool.limit and now_us >= self.grow_at_us.get(name, 0):
                pool.resize(limit=target_limits)

    def stop(self) -> None:
        """Closes all channels; those in use when they are given back."""
        for pool in self.pools.values():
            pool.resize(limit=0)
