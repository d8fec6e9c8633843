"""The duty of dealing dense, stable ids to booths, of freeing those of booths that are gone, and of their places."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..failover.booth_places import PLACES_KEY, BoothPlace, BoothPlaces, read_booth_places
from ..failover.slots import SLOTS_KEY, Slots, read_slots
from ..runtime.context import Context
from ..runtime.fault import Fault
from ..runtime.kind import Kind
from ..runtime.ownermixin import OwnerMixin
from .booth_census import BoothCensus

TICK_US = 500_000
ASK_EVERY_US = 2_000_000
SETTLED_EVERY_US = 6_000_000
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
        self.open_queue()
        self.every(every_us=TICK_US, command=self._tick, name="slots")

    async def _tick(self) -> None:
        if self.lease.due:
            held = self.lease.held
            if await self.lease.seek() and not held:
                self.held_since_us = self.ctx.now_us()
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current:
            return
        seen_us = {name: seen.at_us for name, seen in (await self.census.gather(every_us=ASK_EVERY_US)).items()}
        now_us = self.ctx.now_us()
        found = self.view.known.get(SLOTS_KEY)
        slots = read_slots(data=b"" if found is None else found.value)
        named = {name for _, name in slots.names}
        fresh = [name for name, us in sorted(seen_us.items()) if name not in named and now_us - us < ASK_EVERY_US]
        # why: who has just taken the duty has not heard yet whom the others see
        gone = [name for name in sorted(named) if now_us - max(seen_us.get(name, 0), self.held_since_us) > GRACE_US]
        if fresh or gone:
            await self._change(fresh=fresh, gone=gone)
        await self._keep_places()

    async def _keep_places(self) -> None:
        """One write for all whose place is another than the table says; a booth without an id has none."""
        slots = self.view.known.get(SLOTS_KEY)
        named = frozenset() if slots is None else frozenset(name for _, name in read_slots(data=slots.value).names)
        known = self.view.known.get(PLACES_KEY)
        data = b"" if known is None else known.value
        # why: once all are in the table nobody tells anything, and only who comes anew has to be asked about
        every_us = ASK_EVERY_US if named - set(read_places(data=data)) else SETTLED_EVERY_US
        found = await self.census.gather_places(every_us=every_us)
        told = {name: place for name, place in found.items() if name in named}

        def wanted(data: bytes) -> dict[str, BoothPlace]:
            return {name: place for name, place in read_places(data=data).items() if name in named} | told

        if wanted(data) == read_places(data=data):
            return
        result = await self.register.change(
            key=PLACES_KEY, decide=lambda data: Ok(BoothPlaces(places=wanted(data)).bytes())
        )
        self.view.take_own(key=PLACES_KEY, result=result)

    async def _change(self, *, fresh: list[str], gone: list[str]) -> None:
        def decide(data: bytes) -> Result[bytes, Fault]:
            slots: Slots = read_slots(data=data)
            for name in gone:
                slots = slots.without(name=name)
            for name in fresh:
                slots = slots.with_name(name=name)
            if slots.bytes() == data:
                return Error(Fault(kind=Kind.versionTaken, why="dealt already"))
            return Ok(slots.bytes())

        result = await self.register.change(key=SLOTS_KEY, decide=decide)
        self.view.take_own(key=SLOTS_KEY, result=result)
        if result.is_ok():
            self.ctx.log.info("slots dealt to %s, freed of %s", fresh, gone)


def read_places(*, data: bytes) -> dict[str, BoothPlace]:
    return dict(read_booth_places(data=data).places) if data else {}
