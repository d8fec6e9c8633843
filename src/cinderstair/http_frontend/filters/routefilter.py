"""Checks a statement and finds where its kind goes."""

from ...config.route import KINDS
from ...runtime.context import Context
from ...runtime.httpresponse import HttpResponse
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..job import Job
from ..view import View


class RouteFilter(DenyMixin):
    def __init__(self, *, ctx: Context, view: View) -> None:
        self.ctx = ctx
        self.view = view

    async def answer(self, *, job: Job) -> HttpResponse | None:
        charter = self.view.charter
        if charter is None or job.bound.database not in charter.databases:
            return self.deny(kind=Kind.unknownDatabase, why=f"no database '{job.bound.database}' any more")
        if job.verb != "statement":
            job.kind = "write"
            return None
        job.kind = str(job.body.get("kind"))
        if job.kind not in KINDS:
            return self.deny(kind=Kind.unknownKind, why=f"kind: one of {', '.join(KINDS)}")
        prepared = job.body.get("prepared")
        if prepared is not None and prepared not in job.bound.prepared:
            return self.deny(kind=Kind.unknownPrepared, why=f"nothing prepared as '{prepared}'")
        if prepared is None and not isinstance(job.body.get("text"), str):
            return self.deny(kind=Kind.malformed, why="text: a text is needed, or prepared: a name")
        if not isinstance(job.body.get("params", []), list):
            return self.deny(kind=Kind.malformed, why="params: a list is needed")
        if charter.route(kind=job.kind, database=job.bound.database).target == "deny":
            return self.deny(kind=Kind.routeDenied, why=f"a route denies kind {job.kind}")
        return None
