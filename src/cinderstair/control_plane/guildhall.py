"""The control daemon of a machine with a disk: a vault, and beside it what rests on the register."""

import asyncio
from collections.abc import Callable

from expression import Ok, Result

from ..config.service_plan import PLAN_KEY, read_service_plan
from ..consensus.register_view import RegisterView
from ..consensus.vault import Vault
from ..failover.backend_control import BackendControl, Promoter
from ..failover.promotion_duty import PROBE_WAIT_US, PromotionDuty
from ..failover.shard_duty import Ballots, Handover, ShardDuty
from ..membership.announcement import Announcement, read_announcement
from ..membership.beat import READY
from ..membership.news import News
from ..runtime.context import Context
from ..runtime.desks import GUILDHALL, OPINION, SUSPECT
from ..runtime.fault import Fault
from ..runtime.kind import Kind
from ..runtime.packer import Packer
from ..runtime.settings import Settings
from ..runtime.unpacker import Unpacker
from .announcer import Announcer
from .booth_census import BoothCensus
from .orders import Orders
from .relay import Relay
from .shard_desk import ShardDesk
from .slot_keeper import SlotKeeper
from .status_text import status_text

VIEW_EVERY_US = 200_000
NEWS_EVERY_US = 250_000
# why: two that are asked at the same moment bring the same beats twice
NEWS_FROM = 1
OPINION_WAIT_US = 900_000
TELL_WAIT_US = 400_000
TROUBLE_EVERY_US = 250_000
SUBMIT_TRIES = 4
CENSUS_EVERY_US = 200_000


