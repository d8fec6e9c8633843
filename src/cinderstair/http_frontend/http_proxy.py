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
from ..membership.member import Member, Standing
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
from .samples import Samples
from .session_replicas import SessionReplicas
from .session_replicator import SessionReplicator
from .sessions import Sessions
from .silent_backend_probe import SilentBackendProbe
from .status_page import StatusPage
from .view import View

TEND_US = 250_000
LINGER_US = 600_000
LAST_US = 200_000


class Filter(Protocol):
    async def answer(self, *, request: Request) -> HttpResponse | None: ...


class HttpProxy(RejectMixin):
    """Wires the tables' owners and the chain of filters together."""

    def __init__(self, *, ctx: Context, settings: Settings) -> None:
        self.ctx = ctx
        self.settings = settings
        self.dispatcher = Dispatcher(ctx=ctx)
        self.register = Register(ctx=ctx, seeds=settings.seeds)
        me = Member(
            name=settings.name,
            role="stall",
            site=settings.site,
            records=settings.records,
            http=settings.http,
            incarnation=1,
        )
        self.membership = Membership(ctx=ctx, dispatcher=self.dispatcher, me=me, seeds=settings.seeds)
        self.heartbeat_table: HeartbeatTable[Heartbeat] = HeartbeatTable(
            ctx=ctx, dispatcher=self.dispatcher, membership=self.membership
        )
        self.view = View(ctx=ctx, register=self.register)
        self.connection_pools = ConnectionPools(
            ctx=ctx, view=self.view, heartbeat_table=self.heartbeat_table, queueMost=settings.queue_limit
        )
        self.silent_backend_probe = SilentBackendProbe(ctx=ctx, connection_pools=self.connection_pools)
        self.reachability = BackendReachability(
            ctx=ctx, connection_pools=self.connection_pools, heartbeat_table=self.heartbeat_table
        )
        self.samples = Samples(
            ctx=ctx, view=self.view, connection_pools=self.connection_pools, reachability=self.reachability
        )
        self.book = CommitWatermarks(ctx=ctx, view=self.view, connection_pools=self.connection_pools)
        self.sessions = Sessions(
            ctx=ctx, idleTransactionUs=settings.idle_transaction_us, idleSessionUs=settings.idle_session_us
        )
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
        self.status = StatusPage(
            ctx=ctx,
            view=self.view,
            membership=self.membership,
            heartbeat_table=self.heartbeat_table,
            connection_pools=self.connection_pools,
            sessions=self.sessions,
            leads=self.database_failover,
            session_replicator=self.session_replicator,
            session_replicas=self.session_replicas,
        )
        self.requested_us = 0
        self.handing = False
        self.window_held = ""
        self.chain = self._chain()

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
                leads=self.database_failover,
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
                book=self.book,
                sessions=self.sessions,
            ),
        )

    async def start(self) -> Result[None, CinderstairError]:
        await self.ctx.net.listen(address=self.settings.records, handler=self.dispatcher.dispatch)
        await self.ctx.net.serve(address=self.settings.http, handler=self.answer)
        self.ctx.timer(every_us=TEND_US).subscribe(lambda _: self._tend())
        self.ctx.log.info("HTTP proxy %s at %s", self.settings.name, self.settings.http)
        return Ok(None)

    async def answer(self, http: HttpRequest) -> HttpResponse:
        """The way of a job: each filter may answer, and the first answer counts."""
        request = Request(http=http, start_us=self.ctx.now_us())
        try:
            for each in self.chain:
                response = await each.answer(request=request)
                if response is not None:
                    self._trace(request=request, response=response)
                    return self._parting(response=response)
            return self.reject(kind=ErrorCode.UNKNOWN_PATH, why="nobody answers for this")
        except Exception as error:  # noqa: BLE001
            # why: one job that breaks must not take others with it, and it may have reached a backend
            self.ctx.crash(where=f"job {request.verb}", error=error)
            return self.reject(kind=ErrorCode.INTERNAL, why="an error of ours; it is logged")
        finally:
            if request.session is not None:
                request.session.busy = False
            if request.session_id or request.verb == "open":
                self.requested_us = self.ctx.now_us()

    def _trace(self, *, request: Request, response: HttpResponse) -> None:
        traces = self.ctx.traces
        # why: beats and the platform's questions would bury the jobs
        if traces is None or not request.session_id:
            return
        took_us = self.ctx.now_us() - request.start_us
        attributes: dict[str, str | int] = {
            "cinderstair.kind": request.kind,
            "cinderstair.site": self.ctx.site,
            "cinderstair.database": "" if request.session is None else request.session.database,
            "http.response.status_code": response.status,
        }
        traces.span(
            name=request.verb,
            wall_us=self.ctx.wall_us() - took_us,
            took_us=took_us,
            attributes=attributes,
            failed=response.status >= 500,
        )

    def _parting(self, *, response: HttpResponse) -> HttpResponse:
        # why: a client told to close its connection now will not find it closed under its next job
        if not self.ready.leaving:
            return response
        return replace(response, headers={**response.headers, "Connection": "close"})

    def _obey_window(self) -> None:
        """Stands empty while an open window wants it, as long as another HTTP proxy that stays can serve."""
        why = self.view.leaving.reason(name=self.ctx.name)
        staying = [
            name
            for _, name in self.view.proxy_ids.names
            if name not in self.view.leaving.http_proxies and name != self.ctx.name
            if self.membership.standing(name=name) == Standing.alive
        ]
        # why: a window never leaves nobody to serve; without another HTTP proxy this one stays, or comes back
        wanted = why if staying else ""
        self.window_held = f"{why} holds back: no other HTTP proxy stays" if why and not staying else ""
        if wanted != self.ready.emptied_by:
            self.ctx.log.info("emptied by %s" if wanted else "no longer emptied%s", wanted)
            self.ready.emptied_by = wanted
        # why: also where the platform has said so, since it may end this process as soon as it stands empty
        if self.ready.leaving and self.sessions.open and not self.handing:
            self.handing = True
            self.ctx.spawn(work=self._hand_on(), name="hand.on")

    async def _hand_on(self) -> None:
        try:
            await self.handover.hand_all()
        finally:
            self.handing = False

    def _tend(self) -> None:
        if self.ready.blind != self.reachability.blind:
            self.ctx.log.warning("reaches no backend" if self.reachability.blind else "reaches backends again")
            self.ready.blind = self.reachability.blind
        self._obey_window()
        if self.ctx.traces is not None:
            self.ctx.traces.flush()
        if self.view.current and self.view.proxy_ids.id_of(name=self.ctx.name) is None and not self.ready.draining:
            self.proxy_id_reclaimer.post(
                command=lambda: self.proxy_id_reclaimer.claim(name=self.ctx.name), once="claim"
            )
        for session in list(self.sessions.open.values()):
            transaction = session.transaction
            # why: a transaction on a backend that has to be left is ended before anything more reaches it
            if (
                transaction is not None
                and not session.busy
                and not self.connection_pools.reachable(name=transaction.pool.name)
            ):
                self.sessions.abandon(session=session)

    async def drain(self) -> None:
        """A planned stop: takes nothing new, lets what is under way finish, then deregisters."""
        self.ready.draining = True
        until_us = self.ctx.now_us() + self.settings.drain_wait_us
        # why: copies are held for others, who need a moment to place them elsewhere, or are gone themselves
        while (await self.handover.hand_all() or self.session_replicas.held) and self.ctx.now_us() < until_us:
            self.session_replicas.adopt()
            await self.ctx.sleep(duration_us=50_000)
        # why: who comes from now on finds nobody and goes elsewhere at once; who is in already is still answered
        await self.ctx.net.refuse()
        self.requested_us = max(self.requested_us, self.ctx.now_us() - LINGER_US + LAST_US)
        # why: clients that still come are told where their sessions are; the end waits until none has for a while
        while self.ctx.now_us() < min(until_us, self.requested_us + LINGER_US):
            await self.ctx.sleep(duration_us=50_000)
        await asyncio.gather(
            self.database_failover.lease.drop(),
            self.proxy_id_reclaimer.lease.drop(),
            self.window_scheduler.lease.drop(),
        )
        await self.membership.leave()
        self.connection_pools.stop()
        if self.ctx.traces is not None:
            self.ctx.traces.flush()

    def resettle(self, *, settings: Settings) -> None:
        """Takes the settings that may change while the process runs."""
        self.settings = settings
        self.sessions.idleTransactionUs = settings.idle_transaction_us
        self.sessions.idleSessionUs = settings.idle_session_us
        self.connection_pools.queueMost = settings.queue_limit
        for pool in self.connection_pools.pools.values():
            pool.queueMost = settings.queue_limit
