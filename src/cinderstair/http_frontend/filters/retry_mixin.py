"""Retries requests that no backend has run, within their deadline."""

from collections.abc import Awaitable, Callable

from ...failover.database_primary import SETTLED
from ...runtime.context import Context
from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request
from ..view import View

MAX_ATTEMPTS = 4
# linear backoff: attempt n waits n times this; also the interval at which a switchover is checked
RETRY_PAUSE_US = 30_000
# longest planned switchover without faults; requests with an earlier deadline are rejected at once
PLANNED_MOVE_US = 5_500_000
# a retry would only lengthen a full queue, or the cause lasts longer than the retries
NOT_RETRIED = frozenset([ErrorCode.OVERLOADED, ErrorCode.NO_PRIMARY, ErrorCode.MOVING, ErrorCode.NOT_IN_SYNC])

# makes one attempt (`request`; `tried`: backends of earlier attempts); an error where no backend ran the request
Attempt = Callable[..., Awaitable[HttpResponse | CinderstairError]]


class RetryMixin(RejectMixin):
    """The retry loop of the forwarding filter."""

    ctx: Context
    view: View

    def _left_us(self, *, request: Request) -> int:
        """Microseconds until the request's deadline."""
        return request.time_left_us(now_us=self.ctx.now_us())

    async def _retry(self, *, request: Request, attempt: Attempt) -> HttpResponse:
        """Repeats attempts, up to MAX_ATTEMPTS, as long as they end in errors; rejects with the last error.

        Safe, since an attempt returns an error only for requests that provably were not run, or only read.
        """
        tried: set[str] = set()
        error = CinderstairError(code=ErrorCode.TIME_LEFT_SPENT, reason="the deadline passed before a retry")
        for number in range(MAX_ATTEMPTS):
            outcome = await attempt(request=request, tried=tried)
            if isinstance(outcome, HttpResponse):
                return outcome
            error = outcome
            self.ctx.counters.add(name="jobs.rounds")
            if error.code == ErrorCode.MOVING and await self._wait_for_move(request=request):
                tried.clear()
                continue
            if error.code in NOT_RETRIED or self._left_us(request=request) <= RETRY_PAUSE_US * 2:
                break
            await self.ctx.sleep(duration_us=RETRY_PAUSE_US * number)
        return self.reject_with(error=error)

    async def _wait_for_move(self, *, request: Request) -> bool:
        """Waits for a planned switchover; False if it doesn't end in time, at once if the deadline comes first."""
        database = request.bound.database
        assignment = self.view.assignment(database=database)
        if assignment is None or not assignment.planned:
            return False
        ends_us = self.view.planned_since_us.get(database, self.ctx.now_us()) + PLANNED_MOVE_US
        # a request whose deadline is before the end of the switchover is rejected now instead of after a wait
        if request.until_us < ends_us or self.ctx.now_us() > ends_us:
            return False
        while self.ctx.now_us() < ends_us:
            assignment = self.view.assignment(database=database)
            if assignment is not None and assignment.state == SETTLED:
                return True
            await self.ctx.sleep(duration_us=RETRY_PAUSE_US)
        return False
