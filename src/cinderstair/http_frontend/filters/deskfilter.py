"""Answers the platform, the backends' beats and the operators."""

from ...config.chancery import CHARTER_KEY, Chancery
from ...consensus.succession import Succession
from ...failover.leadduty import LeadDuty
from ...membership.beat import beat_from_json
from ...membership.news import News
from ...runtime.context import Context
from ...runtime.httpresponse import HttpResponse, json_response
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..job import Job
from ..statuspage import StatusPage
from ..view import View
from .readyfilter import ReadyFilter


class DeskFilter(DenyMixin):
    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        news: News,
        chancery: Chancery,
        ready: ReadyFilter,
        status: StatusPage,
        leads: LeadDuty,
        foundingVaults: int,
    ) -> None:
        self.foundingVaults = foundingVaults
        self.ctx = ctx
        self.view = view
        self.news = news
        self.chancery = chancery
        self.ready = ready
        self.status = status
        self.leads = leads

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if job.verb == "ready":
            return self._ready()
        if job.verb == "drain":
            self.ready.draining = True
            return self.done(value={"sessions": self.status.value()["sessions"]})
        if job.verb == "counters":
            return json_response(status=200, value=self.ctx.counters.snapshot())
        if job.verb == "status":
            return json_response(status=200, value=self.status.value())
        if job.verb == "beat":
            return self._beat(job=job)
        if job.verb == "submit":
            return await self._submit(job=job)
        if job.verb == "fetch":
            return await self._fetch()
        if job.verb == "replaceVault":
            return await self._replace_vault(job=job)
        if job.verb == "override":
            return await self._override(job=job)
        return None

    def _ready(self) -> HttpResponse:
        reason = self.ready.unready()
        if reason is not None:
            return self.deny(kind=reason[0], why=reason[1])
        return self.done(value={"stall": self.ctx.name})

    def _beat(self, *, job: Job) -> HttpResponse:
        try:
            beat = beat_from_json(value=job.body)
        except ValueError as error:
            return self.deny(kind=Kind.malformed, why=str(error))
        self.news.hear(beat=beat)
        return self.done()

    async def _submit(self, *, job: Job) -> HttpResponse:
        result = await self.chancery.submit(raw=job.http.body)
        if result.is_error():
            return self.deny_fault(fault=result.error)
        charter, found = result.ok
        self.view.take_own(key=CHARTER_KEY, result=type(result).Ok(found))
        return self.done(value={"version": charter.version, "warnings": list(charter.warnings)})

    async def _fetch(self) -> HttpResponse:
        result = await self.chancery.fetch()
        if result.is_error():
            return self.deny_fault(fault=result.error)
        # why: read back to the byte, so it leaves as it came and not as we would write it
        return HttpResponse(status=200, body=result.ok)

    async def _replace_vault(self, *, job: Job) -> HttpResponse:
        leaves, enters = str(job.body.get("leaves")), str(job.body.get("enters"))
        strangers = await self.chancery.register.strangers()
        voter = strangers.get(enters)
        if voter is None:
            return self.deny(kind=Kind.malformed, why=f"no vault '{enters}' has greeted the seeds")
        roster = self.chancery.register.roster
        most = 0 if roster is None else max(len(roster.voters), self.foundingVaults)
        succession = Succession(ctx=self.ctx, register=self.chancery.register)
        result = await succession.succeed(leaves=leaves, enters=voter, most=most)
        if result.is_error():
            return self.deny_fault(fault=result.error)
        names = [each.name for each in result.ok.voters]
        return self.done(value={"epoch": result.ok.epoch, "vaults": names})

    async def _override(self, *, job: Job) -> HttpResponse:
        database, backend = str(job.body.get("database")), str(job.body.get("backend"))
        if job.body.get("iAcceptLoss") is not True:
            return self.deny(kind=Kind.malformed, why="iAcceptLoss: must be true; commits may be lost by this")
        result = await self.leads.override(database=database, backend=backend)
        if result.is_error():
            return self.deny_fault(fault=result.error)
        return self.done(value={"term": result.ok.term})
