"""What a session keeps at its stall: opening, closing, values and prepared texts."""

from ...pitch.context import Context
from ...pitch.httpresponse import HttpResponse
from ...pitch.kind import Kind
from ..denymixin import DenyMixin
from ..job import Job
from ..sessions import Sessions
from ..view import View

MOST_KEPT = 256


class KeepFilter(DenyMixin):
    def __init__(self, *, ctx: Context, sessions: Sessions, view: View) -> None:
        self.ctx = ctx
        self.sessions = sessions
        self.view = view

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if job.verb == "open":
            return self._open(job=job)
        if job.verb == "close":
            self.sessions.close(session=job.bound)
            return self.done()
        if job.verb == "values":
            return self._values(job=job)
        if job.verb == "prepare":
            return self._prepare(job=job)
        if job.verb == "unprepare":
            job.bound.prepared.pop(job.name, None)
            return self.done()
        return None

    def _open(self, *, job: Job) -> HttpResponse:
        database = job.body.get("database")
        charter = self.view.charter
        if charter is None or not isinstance(database, str) or database not in charter.databases:
            return self.deny(kind=Kind.unknownDatabase, why=f"no database '{database}'")
        session = self.sessions.add(database=str(database))
        if session is None:
            return self.deny(kind=Kind.crowded, why="as many sessions as this stall takes")
        return self.done(value={"session": session.ident, "stall": self.ctx.name}, status=201)

    def _values(self, *, job: Job) -> HttpResponse:
        values = job.body.get("values")
        if not isinstance(values, dict):
            return self.deny(kind=Kind.malformed, why="values: an object is needed")
        if len(job.bound.values | values) > MOST_KEPT:
            return self.deny(kind=Kind.tooLarge, why=f"a session keeps {MOST_KEPT} values at the most")
        # why: setting a value to null is how it is taken away
        for key, value in values.items():
            if value is None:
                job.bound.values.pop(key, None)
            else:
                job.bound.values[key] = value
        return self.done()

    def _prepare(self, *, job: Job) -> HttpResponse:
        text = job.body.get("text")
        if not isinstance(text, str):
            return self.deny(kind=Kind.malformed, why="text: a text is needed")
        if len(job.bound.prepared) >= MOST_KEPT and job.name not in job.bound.prepared:
            return self.deny(kind=Kind.tooLarge, why=f"a session keeps {MOST_KEPT} prepared texts at the most")
        job.bound.prepared[job.name] = text
        return self.done()
