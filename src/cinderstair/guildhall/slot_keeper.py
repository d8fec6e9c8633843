"""The duty of dealing dense, stable ids to booths, and of freeing those of booths that are gone for good."""

import asyncio
from collections.abc import Callable

from expression import Error, Ok, Result

from ..pitch.context import Context
from ..pitch.desk import Desk
from ..pitch.desks import BOOTHS
from ..pitch.fault import Fault
from ..pitch.kind import Kind
from ..pitch.ownermixin import OwnerMixin
from ..pitch.packer import Packer
from ..pitch.unpacker import Unpacker
from ..steward.slots import SLOTS_KEY, Slots, readSlots
from ..vault.lease import Lease
from ..vault.register import Register
from ..vault.register_view import RegisterView
from .relay import Relay

TICK_US = 500_000
ASK_EVERY_US = 2_000_000
ASK_WAIT_US = 500_000
GRACE_US = 30_000_000
SLOT_DUTY = "slots"


class SlotKeeper(OwnerMixin):
    """One write deals ids to all that wait; who asks no guildhall for the time of grace loses its id."""

    def __init__(
        self,
        *,
        ctx: Context,
        desk: Desk,
        register: Register,
        view: RegisterView,
        relay: Relay,
        neighbours: Callable[[], list[str]],
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.relay = relay
        self.neighbours = neighbours
        self.lease = Lease(ctx=ctx, register=register, duty=SLOT_DUTY, seekers=lambda: 3)
        self.seen_us: dict[str, int] = {}
        self.asked_us = -ASK_EVERY_US
        self.held_since_us = 0
        desk.open(kind=BOOTHS, answer=self._asked)
        self.openQueue()
        self.every(everyUs=TICK_US, command=self._tick, name="slots")

    async def _asked(self, unpacker: Unpacker) -> bytes:
        unpacker.done()
        seen = self.relay.seen(within_us=GRACE_US).items()
        return Packer().many(values=seen, each=lambda p, e: p.text(value=e[0]).u64(value=e[1])).bytes()

    async def _gather(self) -> None:
        """When each booth was last seen by any guildhall."""
        now_us = self.ctx.nowUs()
        for name, age_us in self.relay.seen(within_us=GRACE_US).items():
            self.seen_us[name] = max(self.seen_us.get(name, 0), now_us - age_us)
        if now_us - self.asked_us < ASK_EVERY_US:
            return
        self.asked_us = now_us
        body = Packer().u8(value=BOOTHS).bytes()
        asks = [self.ctx.parley.ask(address=address, body=body, waitUs=ASK_WAIT_US) for address in self.neighbours()]
        for result in await asyncio.gather(*asks):
            if result.is_ok():
                for name, age_us in Unpacker(data=result.ok).many(each=lambda u: (u.text(), u.u64())):
                    self.seen_us[name] = max(self.seen_us.get(name, 0), now_us - age_us)

    async def _tick(self) -> None:
        if self.lease.due:
            held = self.lease.held
            if await self.lease.seek() and not held:
                self.held_since_us = self.ctx.nowUs()
        if not self.lease.held or not self.view.current:
            return
        await self._gather()
        now_us = self.ctx.nowUs()
        found = self.view.known.get(SLOTS_KEY)
        slots = readSlots(data=b"" if found is None else found.value)
        named = {name for _, name in slots.names}
        fresh = [
            name for name, us in sorted(self.seen_us.items()) if name not in named and now_us - us < ASK_EVERY_US
        ]
        # why: who has just taken the duty has not heard yet whom the others see
        gone = [
            name for name in sorted(named) if now_us - max(self.seen_us.get(name, 0), self.held_since_us) > GRACE_US
        ]
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
