"""The HTTP proxy daemon."""

import asyncio
from dataclasses import replace
from typing import Protocol

from expression import Ok, Result

from ..consensus.register import Register
from ..failover.database_failover import DatabaseFailover
from ..failover.platform import Platform
from ..failover.proxy_id_reclaimer import ProxyIdReclaimer
from ..failover.window_scheduler import WindowScheduler
from ..membership.heartbeat import Heartbeat
from ..membership.heartbeat_table import HeartbeatTable
from ..membership.member import Member
from ..membership.membership import Membership
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.http_request import HttpRequest
from ..runtime.http_response import HttpResponse
from ..runtime.settings import Settings
from .backend_reachability import BackendReachability
from .commit_watermarks import CommitWatermarks
from .configuration_store import ConfigurationStore
from .connection_pools import ConnectionPools
from .filters.body_filter import BodyFilter
from .filters.control_filter import ControlFilter
from .filters.deadline_filter import DeadlineFilter
from .filters.forward_filter import ForwardFilter
from .filters.path_filter import PathFilter
from .filters.ready_filter import ReadyFilter
from .filters.route_filter import RouteFilter
from .filters.session_filter import SessionFilter
from .filters.session_state_filter import SessionStateFilter
from .handover import Handover
from .reject_mixin import RejectMixin
from .request import Request
from .request_trace import trace_request
from .samples import Samples
from .session_drain import SessionDrain
from .session_replicas import SessionReplicas
from .session_replicator import SessionReplicator
from .sessions import Sessions
from .silent_backend_probe import SilentBackendProbe
from .status_page import StatusPage
from .view import View

MAINTENANCE_EVERY_US = 250_000
DRAIN_POLL_US = 50_000
# a draining proxy ends after this long without a client's request, but not before LAST_ANSWERS_US
IDLE_AFTER_US = 600_000
LAST_ANSWERS_US = 200_000


