"""State shared by the router's mixins: the view, a pool per backend, and the position samples per service."""

from collections.abc import Callable

from ..config.service_plan import DatabaseRoute
from ..runtime.context import Context
from .commit_acknowledgement import CommitAcknowledgement
from .detours import Detours
from .forwarder import Forwarder, PeerProxy
from .freshness import Freshness
from .link import Dialer
from .link_allocation import Location
from .link_pool import LinkPool
from .relayed_view import RelayedView
from .shards import Shards
from .statement import PreparedStatement

# How long a draining backend is used, unless the daemon's settings say otherwise.
DRAIN_US = 7_000_000
# Bounds the prepared names on a backend; beyond this a name is reused for another statement.
MAX_PREPARED_NAMES = 4_096


class RouterBase:
    """Owns one link pool per backend. Allocations are computed from the view without coordination between proxies.

    `link_allocations`: by backend and cap, the number of links of each proxy id. `replica_allocations`: by the
    replicas' locations and cap, the replica to which each proxy id keeps a link. `cap_shares`: by cap, this proxy's
    share. `reallocated_us`: when links were last reallocated; None if not since this proxy started. `forwarder`: None
    if other proxies can't reach this one; where links are scarce it then holds one only while in use.
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
        :param drain_us: how long a draining backend continues to serve.
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
        self.detours = Detours(ctx=ctx, candidates=self._forwarding_proxies)
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
        self.commit_acknowledgement = CommitAcknowledgement(ctx=ctx, view=view)
        self.shards = Shards(ctx=ctx, view=view, has_open_writes=has_open_writes)
        self._connect_view()

    def _connect_view(self) -> None:
        """Subscribes to the view and sets its callbacks."""
        raise NotImplementedError

    def _forwarding_proxies(self, pool: LinkPool) -> tuple[PeerProxy, ...]:
        """The other proxies that may have links to a pool's backend."""
        raise NotImplementedError

    def route(self, *, database: str) -> DatabaseRoute | None:
        """The current route of a database; None if the plan does not contain it.

        The shard map's placement overrides the service that the plan names.
        """
        raise NotImplementedError

    def alias(self, *, prepared: PreparedStatement) -> bytes:
        """The name under which a statement is prepared on this proxy's links; clients' names are not used."""
        number = self.prepared_names.setdefault(prepared, len(self.prepared_names) % MAX_PREPARED_NAMES)
        return b"p%d" % number

    def freshness(self, *, service: str) -> Freshness:
        """The samples of the log position of the service's primary."""
        found = self.samples.get(service)
        if found is None:
            found = self.samples[service] = Freshness()
        return found
