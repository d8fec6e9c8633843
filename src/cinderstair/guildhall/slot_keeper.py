"""The duty of dealing dense, stable ids to booths, and of freeing those of booths that are gone for good."""

from expression import Error, Ok, Result

from ..pitch.context import Context
from ..pitch.fault import Fault
from ..pitch.kind import Kind
from ..pitch.ownermixin import OwnerMixin
from ..steward.slots import SLOTS_KEY, Slots, readSlots
from ..vault.lease import Lease
from ..vault.register import Register
from ..vault.register_view import RegisterView
from .booth_census import BoothCensus

TICK_US = 500_000
ASK_EVERY_US = 2_000_000
GRACE_US = 30_000_000
SLOT_DUTY = "slots"


class SlotKeeper(OwnerMixin):
    """One write deals ids to all that wait; who asks no guildhall for the time of grace loses its id."""

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: RegisterView,
        census: BoothCensus,
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.census = census
        self.lease = Lease(ctx=ctx, register=register, duty=SLOT_DUTY, seekers=lambda: 3)
        self.held_since_us = 0
        self.openQueue()
        self.every(everyUs=TICK_US, command=self._tick, name="slots")

    async def _tick(self) -> None:
        if self.lease.due:
            held = self.lease.held
            if await self.lease.seek() and not held:
                self.held_since_us = self.ctx.nowUs()
        if not self.lease.held or not self.view.current:
            return
        seen_us = {name: seen.at_us for name, seen in (await self.census.gather(every_us=ASK_EVERY_US)).items()}
        now_us = self.ctx.nowUs()
        found = self.view.known.get(SLOTS_KEY)
        slots = readSlots(data=b"" if found is None else found.value)
        named = {name for _, name in slots.names}
        fresh = [name for name, us in sorted(seen_us.items()) if name not in named and now_us - us < ASK_EVERY_US]
        # why: who has just taken the duty has not heard yet whom the others see
        gone = [name for name in sorted(named) if now_us - max(seen_us.get(name, 0), self.held_since_us) > GRACE_US]
        if fresh or gone:
            await self._change(fresh=fresh, gone=gone)

    async def _change(self, *, fresh: list[str], gone: list[str]) -> None:
        def decide(data: bytes) -> Result[bytes, Fault]:
            slots: Slots = readSlots(data=data)
            for name in gone:
                slots = slots.without(name=name)
            for name in fresh:
                slots = slots.withName(name=name)
            if slots.bytes() == data:
                return Error(Fault(kind=Kind.versionTaken, why="dealt already"))
            return Ok(slots.bytes())

        result = await self.register.change(key=SLOTS_KEY, decide=decide)
        self.view.takeOwn(key=SLOTS_KEY, result=result)
        if result.is_ok():
            self.ctx.log.info("slots dealt to %s, freed of %s", fresh, gone)
