"""The connection pools of an HTTP proxy, sized by its subset of the backends and their caps."""

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
# a pool grows only after every HTTP proxy has shrunk or lost its view lease, so the cap is never exceeded
GROW_MARGIN_US = 300_000
# requests in flight at a backend continue for this long after it has become unhealthy
UNHEALTHY_GRACE_US = 3_000_000


class ConnectionPools(CommandQueueMixin):
    """Owns one pool per backend and decides their limits.

    Subsets and limits are recomputed only when the configuration, the proxy ids, the primary assignments or the
    health of backends change. A reduced limit applies at once; a raised one waits for the view lease and
    GROW_MARGIN_US.
    """

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
        """Whether new requests may be sent to a backend."""
        pool = self.pools.get(name)
        # a backend drained by a window serves as primary until the switchover, and gets no other requests
        if name in self.view.leaving.backends and not self._is_primary(name=name):
            return False
        return (
            pool is not None and pool.limit > 0 and self.heartbeat_table.healthy(name=name) and not pool.backing_off
        )

    def _is_primary(self, *, name: str) -> bool:
        return any(assignment.primary == name for assignment in self.view.primaries.values())

    def open(self, *, name: str) -> bool:
        """Whether the limit of a backend's pool allows any channels."""
        pool = self.pools.get(name)
        return pool is not None and pool.limit > 0

    def reachable(self, *, name: str) -> bool:
        """Whether requests may still be sent to a backend: it is healthy, or became unhealthy a short while ago."""
        # checks the age of the heartbeat, since a paused process has not run `refresh` meanwhile
        if self.heartbeat_table.age_us(name=name) > SILENT_AFTER_US + UNHEALTHY_GRACE_US:
            return False
        since_us = self.unhealthy_since_us.get(name)
        return since_us is None or self.ctx.now_us() - since_us < UNHEALTHY_GRACE_US

    def refresh(self) -> None:
        """Applies the configuration, proxy ids, primary assignments and health of backends to the pools."""
        configuration = self.view.configuration
        if configuration is None:
            return
        now_us = self.ctx.now_us()
        for name in configuration.backends:
            if self.heartbeat_table.healthy(name=name):
                self.unhealthy_since_us.pop(name, None)
            else:
                self.unhealthy_since_us.setdefault(name, now_us)
                # a draining or silent backend keeps only the channels that are in use
                if name in self.pools:
                    self.pools[name].close_idle()
        self._abort_stale(names=configuration.backends)
        assigned_backends = frozenset(
            (assignment.primary, assignment.confirmers) for assignment in self.view.primaries.values()
        )
        unavailable = frozenset(self.unhealthy_since_us), frozenset(self.view.leaving.backends)
        subset_inputs = (configuration.version, self.view.proxy_ids, unavailable, assigned_backends)
        if subset_inputs != self.subset_inputs:
            self.subset_inputs = subset_inputs
            self._compute(configuration=configuration)
        self._grow()

    def _abort_stale(self, *, names: Iterable[str]) -> None:
        """Ends requests in flight whose replies won't come or can't be used, instead of letting them time out."""
        for name in names:
            if name in self.pools and not self.reachable(name=name):
                self.pools[name].abort_requests()
        for database, assignment in self.view.primaries.items():
            before = self.last_assignments.get(database, assignment)
            self.last_assignments[database] = assignment
            # replies of the former primary belong to a term that has ended
            if (
                before.term < assignment.term
                and before.primary != assignment.primary
                and before.primary in self.pools
            ):
                self.pools[before.primary].abort_requests()

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
                # every HTTP proxy writes to the primary and queries the confirming replicas, whatever its subset
                assigned = assignment is not None and name in (assignment.primary, *assignment.confirmers)
                user_ids = [n for n, assigned_backends in subsets.items() if assigned or name in assigned_backends]
                limit = (
                    0
                    if my_id is None
                    else allotment(cap=configuration.backends[name].cap, user_ids=user_ids, http_proxy_id=my_id)
                )
                # the `active` policy bounds the requests of one HTTP proxy in flight at one backend
                target_limits[name] = min(limit, configuration.amount(name="active", database=database))
        self._resize(target_limits=target_limits, backends=configuration.backends)

    def _resize(self, *, target_limits: dict[str, int], backends: dict[str, Backend]) -> None:
        now_us = self.ctx.now_us()
        for name, backend in backends.items():
            pool = self.pools.get(name)
            # a new address means another server, so channels to the old one are closed
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
        """Closes all channels; those in use are closed on release."""
        for pool in self.pools.values():
            pool.resize(limit=0)
