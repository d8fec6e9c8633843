"""What a session keeps at its stall: opening, closing, values and prepared texts."""

from dataclasses import replace
from typing import Any

from ...runtime.context import Context
from ...runtime.httpresponse import HttpResponse
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..job import Job
from ..keeper import Keeper
from ..sessions import Sessions
from ..view import View

MOST_KEPT = 256
KEEP_WAIT_US = 1_000_000


class KeepFilter(DenyMixin):
    def __init__(self, *, ctx: Context, sessions: Sessions, view: View, keeper: Keeper) -> None:
        self.keeper = keeper
        self.ctx = ctx
        self.sessions = sessions
        self.view = view

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if job.verb == "open":
            return await self._open(job=job)
        if job.verb == "close":
            self.sessions.close(session=job.bound)
            return self.done()
        if job.verb == "values":
            return await self._values(job=job)
        if job.verb == "prepare":
            return await self._prepare(job=job)
        if job.verb == "unprepare":
            prepared = {name: text for name, text in job.bound.prepared.items() if name != job.name}
            return await self._change(job=job, values=job.bound.values, prepared=prepared)
        return None

    async def _open(self, *, job: Job) -> HttpResponse:
        database = job.body.get("database")
        charter = self.view.charter
        if charter is None or not isinstance(database, str) or database not in charter.databases:
            return self.deny(kind=Kind.unknownDatabase, why=f"no database '{database}'")
        session = self.sessions.add(database=str(database))
        if session is None:
            return self.deny(kind=Kind.crowded, why="as many sessions as this stall takes")
        session.busy = True
        try:
            stands = await self.keeper.keep(session=session, until_us=job.until_us)
        finally:
            session.busy = False
        value = {"session": session.handle, "stall": self.ctx.name, "stands": 1 + stands}
        return self.done(value=value, status=201)

    async def _change(self, *, job: Job, values: dict[str, Any], prepared: dict[str, str]) -> HttpResponse:
        """A change is answered when it stands at a second stall too, or when none can be had."""
        session = job.bound
        changed = replace(
            session,
            values=values,
            prepared=prepared,
            tag=session.next(luck=self.ctx.luck),
            was=session.tag,
            transaction=None,
        )
        stands = await self.keeper.keep(session=changed, until_us=job.until_us or self.ctx.now_us() + KEEP_WAIT_US)
        session.values, session.prepared = values, prepared
        session.tag, session.was, session.second = changed.tag, changed.was, changed.second
        return self.done(value={"session": session.handle, "stands": 1 + stands})

    async def _values(self, *, job: Job) -> HttpResponse:
        values = job.body.get("values")
        if not isinstance(values, dict):
            return self.deny(kind=Kind.malformed, why="values: an object is needed")
        if len(job.bound.values | values) > MOST_KEPT:
            return self.deny(kind=Kind.tooLarge, why=f"a session keeps {MOST_KEPT} values at the most")
        # why: setting a value to null is how it is taken away
        kept = {key: value for key, value in (job.bound.values | values).items() if value is not None}
        return await self._change(job=job, values=kept, prepared=job.bound.prepared)

    async def _prepare(self, *, job: Job) -> HttpResponse:
        text = job.body.get("text")
        if not isinstance(text, str):
            return self.deny(kind=Kind.malformed, why="text: a text is needed")
        if len(job.bound.prepared) >= MOST_KEPT and job.name not in job.bound.prepared:
            return self.deny(kind=Kind.tooLarge, why=f"a session keeps {MOST_KEPT} prepared texts at the most")
        return await self._change(job=job, values=job.bound.values, prepared={**job.bound.prepared, job.name: text})
