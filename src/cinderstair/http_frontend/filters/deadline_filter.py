"""Reads the client's remaining time (`timeLeftUs`, microseconds) of requests with a deadline."""

from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import MAX_TIME_LEFT_US, Request

TIMED_VERBS = frozenset(["open", "statement", "begin", "commit", "rollback", "values", "prepare"])


class DeadlineFilter(RejectMixin):
    """Sets `request.until_us`, for verbs with a deadline."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Rejects a `timeLeftUs` that is missing, malformed or not positive; otherwise None."""
        if request.verb not in TIMED_VERBS:
            return None
        left = request.body.get("timeLeftUs")
        if left is None:
            return self.reject(kind=ErrorCode.TIME_LEFT_MISSING, reason="timeLeftUs is needed: whole microseconds")
        if not isinstance(left, int) or isinstance(left, bool) or left > MAX_TIME_LEFT_US:
            return self.reject(
                kind=ErrorCode.MALFORMED, reason="timeLeftUs: whole microseconds, ten minutes at the most"
            )
        if left <= 0:
            return self.reject(kind=ErrorCode.TIME_LEFT_SPENT, reason="no time was left when the job came in")
        request.until_us = request.start_us + left
        return None
