"""The duty of turning booked windows into stages in the register, by one machine's calendar clock."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.view import View
from ..maintenance.windowstates import WINDOWS_KEY, read_window_states
from ..runtime.context import Context
from ..runtime.fault import Fault
from ..runtime.kind import Kind
from ..runtime.ownermixin import OwnerMixin

TICK_US = 500_000
WINDOW_DUTY = "windows"


class WindowDuty(OwnerMixin):
    """Stalls act on the stages and never on their own clocks, so that all act on the same word."""

    def __init__(self, *, ctx: Context, register: Register, view: View) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.lease = Lease(ctx=ctx, register=register, duty=WINDOW_DUTY, seekers=lambda: len(view.slots.names))
        self.open_queue()
        self.every(every_us=TICK_US, command=self._tick, name="windows")

    async def _tick(self) -> None:
        if self.lease.due:
            await self.lease.seek()
        charter = self.view.charter
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current or charter is None:
            return
        wall_us = self.ctx.wall_us()
        wanted = self.view.window_states.turned(windows=charter.windows, wall_us=wall_us)
        if wanted == self.view.window_states:
            return

        def decide(data: bytes) -> Result[bytes, Fault]:
            # why: another holder's clock may have turned a window meanwhile, and its word stands
            turned = read_window_states(data=data).turned(windows=charter.windows, wall_us=wall_us)
            if turned.bytes() == data:
                return Error(Fault(kind=Kind.versionTaken, why="turned already"))
            return Ok(turned.bytes())

        result = await self.register.change(key=WINDOWS_KEY, decide=decide)
        self.view.take_own(key=WINDOWS_KEY, result=result)
