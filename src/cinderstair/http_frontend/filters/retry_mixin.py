"""Retries of jobs that ran nowhere, within their time left."""

from collections.abc import Awaitable, Callable

from ...failover.database_primary import SETTLED
from ...runtime.context import Context
from ...runtime.errors import CinderstairError, ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request
from ..view import View

MAX_ATTEMPTS = 4
# the pause grows by this with each attempt, from none; also how often a move is looked at
RETRY_PAUSE_US = 30_000
# the longest that a planned move takes when nothing fails; jobs with less time left are rejected at once
PLANNED_MOVE_US = 5_500_000
# another attempt would only make a full queue longer, or wait for what takes longer than a retry
NOT_RETRIED = frozenset([ErrorCode.OVERLOADED, ErrorCode.NO_LEAD, ErrorCode.MOVING, ErrorCode.NOT_IN_SYNC])

# makes one attempt (`request`, and `tried`: the backends of earlier ones); an error where the job ran nowhere
Attempt = Callable[..., Awaitable[HttpResponse | CinderstairError]]


class RetryMixin(RejectMixin):
    """Gives a filter the retry loop."""

    ctx: Context
    view: View

    def _left_us(self, *, request: Request) -> int:
        """The request's time left."""
        return request.time_left_us(now_us=self.ctx.now_us())

    async def _retry(self, *, request: Request, attempt: Attempt) -> HttpResponse:
        """Repeats attempts of a job that provably ran nowhere, or that only reads; rejects with the last error."""
        tried: set[str] = set()
        error = CinderstairError(code=ErrorCode.TIME_LEFT_SPENT, reason="no time was left for another round")
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
        """Waits for a planned move to end; false where it doesn't, at once where the job has too little time left."""
        database = request.bound.database
        assignment = self.view.assignment(database=database)
        if assignment is None or not assignment.planned:
            return False
        ends_us = self.view.planned_since_us.get(database, self.ctx.now_us()) + PLANNED_MOVE_US
        # a job that can't outlast the move is rejected now, not after it has waited in vain
        if request.until_us < ends_us or self.ctx.now_us() > ends_us:
            return False
        while self.ctx.now_us() < ends_us:
            assignment = self.view.assignment(database=database)
            if assignment is not None and assignment.state == SETTLED:
                return True
            await self.ctx.sleep(duration_us=RETRY_PAUSE_US)
        return False
