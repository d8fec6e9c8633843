"""The stall daemon."""

import asyncio
from dataclasses import replace
from typing import Protocol

from expression import Ok, Result

from ..config.chancery import Chancery
from ..consensus.register import Register
from ..failover.leadduty import LeadDuty
from ..failover.platform import Platform
from ..failover.slotduty import SlotDuty
from ..failover.windowduty import WindowDuty
from ..membership.beat import Beat
from ..membership.crowd import Crowd
from ..membership.member import Member, Standing
from ..membership.news import News
from ..runtime.context import Context
from ..runtime.desk import Desk
from ..runtime.fault import Fault
from ..runtime.httpjob import HttpJob
from ..runtime.httpresponse import HttpResponse
from ..runtime.kind import Kind
from ..runtime.settings import Settings
from .copies import Copies
from .denymixin import DenyMixin
from .doubts import Doubts
from .filters.bodyfilter import BodyFilter
from .filters.deskfilter import DeskFilter
from .filters.keepfilter import KeepFilter
from .filters.passfilter import PassFilter
from .filters.pathfilter import PathFilter
from .filters.readyfilter import ReadyFilter
from .filters.routefilter import RouteFilter
from .filters.sessionfilter import SessionFilter
from .filters.timeleftfilter import TimeLeftFilter
from .handover import Handover
from .job import Job
from .keeper import Keeper
from .ledgerbook import LedgerBook
from .samples import Samples
from .sessions import Sessions
from .sight import Sight
from .statuspage import StatusPage
from .view import View
from .yard import Yard

TEND_US = 250_000
LINGER_US = 600_000
LAST_US = 200_000


class Filter(Protocol):
    async def answer(self, *, job: Job) -> HttpResponse | None: ...


