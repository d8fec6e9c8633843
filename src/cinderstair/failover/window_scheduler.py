"""Opens and ends maintenance windows by writing their stages into the register at their scheduled times."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.view import View
from ..maintenance.window_states import WINDOWS_KEY, read_window_states
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .singleton_role import SingletonRoleMixin

TIMER_PERIOD_US = 500_000
WINDOW_LEASE = "windows"


class WindowScheduler(SingletonRoleMixin):
    """Advances the stages by the wall clock of the lease holder.

    Invariant: HTTP proxies act on the stages in the register and never on their own clocks, so that all agree.
    """

    def __init__(self, *, ctx: Context, register: Register, view: View) -> None:
        self.ctx = ctx
        self.register = register
        self.view: View = view
        self.lease = Lease(
            ctx=ctx, register=register, name=WINDOW_LEASE, contenders=lambda: len(view.proxy_ids.names)
        )
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="windows")

    async def _on_timer(self) -> None:
        await self.renew_role()
        configuration = self.view.configuration
        if not self.may_act or configuration is None:
            return
        wall_us = self.ctx.wall_us()
        wanted = self.view.window_states.advanced(windows=configuration.windows, wall_us=wall_us)
        if wanted == self.view.window_states:
            return

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            # Another holder may have advanced the stages in the meantime; stages never go back.
            advanced = read_window_states(data=data).advanced(windows=configuration.windows, wall_us=wall_us)
            if advanced.bytes() == data:
                return Error(
                    CinderstairError(
                        code=ErrorCode.VERSION_TAKEN, reason="the stages of the windows are already up to date"
                    )
                )
            return Ok(advanced.bytes())

        result = await self.register.change(key=WINDOWS_KEY, decide=decide)
        self.view.apply_own_write(key=WINDOWS_KEY, result=result)
