"""Chooses the pool of a service's primary, and says when to come back where there is none."""

from expression import Error, Ok, Result

from ..failover.service_primary import PrimaryState, ServicePrimary
from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import CinderstairError, ErrorCode
from .link_pool import LinkPool
from .relayed_view import LEASE_US
from .router_base import RouterBase

# A lost question or two delays the view by no more than this.
VIEW_LAPSE_US = 300_000
# A proxy that has just started hears of the primaries within this time.
STARTUP_US = 3_000_000
SILENT_RETRY_US = 1_000_000
MIN_MOVE_WAIT_US = 50_000
# How long a change is expected to take where the error names no time.
DEFAULT_WAIT_US = 100_000


class PrimarySelectionMixin(RouterBase):
    """Gives a primary's pool only while the view proves that it still leads."""

    def confirmed_primary(self, *, service: str) -> Result[LinkPool, CinderstairError]:
        """The primary's pool, or that of a detour to it.

        Errors: NO_PRIMARY, NOT_CURRENT, MOVING or NO_BACKEND; their detail `left_us` says when to ask again.
        """
        assignment = self.view.primaries.get(service)
        if assignment is None:
            return _refuse(code=ErrorCode.NO_PRIMARY, reason=f"{service}: nobody leads yet", left_us=VIEW_LAPSE_US)
        if not self.view.current:
            return _refuse(
                code=ErrorCode.NOT_CURRENT,
                reason="out of touch with the register",
                left_us=self._view_expected_in_us(),
            )
        if assignment.state != PrimaryState.settled:
            left_us = self.view.assigned_since_us[service] + assignment.ready_in_us - self.ctx.now_us()
            # An overdue move may take as long again, and a client is not held until its time is up for it.
            left_us = max(MIN_MOVE_WAIT_US, abs(left_us))
            return _refuse(code=ErrorCode.MOVING, reason=f"{service}: its lead moves", left_us=left_us)
        return self._reachable_primary(service=service, assignment=assignment)

    def _view_expected_in_us(self) -> int:
        """When the view should be current again.

        A view that lapsed longer ago than lost questions explain gives no hint when that will end.
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
                CinderstairError(code=ErrorCode.NO_PRIMARY, reason=f"{service}: {assignment.primary} is not there")
            )
        detour = self.detours.detour(pool=pool) if pool.unreachable else None
        if detour is not None:
            return Ok(detour)
        if pool.silent:
            # A statement sent to a silent backend may have been run, so its client would not know the outcome.
            reason = f"{service}: {assignment.primary} is silent"
            return _refuse(code=ErrorCode.NO_BACKEND, reason=reason, left_us=SILENT_RETRY_US)
        return Ok(pool)

    async def primary(self, *, service: str, until_us: int) -> Result[LinkPool, CinderstairError]:
        """The primary's pool; waits for a move only where its end is expected before `until_us`.

        Errors: those of `confirmed_primary`.
        """
        while True:
            primary = self.confirmed_primary(service=service)
            if primary.is_ok():
                return primary
            left_us = int(primary.error.details.get("left_us", DEFAULT_WAIT_US))
            if self.ctx.now_us() + left_us >= until_us:
                return primary
            await self.view.change(until_us=until_us)


def _refuse(*, code: ErrorCode, reason: str, left_us: int) -> Result[LinkPool, CinderstairError]:
    return Error(CinderstairError(code=code, reason=reason, details={"left_us": left_us}))
