"""Reads a job's JSON body."""

import json

from ...runtime.context import Context
from ...runtime.httpresponse import HttpResponse
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..job import Job

MOST_BODY_BYTES = 1024 * 1024
NO_BODY = frozenset(["ready", "drain", "counters", "status", "fetch", "close", "unprepare"])
RAW_BODY = frozenset(["submit"])


class BodyFilter(DenyMixin):
    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if len(job.http.body) > MOST_BODY_BYTES:
            return self.deny(kind=Kind.tooLarge, why=f"a body holds {MOST_BODY_BYTES} bytes at the most")
        # why: a configuration is kept to the byte, so it is not taken apart here
        if job.verb in NO_BODY or job.verb in RAW_BODY:
            return None
        try:
            body = json.loads(job.http.body)
        except (ValueError, RecursionError) as error:
            return self.deny(kind=Kind.malformed, why=f"the body is not JSON: {error}")
        if not isinstance(body, dict):
            return self.deny(kind=Kind.malformed, why="the body is not an object")
        job.body = body
        return None
