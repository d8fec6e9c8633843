"""The proxy daemon: one session per client connection, and links to the backends."""

from collections.abc import Callable

from expression import Ok, Result

from ..failover.proxy_addresses import ProxyAddress
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError
from .address_announcer import AddressAnnouncer
from .assignment_receiver import AssignmentReceiver
from .forward_server import ForwardServer
from .forwarder import Forwarder
from .link import Dialer
from .relayed_view import RelayedView
from .router import Router
from .router_base import DRAIN_US
from .session import Session

TIMER_INTERVAL_US = 200_000
# A proxy whose view is older than this reports itself as not ready for new clients.
READY_AGE_US = 5_000_000


class Proxy:
    """Owns the view, the router, the forwarding and the sessions of a daemon. Adapters accept the connections.

    `records`: the address at which other proxies reach this one; empty: it neither forwards nor serves forwards.
    """

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
            has_open_writes=self._has_open_writes,
            region=region,
            drain_us=drain_us,
        )
        self.address_announcer = AddressAnnouncer(
            ctx=ctx, view=self.view, address=ProxyAddress(site=site, records=records)
        )
        self.records = records
        self.forwarder = Forwarder(ctx=ctx)
        self.dispatcher = Dispatcher(ctx=ctx)
        self.forward_server = ForwardServer(ctx=ctx, router=self.router, dispatcher=self.dispatcher)
        self.assignment_receiver = AssignmentReceiver(
            ctx=ctx,
            dispatcher=self.dispatcher,
            view=self.view,
            commit_acknowledgement=self.router.commit_acknowledgement,
        )
        if records:
            self.router.forwarder = self.router.detours.forwarder = self.forwarder
        self.draining = False
        self.reported_ready = False

    async def start(self) -> Result[None, CinderstairError]:
        """Starts the listener for other proxies, the updates of the view and the timer."""
        if self.records:
            await self.ctx.net.listen(address=self.records, handler=self.dispatcher.dispatch)
        self.ctx.spawn(work=self._follow_view(), name="view.keep")
        self.ctx.timer(every_us=TIMER_INTERVAL_US).subscribe(lambda _: self._on_timer())
        return Ok(None)

    async def _follow_view(self) -> None:
        await self.view.choose_controller()
        await self.view.run()

    def _has_open_writes(self, databases: frozenset[str]) -> bool:
        """Whether a transaction that may write is open here at any of these databases, forwarded ones included."""
        own = any(session.has_open_write_transaction for session in self.sessions if session.database in databases)
        return own or self.forward_server.has_open_writes(databases=databases)

    @property
    def ready(self) -> bool:
        """Whether new clients should connect to this proxy."""
        known = self.view.plan is not None and self.ctx.now_us() - self.view.as_of_us < READY_AGE_US
        # Until ids are assigned, no proxy knows its share of a cap, so it may open no link.
        known = known and (not self.records or bool(self.view.proxy_ids.names))
        # If controllers answer but have no newer view, other proxies have none either, so this one stays ready.
        return known and not self.draining and not self.view.controllers_silent_us

    def _on_timer(self) -> None:
        """Runs the periodic work of all parts, logs a change of readiness and ends idle transactions."""
        self.router.on_timer()
        self.address_announcer.on_timer()
        self.forwarder.on_timer()
        self.forward_server.on_timer()
        if self.ready != self.reported_ready:
            self.reported_ready = self.ready
            self.ctx.log.info("ready" if self.ready else "not ready")
        plan = self.view.plan
        if plan is None or not plan.idle_transaction_limit_us:
            return
        for session in self.sessions:
            session.end_idle_transaction(limit_us=plan.idle_transaction_limit_us)

    def open(self, *, database: str) -> Session:
        """Creates the session of a client connection."""
        session = Session(ctx=self.ctx, router=self.router, database=database)
        self.sessions.add(session)
        self.ctx.counters.gauge(name="sessions.open", value=len(self.sessions))
        return session

    def closed(self, *, session: Session) -> None:
        """Ends the session of a closed client connection."""
        self.sessions.discard(session)
        self.ctx.counters.gauge(name="sessions.open", value=len(self.sessions))
        session.close()

    async def has_database(self, *, database: str, until_us: int) -> bool:
        """Whether the configuration names this database; waits for the first configuration until `until_us`."""
        while self.view.plan is None and self.ctx.now_us() < until_us:
            await self.view.next_answer(until_us=until_us)
        return self.view.plan is not None and database in self.view.plan.routes

    def stop(self) -> None:
        """Closes all pools; borrowed links may finish."""
        for pool in self.router.pools.values():
            pool.close()
