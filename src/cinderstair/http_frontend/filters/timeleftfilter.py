"""Every job of a client says how much time it has left."""

from ...runtime.context import Context
from ...runtime.httpresponse import HttpResponse
from ...runtime.kind import Kind
from ..denymixin import DenyMixin
from ..job import MOST_TIME_LEFT_US, Job

TIMED = frozenset(["open", "statement", "begin", "commit", "rollback", "values", "prepare"])


class TimeLeftFilter(DenyMixin):
    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx

    async def answer(self, *, job: Job) -> HttpResponse | None:
        if job.verb not in TIMED:
            return None
        left = job.body.get("timeLeftUs")
        if left is None:
            return self.deny(kind=Kind.timeLeftMissing, why="timeLeftUs is needed: whole microseconds")
        if not isinstance(left, int) or isinstance(left, bool) or left > MOST_TIME_LEFT_US:
            return self.deny(kind=Kind.malformed, why="timeLeftUs: whole microseconds, ten minutes at the most")
        if left <= 0:
            return self.deny(kind=Kind.timeLeftSpent, why="no time was left when the job came in")
        job.until_us = job.start_us + left
        return None
