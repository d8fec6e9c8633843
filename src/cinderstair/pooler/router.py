"""Routes statements: maps a database to its service and keeps the pools, links and samples of backends ready."""

from dataclasses import replace

from ..config.service_plan import PLAN_KEY, DatabaseRoute
from ..failover.proxy_addresses import PROXY_ADDRESSES_KEY
from ..failover.proxy_ids import PROXY_IDS_KEY
from ..failover.service_primary import PREFIX, PrimaryState
from .link_limits import LinkLimitsMixin
from .link_pool import LinkPool
from .position_sampling import PositionSamplingMixin

# Controllers of an earlier version publish no proxy addresses; after this time the proxy works without them.
ADDRESSES_WAIT_US = 10_000_000
# Services without recent reads are maintained in rounds of the timer, about this many a round.
SERVICES_PER_ROUND = 50
ALLOCATION_KEYS = (PROXY_IDS_KEY, PROXY_ADDRESSES_KEY)
POOL_KEYS = (PLAN_KEY, PROXY_IDS_KEY, PROXY_ADDRESSES_KEY, "backends")


class Router(LinkLimitsMixin, PositionSamplingMixin):
    """Combines pools, limits, selection and sampling, and applies changes of the view to them."""

    def _connect_view(self) -> None:
        self.view.suspected_backends = self.suspected_backends
        self.view.samples.wanted = self._services_wanting_samples
        self.view.samples.note = self._take_pooled_sample
        self.view.ask = self._sample_on_request
        self.view.changes.subscribe(self._changed)

    def suspected_backends(self) -> tuple[str, ...]:
        """The names of backends that fail or do not answer, as observed by this proxy."""
        return tuple(name for name, pool in self.pools.items() if pool.suspected and not pool.closed)

    def route(self, *, database: str) -> DatabaseRoute | None:
        """See `RouterBase`."""
        plan = self.view.plan
        route = None if plan is None else plan.routes.get(database)
        if route is None:
            return None
        service = self.shards.service_of(route=route)
        return route if service == route.service else replace(route, service=service)

    def _changed(self, key: str) -> None:
        """Applies a change of the view.

        :param key: the changed key of the register, or "backends".
        """
        if key.startswith(PREFIX):
            service = key.removeprefix(PREFIX)
            assignment = self.view.primaries[service]
            if assignment.fence_known:
                self.freshness(service=service).fence(as_of_us=-(1 << 60), position=assignment.fence)
            # With thousands of services, a promotion in one must not rebuild the pools of all others.
            if service in self.backends_by_service:
                self._rebuild_service(service=service)
        elif key in POOL_KEYS:
            if key in ALLOCATION_KEYS:
                self._tables_changed()
            self.rebuild_pools()

    def on_timer(self) -> None:
        """Opens links ahead of need, detects backends that do not answer, and refreshes samples that reads need."""
        self.shards.update()
        if not self.addresses_unavailable and not self.view.proxy_addresses:
            self._check_addresses()
        self._apply_pending_increase()
        plan = self.view.plan
        if plan is None:
            return
        for name in self.draining_since_us:
            assignment = self.view.primaries.get(self.pools[name].backend.service)
            self._follow_backend_state(name=name, is_primary=assignment is not None and assignment.primary == name)
        self._check_pools()
        for service in self._services_to_sample(names=list(plan.services)):
            self._maintain_service(service=service)

    def _check_addresses(self) -> None:
        if self.ctx.now_us() - self.began_us > ADDRESSES_WAIT_US:
            self.addresses_unavailable = True
            self.rebuild_pools()

    def _check_pools(self) -> None:
        """Detects backends that have stopped answering, and maintains detours to unreachable ones."""
        fell_silent = False
        for pool in self.pools.values():
            was_silent = pool.silent
            if pool.borrowed or was_silent:
                pool.check_silence()
            fell_silent = fell_silent or (pool.silent and not was_silent)
            if pool.unreachable or self.detours.has_detour(name=pool.backend.name):
                self._maintain_detour(pool=pool)
        if fell_silent:
            self._probe_unheard_primaries()

    def _maintain_detour(self, *, pool: LinkPool) -> None:
        """Maintains a detour to a primary only; reads use another replica in place of an unreachable one."""
        assignment = self.view.primaries.get(pool.backend.service)
        if (
            assignment is not None
            and assignment.state == PrimaryState.settled
            and assignment.primary == pool.backend.name
        ):
            self.detours.maintain(pool=pool, service=pool.backend.service)
        else:
            self.detours.forget(name=pool.backend.name)

    def _maintain_service(self, *, service: str) -> None:
        """Keeps a link open to the primary and to the best replica, and keeps samples recent."""
        assignment = self.view.primaries.get(service)
        if assignment is None:
            return
        primary = self.pools.get(assignment.primary)
        if primary is not None and assignment.state == PrimaryState.settled and not primary.on_demand:
            primary.warm(count=1)
        replicas = self.replicas(service=service)
        if replicas and not replicas[0].on_demand:
            replicas[0].warm(count=1)
        self._sample_if_due(service=service, assignment=assignment)

    def _services_to_sample(self, *, names: list[str]) -> list[str]:
        """The services with recent reads that need samples, and a part of all services each round."""
        rounds = len(names) // SERVICES_PER_ROUND + 1
        self.sampling_round = (self.sampling_round + 1) % rounds
        services = (*self._services_wanting_samples(), *names[self.sampling_round :: rounds])
        return [*dict.fromkeys(name for name in services if name in self.backends_by_service)]