class Stall(DenyMixin):
    """Wires the tables' owners and the chain of filters together."""

    def __init__(self, *, ctx: Context, settings: Settings) -> None:
        self.ctx = ctx
        self.settings = settings
        self.desk = Desk(ctx=ctx)
        self.register = Register(ctx=ctx, seeds=settings.seeds)
        me = Member(
            name=settings.name,
            role="stall",
            site=settings.site,
            records=settings.records,
            http=settings.http,
            incarnation=1,
        )
        self.crowd = Crowd(ctx=ctx, desk=self.desk, me=me, seeds=settings.seeds)
        self.news: News[Beat] = News(ctx=ctx, desk=self.desk, crowd=self.crowd)
        self.view = View(ctx=ctx, register=self.register)
        self.yard = Yard(ctx=ctx, view=self.view, news=self.news, queueMost=settings.queueMost)
        self.doubts = Doubts(ctx=ctx, yard=self.yard)
        self.sight = Sight(ctx=ctx, yard=self.yard, news=self.news)
        self.samples = Samples(ctx=ctx, view=self.view, yard=self.yard, sight=self.sight)
        self.book = LedgerBook(ctx=ctx, view=self.view, yard=self.yard)
        self.sessions = Sessions(
            ctx=ctx, idleTransactionUs=settings.idleTransactionUs, idleSessionUs=settings.idleSessionUs
        )
        self.slot_duty = SlotDuty(ctx=ctx, register=self.register, view=self.view, crowd=self.crowd)
        self.lead_duty = LeadDuty(
            ctx=ctx,
            register=self.register,
            view=self.view,
            news=self.news,
            yard=self.yard,
            sight=self.sight,
            platform=Platform(ctx=ctx, address=settings.platform),
        )
        self.window_duty = WindowDuty(ctx=ctx, register=self.register, view=self.view)
        self.ready = ReadyFilter(ctx=ctx, view=self.view, crowd=self.crowd)
        self.copies = Copies(ctx=ctx, desk=self.desk, sessions=self.sessions, ready=self.ready)
        self.keeper = Keeper(ctx=ctx, crowd=self.crowd, sessions=self.sessions)
        self.handover = Handover(
            ctx=ctx,
            desk=self.desk,
            crowd=self.crowd,
            sessions=self.sessions,
            ready=self.ready,
            copies=self.copies,
            keeper=self.keeper,
        )
        self.status = StatusPage(
            ctx=ctx,
            view=self.view,
            crowd=self.crowd,
            news=self.news,
            yard=self.yard,
            sessions=self.sessions,
            leads=self.lead_duty,
            keeper=self.keeper,
            copies=self.copies,
        )
        self.asked_us = 0
        self.handing = False
        self.window_held = ""
        self.chain = self._chain()

    def _chain(self) -> tuple[Filter, ...]:
        ctx, view = self.ctx, self.view
        return (
            PathFilter(ctx=ctx),
            BodyFilter(ctx=ctx),
            DeskFilter(
                ctx=ctx,
                view=view,
                news=self.news,
                chancery=Chancery(ctx=ctx, register=self.register),
                ready=self.ready,
                status=self.status,
                leads=self.lead_duty,
                foundingVaults=self.settings.foundingVaults,
            ),
            TimeLeftFilter(ctx=ctx),
            self.ready,
            SessionFilter(ctx=ctx, sessions=self.sessions, ready=self.ready, handover=self.handover),
            KeepFilter(ctx=ctx, sessions=self.sessions, view=view, keeper=self.keeper),
            RouteFilter(ctx=ctx, view=view),
            PassFilter(
                ctx=ctx,
                view=view,
                yard=self.yard,
                news=self.news,
                samples=self.samples,
                book=self.book,
                sessions=self.sessions,
            ),
        )

    async def start(self) -> Result[None, Fault]:
        await self.ctx.net.listen(address=self.settings.records, answer=self.desk.answer)
        await self.ctx.net.serve(address=self.settings.http, answer=self.answer)
        self.ctx.ticks(every_us=TEND_US).subscribe(lambda _: self._tend())
        self.ctx.log.info("stall %s at %s", self.settings.name, self.settings.http)
        return Ok(None)

    async def answer(self, http: HttpJob) -> HttpResponse:
        """The way of a job: each filter may answer, and the first answer counts."""
        job = Job(http=http, start_us=self.ctx.now_us())
        try:
            for each in self.chain:
                response = await each.answer(job=job)
                if response is not None:
                    self._trace(job=job, response=response)
                    return self._parting(response=response)
            return self.deny(kind=Kind.unknownPath, why="nobody answers for this")
        except Exception as error:  # noqa: BLE001
            # why: one job that breaks must not take others with it, and it may have reached a backend
            self.ctx.crash(where=f"job {job.verb}", error=error)
            return self.deny(kind=Kind.internal, why="an error of ours; it is logged")
        finally:
            if job.session is not None:
                job.session.busy = False
            if job.session_id or job.verb == "open":
                self.asked_us = self.ctx.now_us()

    def _trace(self, *, job: Job, response: HttpResponse) -> None:
        traces = self.ctx.traces
        # why: beats and the platform's questions would bury the jobs
        if traces is None or not job.session_id:
            return
        took_us = self.ctx.now_us() - job.start_us
        attributes: dict[str, str | int] = {
            "cinderstair.kind": job.kind,
            "cinderstair.site": self.ctx.site,
            "cinderstair.database": "" if job.session is None else job.session.database,
            "http.response.status_code": response.status,
        }
        traces.span(
            name=job.verb,
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
        """Stands empty while an open window wants it, as long as another stall that stays can serve."""
        why = self.view.leaving.why(name=self.ctx.name)
        staying = [
            name
            for _, name in self.view.slots.names
            if name not in self.view.leaving.stalls and name != self.ctx.name
            if self.crowd.standing(name=name) == Standing.alive
        ]
        # why: a window never leaves nobody to serve; without another stall this one stays, or comes back
        wanted = why if staying else ""
        self.window_held = f"{why} holds back: no other stall stays" if why and not staying else ""
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
        if self.ready.blind != self.sight.blind:
            self.ctx.log.warning("reaches no backend" if self.sight.blind else "reaches backends again")
            self.ready.blind = self.sight.blind
        self._obey_window()
        if self.ctx.traces is not None:
            self.ctx.traces.flush()
        if self.view.current and self.view.slots.id_of(name=self.ctx.name) is None and not self.ready.draining:
            self.slot_duty.post(command=lambda: self.slot_duty.claim(name=self.ctx.name), once="claim")
        for session in list(self.sessions.open.values()):
            transaction = session.transaction
            # why: a transaction on a backend that has to be left is ended before anything more reaches it
            if transaction is not None and not session.busy and not self.yard.reachable(name=transaction.pool.name):
                self.sessions.abandon(session=session)

    async def drain(self) -> None:
        """A planned stop: takes nothing new, lets what is under way finish, then says goodbye."""
        self.ready.draining = True
        until_us = self.ctx.now_us() + self.settings.drainWaitUs
        # why: copies are held for others, who need a moment to place them elsewhere, or are gone themselves
        while (await self.handover.hand_all() or self.copies.held) and self.ctx.now_us() < until_us:
            self.copies.adopt()
            await self.ctx.rest(wait_us=50_000)
        # why: who comes from now on finds nobody and goes elsewhere at once; who is in already is still answered
        await self.ctx.net.refuse()
        self.asked_us = max(self.asked_us, self.ctx.now_us() - LINGER_US + LAST_US)
        # why: clients that still come are told where their sessions are; the end waits until none has for a while
        while self.ctx.now_us() < min(until_us, self.asked_us + LINGER_US):
            await self.ctx.rest(wait_us=50_000)
        await asyncio.gather(self.lead_duty.lease.drop(), self.slot_duty.lease.drop(), self.window_duty.lease.drop())
        await self.crowd.leave()
        self.yard.stop()
        if self.ctx.traces is not None:
            self.ctx.traces.flush()

    def resettle(self, *, settings: Settings) -> None:
        """Takes the settings that may change while the process runs."""
        self.settings = settings
        self.sessions.idleTransactionUs = settings.idleTransactionUs
        self.sessions.idleSessionUs = settings.idleSessionUs
        self.yard.queueMost = settings.queueMost
        for pool in self.yard.pools.values():
            pool.queueMost = settings.queueMost