class Filter(Protocol):
    """One stage of the filter chain."""

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Returns a response, or None to pass the request to the next filter."""
        ...


def own_member(*, settings: Settings) -> Member:
    """The membership entry of this HTTP proxy."""
    return Member(
        name=settings.name,
        role="stall",
        site=settings.site,
        records=settings.records,
        http=settings.http,
        incarnation=1,
    )


class HttpProxy(RejectMixin):
    """Creates the components and the filter chain, answers requests, and drains at a planned stop."""

    def __init__(self, *, ctx: Context, settings: Settings) -> None:
        self.ctx = ctx
        self.settings = settings
        self.dispatcher = Dispatcher(ctx=ctx)
        self.register = Register(ctx=ctx, seeds=settings.seeds)
        self.membership = Membership(
            ctx=ctx, dispatcher=self.dispatcher, me=own_member(settings=settings), seeds=settings.seeds
        )
        self.heartbeat_table: HeartbeatTable[Heartbeat] = HeartbeatTable(
            ctx=ctx, dispatcher=self.dispatcher, membership=self.membership
        )
        self.view = View(ctx=ctx, register=self.register)
        # components start their timers when created, so this order is the order of the timers
        self._create_backend_parts()
        self.sessions = Sessions(
            ctx=ctx, idle_transaction_us=settings.idle_transaction_us, idle_session_us=settings.idle_session_us
        )
        self._create_singleton_roles()
        self._create_session_parts()
        self.status = self._create_status()
        self.session_drain = SessionDrain(
            ctx=ctx,
            view=self.view,
            membership=self.membership,
            sessions=self.sessions,
            ready=self.ready,
            handover=self.handover,
        )
        # time of the last request that opened or used a session
        self.last_request_us = 0
        self.chain = self._chain()

    def _create_backend_parts(self) -> None:
        ctx, settings = self.ctx, self.settings
        self.connection_pools = ConnectionPools(
            ctx=ctx, view=self.view, heartbeat_table=self.heartbeat_table, queue_limit=settings.queue_limit
        )
        self.silent_backend_probe = SilentBackendProbe(ctx=ctx, connection_pools=self.connection_pools)
        self.reachability = BackendReachability(
            ctx=ctx, connection_pools=self.connection_pools, heartbeat_table=self.heartbeat_table
        )
        self.samples = Samples(
            ctx=ctx, view=self.view, connection_pools=self.connection_pools, reachability=self.reachability
        )
        self.commit_watermarks = CommitWatermarks(ctx=ctx, view=self.view, connection_pools=self.connection_pools)

    def _create_singleton_roles(self) -> None:
        """Creates the roles that one proxy at a time runs for all, each under a lease of its own."""
        ctx, settings = self.ctx, self.settings
        self.proxy_id_reclaimer = ProxyIdReclaimer(
            ctx=ctx, register=self.register, view=self.view, membership=self.membership
        )
        self.database_failover = DatabaseFailover(
            ctx=ctx,
            register=self.register,
            view=self.view,
            heartbeat_table=self.heartbeat_table,
            connection_pools=self.connection_pools,
            reachability=self.reachability,
            platform=Platform(ctx=ctx, address=settings.platform),
        )
        self.window_scheduler = WindowScheduler(ctx=ctx, register=self.register, view=self.view)

    def _create_session_parts(self) -> None:
        ctx = self.ctx
        self.ready = ReadyFilter(ctx=ctx, view=self.view, membership=self.membership)
        self.session_replicas = SessionReplicas(
            ctx=ctx, dispatcher=self.dispatcher, sessions=self.sessions, ready=self.ready
        )
        self.session_replicator = SessionReplicator(ctx=ctx, membership=self.membership, sessions=self.sessions)
        self.handover = Handover(
            ctx=ctx,
            dispatcher=self.dispatcher,
            membership=self.membership,
            sessions=self.sessions,
            ready=self.ready,
            session_replicas=self.session_replicas,
            session_replicator=self.session_replicator,
        )

    def _create_status(self) -> StatusPage:
        return StatusPage(
            ctx=self.ctx,
            view=self.view,
            membership=self.membership,
            heartbeat_table=self.heartbeat_table,
            connection_pools=self.connection_pools,
            sessions=self.sessions,
            database_failover=self.database_failover,
            session_replicator=self.session_replicator,
            session_replicas=self.session_replicas,
        )

    def _chain(self) -> tuple[Filter, ...]:
        ctx, view = self.ctx, self.view
        return (
            PathFilter(ctx=ctx),
            BodyFilter(ctx=ctx),
            ControlFilter(
                ctx=ctx,
                view=view,
                heartbeat_table=self.heartbeat_table,
                configuration_store=ConfigurationStore(ctx=ctx, register=self.register),
                ready=self.ready,
                status=self.status,
                database_failover=self.database_failover,
                founding_replicas=self.settings.founding_replicas,
            ),
            DeadlineFilter(ctx=ctx),
            self.ready,
            SessionFilter(ctx=ctx, sessions=self.sessions, ready=self.ready, handover=self.handover),
            SessionStateFilter(
                ctx=ctx, sessions=self.sessions, view=view, session_replicator=self.session_replicator
            ),
            RouteFilter(ctx=ctx, view=view),
            ForwardFilter(
                ctx=ctx,
                view=view,
                connection_pools=self.connection_pools,
                heartbeat_table=self.heartbeat_table,
                samples=self.samples,
                commit_watermarks=self.commit_watermarks,
                sessions=self.sessions,
            ),
        )

    async def start(self) -> Result[None, CinderstairError]:
        """Starts to listen for other daemons and for clients."""
        await self.ctx.net.listen(address=self.settings.records, handler=self.dispatcher.dispatch)
        await self.ctx.net.serve(address=self.settings.http, handler=self.answer)
        self.ctx.timer(every_us=MAINTENANCE_EVERY_US).subscribe(lambda _: self._run_maintenance())
        self.ctx.log.info("HTTP proxy %s listens for clients at %s", self.settings.name, self.settings.http)
        return Ok(None)

    async def answer(self, http: HttpRequest) -> HttpResponse:
        """Passes a request through the filter chain and returns the first response."""
        request = Request(http=http, start_us=self.ctx.now_us())
        try:
            for each in self.chain:
                response = await each.answer(request=request)
                if response is not None:
                    trace_request(ctx=self.ctx, request=request, response=response)
                    return self._close_if_leaving(response=response)
            return self.reject(kind=ErrorCode.UNKNOWN_PATH, reason=f"no filter answers {request.http.path}")
        except Exception as error:  # noqa: BLE001
            # an unexpected error must not affect other requests; this one may have reached a backend
            self.ctx.crash(where=f"request {request.verb}", error=error)
            return self.reject(kind=ErrorCode.INTERNAL, reason="an error of ours; it is logged")
        finally:
            if request.session is not None:
                request.session.busy = False
            if request.session_id or request.verb == "open":
                self.last_request_us = self.ctx.now_us()

    def _close_if_leaving(self, *, response: HttpResponse) -> HttpResponse:
        # asks the client to reconnect elsewhere before this proxy closes the connection
        if not self.ready.leaving:
            return response
        return replace(response, headers={**response.headers, "Connection": "close"})

    @property
    def window_held(self) -> str:
        """Why an open window can't drain this proxy; empty where nothing prevents it."""
        return self.session_drain.held_back

    def _run_maintenance(self) -> None:
        if self.ready.isolated != self.reachability.isolated:
            self.ctx.log.warning(
                "no backend answers; rejecting requests until one does"
                if self.reachability.isolated
                else "backends answer again"
            )
            self.ready.isolated = self.reachability.isolated
        self.session_drain.follow_windows()
        if self.ctx.traces is not None:
            self.ctx.traces.flush()
        self._claim_proxy_id()
        self._abandon_unreachable()

    def _claim_proxy_id(self) -> None:
        if self.view.current and self.view.proxy_ids.id_of(name=self.ctx.name) is None and not self.ready.draining:
            self.proxy_id_reclaimer.post(
                command=lambda: self.proxy_id_reclaimer.claim(name=self.ctx.name), once="claim"
            )

    def _abandon_unreachable(self) -> None:
        """Ends idle transactions on backends that are no longer reachable, before more is sent there."""
        for session in list(self.sessions.open.values()):
            transaction = session.transaction
            if transaction is None or session.busy:
                continue
            if not self.connection_pools.reachable(name=transaction.pool.name):
                self.sessions.abandon(session=session)

    async def drain(self) -> None:
        """Planned stop: hands sessions over, finishes requests in flight, drops leases, leaves the membership."""
        self.ready.draining = True
        until_us = self.ctx.now_us() + self.settings.drain_wait_us
        # owners of replicas held here need time to replicate elsewhere; `adopt` covers owners that are lost
        while (await self.handover.hand_over_all() or self.session_replicas.held) and self.ctx.now_us() < until_us:
            self.session_replicas.adopt()
            await self.ctx.sleep(duration_us=DRAIN_POLL_US)
        # refuses new connections; requests on open ones are still answered
        await self.ctx.net.stop_accepting_http()
        self.last_request_us = max(self.last_request_us, self.ctx.now_us() - IDLE_AFTER_US + LAST_ANSWERS_US)
        # clients on open connections are told where their sessions are, until none has asked for IDLE_AFTER_US
        while self.ctx.now_us() < min(until_us, self.last_request_us + IDLE_AFTER_US):
            await self.ctx.sleep(duration_us=DRAIN_POLL_US)
        await asyncio.gather(
            self.database_failover.lease.drop(),
            self.proxy_id_reclaimer.lease.drop(),
            self.window_scheduler.lease.drop(),
        )
        await self.membership.leave()
        self.connection_pools.stop()
        if self.ctx.traces is not None:
            self.ctx.traces.flush()

    def update_settings(self, *, settings: Settings) -> None:
        """Applies the settings that may change at run time."""
        self.settings = settings
        self.sessions.idle_transaction_us = settings.idle_transaction_us
        self.sessions.idle_session_us = settings.idle_session_us
        self.connection_pools.queue_limit = settings.queue_limit
        for pool in self.connection_pools.pools.values():
            pool.queue_limit = settings.queue_limit