class Guildhall:
    """Hears backends and operators, answers booths, and holds duties under the register's leases."""

    def __init__(
        self,
        *,
        ctx: Context,
        settings: Settings,
        control: BackendControl,
        promoter: Promoter,
        halt: Callable[[str], None],
        quiet_us: int,
        booth_lease_us: int,
        handover: Handover | None = None,
    ) -> None:
        self.ctx = ctx
        self.settings = settings
        self.control = control
        self.promoter = promoter
        self.vault = Vault(ctx=ctx, settings=settings, halt=halt)
        self.quiet_us = quiet_us
        self.booth_lease_us = booth_lease_us
        self.handover = handover
        self.troubled_us: dict[str, int] = {}

    async def start(self) -> Result[None, Fault]:
        started = await self.vault.start()
        if started.is_error():
            return started
        ctx, vault = self.ctx, self.vault
        assert vault.crowd is not None
        self.news: News[Announcement] = News(
            ctx=ctx,
            desk=vault.desk,
            crowd=vault.crowd,
            read=lambda unpacker: read_announcement(unpacker=unpacker),
            peers=self._neighbours,
            every_us=NEWS_EVERY_US,
            quiet_us=self.quiet_us,
            pull_from=NEWS_FROM,
        )
        self.view = RegisterView(
            ctx=ctx, register=vault.register, every_us=VIEW_EVERY_US, lease_us=self.booth_lease_us
        )
        self.relay = Relay(
            ctx=ctx,
            desk=vault.desk,
            view=self.view,
            news=self.news,
            guildhalls=self._guildhalls,
            on_trouble=self._troubled,
            shorten=self._shorten,
        )
        self.duty = PromotionDuty(
            ctx=ctx,
            register=vault.register,
            view=self.view,
            news=self.news,
            control=self.control,
            promoter=self.promoter,
            opinions=self._opinions,
            lease_us=self.booth_lease_us,
        )
        self.census = BoothCensus(
            ctx=ctx,
            desk=vault.desk,
            relay=self.relay,
            neighbours=self._neighbours,
            word=lambda: (self.shards.state.turn, self.shards.state.phase),
        )
        self.slots = SlotKeeper(ctx=ctx, register=vault.register, view=self.view, census=self.census)
        self.shards = ShardDuty(
            ctx=ctx,
            register=vault.register,
            view=self.view,
            census=self._census,
            told=lambda state: self.census.told(word=(state.turn, state.phase)),
            planned=self._planned,
            handover=self.handover,
            lease_us=self.booth_lease_us,
            under_way_us=self.settings.underWayUs,
        )
        self.announcer = Announcer(ctx=ctx, desk=vault.desk, news=self.news, voters=self._voters)
        self.view.post(command=self.view.pull, once="view")
        self.news.begin()
        self.orders = Orders(register=vault.register, view=self.view)
        self.shard_desk = ShardDesk(
            desk=vault.desk,
            register=vault.register,
            shards=self.shards,
            plan=lambda: self.duty.plan,
            planned=self._planned,
            brings=lambda: self.handover is not None,
        )
        vault.desk.open(kind=GUILDHALL, answer=self._status_asked)
        vault.desk.open(kind=SUSPECT, answer=self._suspected)
        vault.desk.open(kind=OPINION, answer=self._opinion)
        return Ok(None)

    def _guildhalls(self) -> tuple[str, ...]:
        """The record addresses of all control daemons that are known to be there."""
        crowd = self.vault.crowd
        others = [] if crowd is None else [member.records for member in crowd.alive(role="vault")]
        return tuple(sorted({self.settings.records, *others}))

    def _voters(self) -> tuple[str, ...]:
        """The record addresses of those that vote; none while no roster is known."""
        roster = self.vault.register.roster or self.vault.roster
        return () if roster is None else tuple(voter.address for voter in roster.voters)

    def _neighbours(self) -> list[str]:
        """The others: those met, those that vote, and while nobody votes yet the seeds."""
        roster = self.vault.roster or self.vault.register.roster
        voters = self.settings.seeds if roster is None else tuple(voter.address for voter in roster.voters)
        addresses = dict.fromkeys((*self._guildhalls(), *voters))
        return [address for address in addresses if address != self.settings.records]

    async def _census(self) -> dict[str, Ballots]:
        return dict(await self.census.gather(every_us=CENSUS_EVERY_US))

    def _planned(self, database: str) -> str:
        plan = self.duty.plan
        route = None if plan is None else plan.routes.get(database)
        return "" if route is None else route.service

    def _shorten(self, key: str, value: bytes) -> bytes:
        """Booths act on the compiled plan; the operator's document stays here."""
        if key != PLAN_KEY or not value:
            return value
        return read_service_plan(data=value).bytes(with_document=False)

    # -- backends --

    async def hear(self, *, announcement: Announcement) -> bool:
        """A backend's word about itself; whether it may be acknowledged.

        What is acknowledged here alone would be lost with this daemon, or known to nobody while it is cut off.
        """
        self.news.hear(beat=announcement)
        if announcement.state != READY:
            return await self.announcer.spread(announcement=announcement)
        return self.view.current

    async def depart(self, *, name: str) -> bool:
        """A backend's goodbye, whether or not it was ever heard of here; whether it may be acknowledged."""
        return await self.announcer.depart(name=name)

    def _troubled(self, name: str, booth: str) -> None:
        """A booth finds a backend silent; the holder of the duty is told, wherever it is."""
        now_us = self.ctx.now_us()
        # why: a copy that is gone is read round by each booth; only a primary's loss is anybody's duty
        if not any(lead.primary == name for lead in self.duty.leads.values()):
            return
        if now_us - self.troubled_us.get(name, -TROUBLE_EVERY_US) < TROUBLE_EVERY_US:
            return
        self.troubled_us[name] = now_us
        self.ctx.counters.add(name="promotion.suspicions")
        if self.duty.lease.held:
            self.duty.suspect(name=name)
            return
        body = Packer().u8(value=SUSPECT).text(value=name).bytes()
        for address in self._neighbours():
            self.ctx.spawn(
                work=self.ctx.parley.ask(address=address, body=body, wait_us=TELL_WAIT_US), name="suspect.tell"
            )

    async def _suspected(self, unpacker: Unpacker) -> bytes:
        name = unpacker.text()
        unpacker.done()
        if self.duty.lease.held:
            self.duty.suspect(name=name)
        return b"\0"

    async def _opinion(self, unpacker: Unpacker) -> bytes:
        """Whether a backend can be reached from here."""
        name = unpacker.text()
        unpacker.done()
        heard = self.news.latest(name=name)
        if heard is None:
            raise ValueError("never heard of it")
        state = await self.control.state(backend=heard.beat, wait_us=PROBE_WAIT_US)
        return Packer().u8(value=int(state.is_ok() or state.error.kind != Kind.wireUnsent)).bytes()

    async def _opinions(self, name: str) -> tuple[int, int]:
        """How many other control daemons reach a backend, and how many have said whether they do."""
        body = Packer().u8(value=OPINION).text(value=name).bytes()
        asks = [
            self.ctx.parley.ask(address=address, body=body, wait_us=OPINION_WAIT_US) for address in self._neighbours()
        ]
        answers = [result.ok for result in await asyncio.gather(*asks) if result.is_ok() and result.ok]
        return sum(answer[0] for answer in answers), len(answers)

    # -- operators --

    async def _status_asked(self, unpacker: Unpacker) -> bytes:
        unpacker.done()
        return Packer().text(value="").text(value=status_text(guildhall=self)).bytes()

    async def drain(self) -> None:
        """A planned stop: hands its duties back, then says goodbye."""
        await asyncio.gather(self.duty.lease.drop(), self.slots.lease.drop(), self.shards.lease.drop())
        await self.vault.drain()

    def resettle(self, *, settings: Settings) -> None:
        self.settings = settings
        self.vault.resettle(settings=settings)
