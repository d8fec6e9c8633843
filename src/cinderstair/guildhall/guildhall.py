"""The control daemon of a machine with a disk: a vault, and beside it what rests on the register."""

import asyncio
from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from ..charter.service_plan import PLAN_KEY, ServicePlan, plan_version, read_service_plan
from ..charter.shard_check import shard_map_troubles
from ..charter.shard_map import ShardMap, check_shard_map
from ..crier.announcement import Announcement, read_announcement
from ..crier.beat import READY
from ..crier.news import News
from ..pitch.context import Context
from ..pitch.desks import GUILDHALL, OPINION, SHARDS, SHARDS_ABANDON, SHARDS_PLAN, SHARDS_PROGRESS, SUSPECT
from ..pitch.fault import Fault
from ..pitch.kind import Kind
from ..pitch.packer import Packer
from ..pitch.settings import Settings
from ..pitch.unpacker import Unpacker
from ..steward.backend_control import BackendControl, Promoter
from ..steward.promotion_duty import PROBE_WAIT_US, PromotionDuty
from ..steward.shard_duty import Ballots, Handover, ShardDuty
from ..steward.shard_state import SHARDS_KEY, read_shard_state
from ..vault.register import Found
from ..vault.register_view import RegisterView
from ..vault.vault import Vault
from .announcer import Announcer
from .booth_census import BoothCensus
from .relay import Relay
from .slot_keeper import SlotKeeper
from .status_text import describe, status_text

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
        vault.desk.open(kind=SHARDS, answer=self._shards_asked)
        vault.desk.open(kind=SHARDS_PLAN, answer=self._shards_planned)
        vault.desk.open(kind=SHARDS_ABANDON, answer=self._shards_abandoned)
        vault.desk.open(kind=SHARDS_PROGRESS, answer=self._shards_progress)
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

    async def submit(self, *, plan: ServicePlan) -> Result[bool, Fault]:
        """Puts a checked configuration into the register; True where it changed anything.

        The highest version holds: one that is not above it is taken note of and changes nothing. versionTaken: its
        number was acknowledged for another document. registerUnreachable: no majority is in reach.
        """

        def decide(current: bytes) -> Result[bytes, Fault]:
            if not current:
                return Ok(plan.following(standing=None).bytes())
            standing = read_service_plan(data=current)
            if plan.version > standing.version:
                return Ok(plan.following(standing=standing).bytes())
            known = standing.digest_of(version=plan.version)
            if known is None:
                return Ok(standing.with_accepted(other=plan).bytes())
            if known != plan.digest:
                why = f"version {plan.version} has other content; version {standing.version} is in force"
                return Error(Fault(kind=Kind.versionTaken, why=why))
            return Error(Fault(kind=Kind.versionOld, why="it was acknowledged before"))

        if not self.view.current:
            return Error(Fault(kind=Kind.registerUnreachable, why="out of touch with the register"))
        result: Result[Found, Fault] = Error(Fault(kind=Kind.registerUnreachable, why="not tried"))
        for _ in range(SUBMIT_TRIES):
            result = await self.vault.register.change(key=PLAN_KEY, decide=decide)
            if result.is_ok():
                self.view.take_own(key=PLAN_KEY, result=result)
                return Ok(plan_version(data=result.ok.value) == plan.version)
            # why: the same version may be put again to the same effect; one that won meanwhile answers for it
            if result.error.kind == Kind.versionOld:
                return Ok(False)
            if result.error.kind != Kind.registerUnsure:
                break
        return Error(result.error)

    async def fetch(self) -> Result[bytes, Fault]:
        """The newest accepted configuration in its operator's own bytes, as a majority holds it."""
        if not self.view.current:
            return Error(Fault(kind=Kind.registerUnreachable, why="out of touch with the register"))
        found = await self.vault.register.read(key=PLAN_KEY)
        if found.is_error():
            return Error(found.error)
        if not found.ok.value:
            return Error(Fault(kind=Kind.noConfiguration, why="no configuration has been accepted yet"))
        return Ok(read_service_plan(data=found.ok.value).document)

    async def _shards_asked(self, unpacker: Unpacker) -> bytes:
        """An operator's shard map, or no bytes for a word on the one that stands; answered by a kind and words."""
        raw = unpacker.blob()
        unpacker.done()
        if not raw:
            found = await self.vault.register.read(key=SHARDS_KEY)
            if found.is_error():
                return Packer().text(value=found.error.kind.value).text(value=found.error.why).bytes()
            return Packer().text(value="").text(value=describe(state=read_shard_state(data=found.ok.value))).bytes()
        checked = self._checked(raw=raw)
        result = Error(checked.error) if checked.is_error() else await self.shards.propose(wanted=checked.ok)
        return answered(result=result, words="put to the booths")

    def _checked(self, *, raw: bytes) -> Result[ShardMap, Fault]:
        """An operator's map, held against the configuration and the map that stand."""
        checked = check_shard_map(raw=raw)
        if checked.is_error():
            return checked
        plan = self.duty.plan
        if plan is None:
            return Error(Fault(kind=Kind.noConfiguration, why="no configuration has been accepted yet"))
        text, current = raw.decode(errors="replace"), self.shards.state.current
        troubles = shard_map_troubles(text=text, wanted=checked.ok, current=current, plan=plan)
        if troubles:
            return Error(Fault(kind=Kind.brokenConfiguration, why="\n".join(troubles)))
        return checked

    async def _shards_planned(self, unpacker: Unpacker) -> bytes:
        """A dry run: nothing is put anywhere."""
        raw = unpacker.blob()
        unpacker.done()
        checked = self._checked(raw=raw)
        if checked.is_error():
            return answered(result=checked, words="")
        wanted, current = checked.ok, self.shards.state.current
        if wanted.version <= current.version:
            fault = Fault(kind=Kind.versionOld, why=f"version {current.version} stands")
            return answered(result=Error(fault), words="")
        lines = []
        for database, service in sorted(wanted.places.items()):
            now = current.place(database=database, planned=self._planned(database))
            if now != service:
                lines.append(f"{database}: from {now} to {service}")
        foreseen = await self.shards.forecast()
        lines.append(foreseen.words() if lines else "nothing moves")
        if self.handover is None:
            lines.append("begin would be refused: nothing here brings a database's data to another place")
        return answered(result=Ok(None), words="\n".join(lines))

    async def _shards_abandoned(self, unpacker: Unpacker) -> bytes:
        version = unpacker.u64()
        unpacker.done()
        return answered(result=await self.shards.abandon(version=version), words=f"map {version} is given up")

    async def _shards_progress(self, unpacker: Unpacker) -> bytes:
        """Words for people, then the phase, the turn, the version that stands, and why the last was withdrawn."""
        unpacker.done()
        progress = await self.shards.progress()
        state = progress.state
        packer = Packer().text(value="").text(value=progress.words())
        packer.u8(value=state.phase).u64(value=state.turn).u64(value=state.current.version).text(value=state.why)
        return packer.bytes()

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


def answered(*, result: Result[Any, Fault], words: str) -> bytes:
    """An operator's answer: a kind, empty where all is well, and words."""
    if result.is_error():
        return Packer().text(value=result.error.kind.value).text(value=result.error.why).bytes()
    return Packer().text(value="").text(value=words).bytes()
