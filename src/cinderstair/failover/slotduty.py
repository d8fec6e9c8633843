"""The duty of freeing the slots of stalls that are gone for good."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.view import View
from ..membership.crowd import Crowd
from ..membership.member import Standing
from ..runtime.context import Context
from ..runtime.fault import Fault
from ..runtime.kind import Kind
from ..runtime.ownermixin import OwnerMixin
from .slots import SLOTS_KEY, read_slots

TICK_US = 1_000_000
GRACE_US = 30_000_000
SLOT_DUTY = "slots"


class SlotDuty(OwnerMixin):
    """A stall takes its slot itself; only this duty takes one away, after a time of grace."""

    def __init__(
        self, *, ctx: Context, register: Register, view: View, crowd: Crowd, grace_us: int = GRACE_US
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.crowd = crowd
        self.grace_us = grace_us
        self.lease = Lease(ctx=ctx, register=register, duty=SLOT_DUTY, seekers=lambda: len(view.slots.names))
        self.gone_since_us: dict[str, int] = {}
        self.open_queue()
        self.every(every_us=TICK_US, command=self._tick, name="slots")

    async def claim(self, *, name: str) -> None:
        """Takes the lowest free id, or the one that stood under this name before."""
        result = await self.register.change(
            key=SLOTS_KEY, decide=lambda data: Ok(read_slots(data=data).with_name(name=name).bytes())
        )
        self.view.take_own(key=SLOTS_KEY, result=result)

    async def _tick(self) -> None:
        if self.lease.due:
            await self.lease.seek()
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current:
            self.gone_since_us.clear()
            return
        now_us = self.ctx.now_us()
        for _, name in self.view.slots.names:
            standing = self.crowd.standing(name=name)
            if standing is not None and standing <= Standing.suspect:
                self.gone_since_us.pop(name, None)
            elif now_us - self.gone_since_us.setdefault(name, now_us) > self.grace_us:
                await self._free(name=name)

    async def _free(self, *, name: str) -> None:
        def decide(data: bytes) -> Result[bytes, Fault]:
            slots = read_slots(data=data)
            if slots.id_of(name=name) is None:
                return Error(Fault(kind=Kind.versionTaken, why="freed already"))
            return Ok(slots.without(name=name).bytes())

        result = await self.register.change(key=SLOTS_KEY, decide=decide)
        self.view.take_own(key=SLOTS_KEY, result=result)
        self.gone_since_us.pop(name, None)
        if result.is_ok():
            self.ctx.counters.add(name="slots.freed")
            self.ctx.log.info("slot of %s is free", name)
