"""What the router's parts share: the view, the pools by backend, and the samples of each service's log position."""

from collections.abc import Callable

from ..config.service_plan import DatabaseRoute
from ..runtime.context import Context
from .detours import Detours
from .forwarder import Forwarder, PeerProxy
from .freshness import Freshness
from .link import Dialer
from .link_allocation import Location
from .link_pool import LinkPool
from .relayed_view import RelayedView
from .shards import Shards
from .statement import PreparedStatement

# A backend is given this long to drain, unless the daemon's settings say otherwise.
DRAIN_US = 7_000_000
# Bounds the names that a link's backend keeps; beyond it names are used again for other statements.
MAX_PREPARED_NAMES = 4_096


class RouterBase:
    """Owns the pools, one a backend. Everything is derived from the view, by this proxy alone.

    `link_allocations`: by backend and cap, the links of each proxy id. `replica_allocations`: by the replicas'
    locations and cap, the replica that each proxy id keeps a link to. `cap_shares`: this proxy's part by cap.
    `reallocated_us`: when the links were last allocated anew; None: not since this proxy began.
    `forwarder` is None where other proxies can't reach this one; scarce links are then held only while in use.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        view: RelayedView,
        dialer: Dialer,
        distance: Callable[[str], int],
        region: Callable[[str], str] = lambda site: site,
        drain_us: int = DRAIN_US,
        has_open_writes: Callable[[frozenset[str]], bool] = lambda databases: False,
    ) -> None:
        """
        :param distance: the distance from this proxy to a site; smaller is nearer.
        :param region: the region of a site.
        :param drain_us: how long a backend that drains serves on.
        :param has_open_writes: whether a transaction that may write is open at any of these databases.
        """
        self.ctx = ctx
        self.view = view
        self.dialer = dialer
        self.distance = distance
        self.region = region
        self.drain_us = drain_us
        self.began_us = ctx.now_us()
        self.forwarder: Forwarder | None = None
        self.detours = Detours(ctx=ctx, others=self._forwarding_proxies)
        self.pools: dict[str, LinkPool] = {}
        self.backends_by_service: dict[str, list[str]] = {}
        self.replica_subsets: dict[str, tuple[str, ...]] = {}
        self.samples: dict[str, Freshness] = {}
        self.prepared_names: dict[PreparedStatement, int] = {}
        self.link_allocations: dict[tuple[str, int], dict[int, int]] = {}
        self.replica_allocations: dict[tuple[tuple[Location, ...], int], dict[int, int]] = {}
        self.cap_shares: dict[int, int] = {}
        self.draining_since_us: dict[str, int] = {}
        self.reallocated_us: int | None = None
        self.increase_pending = False
        self.addresses_unavailable = False
        self.sampling_round = 0
        self.shards = Shards(ctx=ctx, view=view, has_open_writes=has_open_writes)
        self._connect_view()

    def _connect_view(self) -> None:
        """Takes the view's events from now on."""
        raise NotImplementedError

    def _forwarding_proxies(self, pool: LinkPool) -> tuple[PeerProxy, ...]:
        """The other proxies that may have links to a pool's backend."""
        raise NotImplementedError

    def route(self, *, database: str) -> DatabaseRoute | None:
        """Where a database's statements go now; None where the plan does not name it.

        The shard map counts where it differs from the plan.
        """
        raise NotImplementedError

    def alias(self, *, prepared: PreparedStatement) -> bytes:
        """The name under which a statement is prepared on this proxy's links, whatever its clients call it."""
        number = self.prepared_names.setdefault(prepared, len(self.prepared_names) % MAX_PREPARED_NAMES)
        return b"p%d" % number

    def freshness(self, *, service: str) -> Freshness:
        """The samples of the service's primary's log position."""
        found = self.samples.get(service)
        if found is None:
            found = self.samples[service] = Freshness()
        return found
