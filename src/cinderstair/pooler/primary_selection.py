"""Selects the link pool of a service's primary, or an error that says when to retry."""

from expression import Error, Ok, Result

from ..failover.service_primary import PrimaryState, ServicePrimary
from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import CinderstairError, ErrorCode
from .link_pool import LinkPool
from .relayed_view import LEASE_US
from .router_base import RouterBase

# One or two lost requests to the controller delay the view by at most this.
VIEW_LAPSE_US = 300_000
# A starting proxy receives the primary assignments within this time.
STARTUP_US = 3_000_000
SILENT_RETRY_US = 1_000_000
MIN_MOVE_WAIT_US = 50_000
# Expected time until the state changes where the error has no `left_us`.
DEFAULT_WAIT_US = 100_000


class PrimarySelectionMixin(RouterBase):
    """Returns a primary's pool only while the relayed view is current, which proves the assignment valid."""

    def confirmed_primary(self, *, service: str) -> Result[LinkPool, CinderstairError]:
        """The primary's pool, or the pool of a detour to it by another proxy.

        Errors: NO_PRIMARY, NOT_CURRENT, MOVING or NO_BACKEND; the detail `left_us` is the expected wait before a
        retry (microseconds), absent where the assigned primary is not among the backends.
        """
        assignment = self.view.primaries.get(service)
        if assignment is None:
            return _refuse(
                code=ErrorCode.NO_PRIMARY,
                reason=f"{service}: no primary has been assigned yet",
                left_us=VIEW_LAPSE_US,
            )
        if not self.view.current:
            return _refuse(
                code=ErrorCode.NOT_CURRENT,
                reason="the view of the register has expired; waiting for a controller",
                left_us=self._view_expected_in_us(),
            )
        if assignment.state != PrimaryState.settled:
            left_us = self.view.assigned_since_us[service] + assignment.ready_in_us - self.ctx.now_us()
            # An overdue change is expected to take as long again; clients don't wait for it until their deadline.
            left_us = max(MIN_MOVE_WAIT_US, abs(left_us))
            return _refuse(code=ErrorCode.MOVING, reason=f"{service}: the primary is being changed", left_us=left_us)
        return self._reachable_primary(service=service, assignment=assignment)

    def _view_expected_in_us(self) -> int:
        """The time until the view is expected to be current again, in microseconds.

        A view that expired longer ago than lost requests explain gives no estimate; clients then retry later.
        """
        lapsed_us = self.ctx.now_us() - self.view.as_of_us - LEASE_US
        starting = self.ctx.now_us() - self.began_us < STARTUP_US
        if starting or lapsed_us < VIEW_LAPSE_US:
            return VIEW_LAPSE_US
        return ERROR_RESPONSES[ErrorCode.NOT_CURRENT].retry_after_us * 2

    def _reachable_primary(self, *, service: str, assignment: ServicePrimary) -> Result[LinkPool, CinderstairError]:
        pool = self.pools.get(assignment.primary)
        if pool is None or pool.closed:
            return Error(
                CinderstairError(
                    code=ErrorCode.NO_PRIMARY,
                    reason=f"{service}: primary {assignment.primary} is not among the announced backends",
                )
            )
        detour = self.detours.detour(pool=pool) if pool.unreachable else None
        if detour is not None:
            return Ok(detour)
        if pool.silent:
            # A statement sent to a backend that does not answer may be run, so its client would not know the outcome.
            reason = f"{service}: primary {assignment.primary} does not answer"
            return _refuse(code=ErrorCode.NO_BACKEND, reason=reason, left_us=SILENT_RETRY_US)
        return Ok(pool)

    async def primary(self, *, service: str, until_us: int) -> Result[LinkPool, CinderstairError]:
        """The primary's pool; waits for a promotion only if its end is expected before `until_us`.

        Errors: those of `confirmed_primary`.
        """
        while True:
            primary = self.confirmed_primary(service=service)
            if primary.is_ok():
                return primary
            left_us = int(primary.error.details.get("left_us", DEFAULT_WAIT_US))
            if self.ctx.now_us() + left_us >= until_us:
                return primary
            await self.view.next_answer(until_us=until_us)


def _refuse(*, code: ErrorCode, reason: str, left_us: int) -> Result[LinkPool, CinderstairError]:
    return Error(CinderstairError(code=code, reason=reason, details={"left_us": left_us}))
