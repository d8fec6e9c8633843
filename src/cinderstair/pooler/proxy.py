"""The proxy daemon: one session a client connection, and links to the backends."""

from collections.abc import Callable

from expression import Ok, Result

from ..failover.proxy_addresses import ProxyAddress
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError
from .address_announcer import AddressAnnouncer
from .forward_server import ForwardServer
from .forwarder import Forwarder
from .link import Dialer
from .relayed_view import RelayedView
from .router import Router
from .router_base import DRAIN_US
from .session import Session

TIMER_INTERVAL_US = 200_000
# A proxy whose view is older than this should get no new clients.
READY_AGE_US = 5_000_000


class Proxy:
    """Wires the view, the router and the sessions together. Adapters bring the connections."""

    def __init__(
        self,
        *,
        ctx: Context,
        site: str,
        seeds: Callable[[], tuple[str, ...]],
        dialer: Dialer,
        distance: Callable[[str], int],
        records: str = "",
        region: Callable[[str], str] = lambda site: site,
        drain_us: int = DRAIN_US,
    ) -> None:
        self.ctx = ctx
        self.view = RelayedView(ctx=ctx, site=site, seeds=seeds, distance=distance)
        self.sessions: set[Session] = set()
        self.router = Router(
            ctx=ctx,
            view=self.view,
            dialer=dialer,
            distance=distance,
            open_=self._open,
            region=region,
            drain_us=drain_us,
        )
        self.address_announcer = AddressAnnouncer(
            ctx=ctx, view=self.view, address=ProxyAddress(site=site, records=records)
        )
        self.records = records
        self.forwarder = Forwarder(ctx=ctx)
        self.dispatcher = Dispatcher(ctx=ctx)
        self.forwards = ForwardServer(ctx=ctx, router=self.router, dispatcher=self.dispatcher)
        if records:
            self.router.forwarder = self.router.detours.forwarder = self.forwarder
        self.draining = False
        self.reported_ready = False

    async def start(self) -> Result[None, CinderstairError]:
        """Begins to listen to other proxies and to pull the view."""
        if self.records:
            await self.ctx.net.listen(address=self.records, handler=self.dispatcher.dispatch)
        self.ctx.spawn(work=self._keep(), name="view.keep")
        self.ctx.timer(every_us=TIMER_INTERVAL_US).subscribe(lambda _: self._on_timer())
        return Ok(None)

    async def _keep(self) -> None:
        await self.view.choose()
        await self.view.keep()

    def _open(self, databases: frozenset[str]) -> bool:
        """Whether a transaction that may write is open at any of these databases."""
        own = any(session.has_open_write_transaction for session in self.sessions if session.database in databases)
        return own or self.forwards.writing(databases=databases)

    @property
    def ready(self) -> bool:
        """Whether new clients should connect to this proxy."""
        known = self.view.plan is not None and self.ctx.now_us() - self.view.as_of_us < READY_AGE_US
        # Before any ids are assigned no proxy knows its part of any cap, and so it may open no link.
        known = known and (not self.records or bool(self.view.proxy_ids.names))
        # Where controllers answer but know nothing, no other proxy would serve any better.
        return known and not self.draining and not self.view.alone_us

    def _on_timer(self) -> None:
        """Maintains pools, forwarding and the address, and ends transactions whose clients are idle."""
        self.router.on_timer()
        self.address_announcer.on_timer()
        self.forwarder.on_timer()
        self.forwards.on_timer()
        if self.ready != self.reported_ready:
            self.reported_ready = self.ready
            self.ctx.log.info("ready" if self.ready else "not ready")
        plan = self.view.plan
        if plan is None or not plan.idle_transaction_limit_us:
            return
        for session in self.sessions:
            session.end_idle_transaction(limit_us=plan.idle_transaction_limit_us)

    def open(self, *, database: str) -> Session:
        """The session of a client that has connected."""
        session = Session(ctx=self.ctx, router=self.router, database=database)
        self.sessions.add(session)
        self.ctx.counters.gauge(name="sessions.open", value=len(self.sessions))
        return session

    def closed(self, *, session: Session) -> None:
        """Ends the session of a client that has disconnected."""
        self.sessions.discard(session)
        self.ctx.counters.gauge(name="sessions.open", value=len(self.sessions))
        session.close()

    async def knows(self, *, database: str, until_us: int) -> bool:
        """Whether the configuration in force names this database; waits for the first configuration."""
        while self.view.plan is None and self.ctx.now_us() < until_us:
            await self.view.change(until_us=until_us)
        return self.view.plan is not None and database in self.view.plan.routes

    def stop(self) -> None:
        """Sends nothing new to any backend."""
        for pool in self.router.pools.values():
            pool.shut()
