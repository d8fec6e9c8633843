"""Creates and closes the pools, and sets how many links this proxy may have to each backend."""

from ..config.service_plan import ServicePlan
from ..http_frontend.subsetting import allotment, subset
from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat import READY
from .forwarder import PeerProxy
from .link_allocation import Location, ProxyLocation, allocate_links, allocate_replicas
from .link_pool import LinkPool
from .router_base import RouterBase

# The published range for subsets is 20 to 100 backends; a shorter list is used completely.
SUBSET_SIZE = 20
# The part of each backend's cap that is reserved for connections of the controllers.
CONTROL_LINKS = 6
# Longer than a view stays current, so that every proxy with a lower limit has applied it by then.
LIMIT_INCREASE_DELAY_US = 1_500_000
# A proxy learns of a draining backend at most this much later than the first controller.
DRAIN_NOTICE_US = 2_000_000


class LinkLimitsMixin(RouterBase):
    """Derives the pools and their limits from the view.

    All proxies derive their shares from the same tables, so that together they don't exceed a backend's cap.
    """

    # -- pools --

    def rebuild_pools(self) -> None:
        """Rebuilds pools, subsets and limits after a change of the view; does nothing without a configuration."""
        plan = self.view.plan
        if plan is None:
            return
        names = self._update_pools(plan=plan)
        self._remove_pools(kept={name for each in names.values() for name in each})
        self.backends_by_service, self.cap_shares, self.replica_allocations = names, {}, {}
        for service in names:
            self._rebuild_service(service=service)

    def _update_pools(self, *, plan: ServicePlan) -> dict[str, list[str]]:
        """Creates missing pools and updates the announcements of the others.

        :returns: the names of the backends by service.
        """
        names: dict[str, list[str]] = {service: [] for service in plan.services}
        for name, entry in self.view.backends.items():
            announcement = entry.announcement
            if announcement.service not in names or announcement.state == GONE:
                continue
            names[announcement.service].append(name)
            if name not in self.pools:
                self.pools[name] = self._new_pool(backend=announcement)
            self.pools[name].backend = announcement
        return names

    def _new_pool(self, *, backend: Announcement) -> LinkPool:
        pool = LinkPool(ctx=self.ctx, backend=backend, dialer=self.dialer, on_link_failure=self.view.pull_now)
        pool.limit = 0
        return pool

    def _remove_pools(self, *, kept: set[str]) -> None:
        for name in [name for name in self.pools if name not in kept]:
            self.pools.pop(name).close()
            self.detours.forget(name=name)
            self.draining_since_us.pop(name, None)

    # -- limits --

    def _rebuild_service(self, *, service: str) -> None:
        """Rebuilds one service's replica subset and the limits of its pools."""
        plan = self.view.plan
        if plan is None or service not in plan.services:
            return
        names, assignment = self.backends_by_service[service], self.view.primaries.get(service)
        replicas = sorted(name for name in names if assignment is None or name != assignment.primary)
        proxy_id = self.view.proxy_ids.id_of(name=self.ctx.name)
        self.replica_subsets[service] = subset(names=replicas, http_proxy_id=proxy_id or 0, subset_size=SUBSET_SIZE)
        cap = max(1, plan.services[service].link_cap - CONTROL_LINKS)
        share = self._cap_share(cap=cap)
        scarce = cap < len(self.view.proxy_ids.names)
        addresses_expected = bool(self.view.proxy_addresses) or not self.addresses_unavailable
        forwards = scarce and self.forwarder is not None and addresses_expected
        # Until ids are assigned, the number of proxies that share the cap is unknown.
        unassigned = self.forwarder is not None and not self.view.proxy_ids.names
        kept = self._kept_replica(replicas=replicas, cap=cap, proxy_id=proxy_id) if scarce and not forwards else ""
        for name in names:
            pool = self.pools[name]
            if forwards:
                self._allocate_links(pool=pool, cap=cap, proxy_id=proxy_id)
            else:
                pool.forwarder, pool.peer_proxies = None, ()
                self._set_limit(pool=pool, limit=0 if unassigned else max(1, share))
            # With fewer links than proxies, each keeps a link open to one replica only, and opens others on demand.
            pool.set_on_demand(on_demand=scarce and not forwards and name != kept)
            self._follow_backend_state(name=name, is_primary=assignment is not None and assignment.primary == name)

    def _cap_share(self, *, cap: int) -> int:
        """This proxy's share of a cap; the same for all services with that cap."""
        share = self.cap_shares.get(cap)
        if share is None:
            ids, proxy_id = self.view.proxy_ids.ids, self.view.proxy_ids.id_of(name=self.ctx.name)
            # A proxy without an id takes the share of one more proxy, and none of the others' links.
            share = (
                cap // (len(ids) + 1)
                if proxy_id is None
                else allotment(cap=cap, user_ids=ids, http_proxy_id=proxy_id)
            )
            self.cap_shares[cap] = share
        return share

    def _allocate_links(self, *, pool: LinkPool, cap: int, proxy_id: int | None) -> None:
        """Sets this proxy's links to a backend by the allocation, and the proxies that can forward for it."""
        proxy_addresses, announcement = self.view.proxy_addresses, pool.backend
        reachable = [
            (n, name)
            for n, name in self.view.proxy_ids.names
            if name in proxy_addresses and proxy_addresses[name].records
        ]
        allocated = self.link_allocations.get((announcement.name, cap))
        if allocated is None:
            allocated = self.link_allocations[(announcement.name, cap)] = allocate_links(
                proxies=[ProxyLocation(n, self._location(site=proxy_addresses[name].site)) for n, name in reachable],
                backend=announcement.name,
                location=self._location(site=announcement.site),
                cap=cap,
            )
        if pool.forwarder is None and pool.limit:
            # Until now each proxy had an even share, and the others may not have closed their links yet.
            self.reallocated_us = self.ctx.now_us()
        pool.forwarder = self.forwarder
        pool.peer_proxies = tuple(
            PeerProxy(self.distance(proxy_addresses[name].site), name, proxy_addresses[name].records)
            for n, name in reachable
            if n in allocated and name != self.ctx.name
        )
        self._set_limit(pool=pool, limit=0 if proxy_id is None else allocated.get(proxy_id, 0))

    def _set_limit(self, *, pool: LinkPool, limit: int) -> None:
        """Decreases a limit at once, and increases it LIMIT_INCREASE_DELAY_US after a reallocation.

        The proxies that had these links may not know of the change yet, and the cap must hold meanwhile.
        """
        if limit > pool.limit and not self._may_increase():
            self.increase_pending, limit = True, pool.limit
        pool.set_limit(limit=limit)

    def _may_increase(self) -> bool:
        if self.reallocated_us is None:
            return True
        return self.ctx.now_us() - self.reallocated_us >= LIMIT_INCREASE_DELAY_US

    def _apply_pending_increase(self) -> None:
        if self.increase_pending and self._may_increase():
            self.increase_pending = False
            self.rebuild_pools()

    def _tables_changed(self) -> None:
        """Invalidates the allocation after a change of the proxies' ids or addresses.

        The first tables that a starting proxy receives are no reallocation, so its limits are not delayed.
        """
        self.reallocated_us = self.ctx.now_us() if self.link_allocations else self.reallocated_us
        self.link_allocations = {}

    # -- proxies and replicas --

    def _forwarding_proxies(self, pool: LinkPool) -> tuple[PeerProxy, ...]:
        if pool.forwarder is not None:
            return pool.peer_proxies
        proxy_addresses = self.view.proxy_addresses
        return tuple(
            PeerProxy(self.distance(proxy_addresses[name].site), name, proxy_addresses[name].records)
            for _, name in self.view.proxy_ids.names
            if name in proxy_addresses and proxy_addresses[name].records and name != self.ctx.name
        )

    def _location(self, *, site: str) -> Location:
        return Location(site, self.region(site))

    def _kept_replica(self, *, replicas: list[str], cap: int, proxy_id: int | None) -> str:
        """The replica to which this proxy keeps links; empty where it has no id or none is allocated to it."""
        if proxy_id is None:
            return ""
        locations = tuple(self._location(site=self.view.backends[name].announcement.site) for name in replicas)
        allocated = self.replica_allocations.get((locations, cap))
        if allocated is None:
            # Cached, since services whose replicas have the same locations get the same allocation.
            proxy_addresses = self.view.proxy_addresses
            sites = (
                (n, proxy_addresses[name].site if name in proxy_addresses else "")
                for n, name in self.view.proxy_ids.names
            )
            proxies = [ProxyLocation(n, self._location(site=site)) for n, site in sites]
            allocated = self.replica_allocations[(locations, cap)] = allocate_replicas(
                proxies=proxies, replicas=locations, cap=cap
            )
        index = allocated.get(proxy_id)
        return "" if index is None else replicas[index]

    # -- draining backends --

    @property
    def drain_limit_us(self) -> int:
        """How long a draining primary is used after this proxy learned of it.

        The drain starts when the first controller learns of it, and statements must be answered before it ends.
        """
        return max(self.drain_us // 2, self.drain_us - DRAIN_NOTICE_US)

    def _follow_backend_state(self, *, name: str, is_primary: bool) -> None:
        """Closes a draining backend's pool, a primary's only after a promotion or the drain limit.

        The pool of a backend that is ready again is reopened.
        """
        pool = self.pools[name]
        if pool.backend.state == READY:
            self.draining_since_us.pop(name, None)
            if pool.closed:
                pool.reopen(backend=pool.backend)
            return
        since_us = self.draining_since_us.setdefault(name, self.ctx.now_us())
        if not pool.closed and (not is_primary or self.ctx.now_us() - since_us > self.drain_limit_us):
            pool.close()
