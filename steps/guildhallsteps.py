"""Steps for the guildhall's relay and slot keeper, and for the duty of promotions."""

import asyncio
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from expression import Error, Ok, Result
from stage import Stage, announcement, plan, position, shown

from cinderstair.config.service_plan import PLAN_KEY
from cinderstair.consensus.acceptor import BEATEN, OK
from cinderstair.consensus.ballot import Ballot
from cinderstair.consensus.register import Found
from cinderstair.consensus.register_view import RegisterView
from cinderstair.consensus.roster import Roster, Voter
from cinderstair.control_plane.booth_census import BoothCensus
from cinderstair.control_plane.relay import Relay
from cinderstair.control_plane.slot_keeper import SlotKeeper
from cinderstair.failover.backend_control import BackendState
from cinderstair.failover.booth_places import PLACES_KEY, read_booth_places
from cinderstair.failover.promotion_duty import PromotionDuty
from cinderstair.failover.service_lead import LeadState, ServiceLead, read_service_lead, service_lead_key
from cinderstair.failover.shard_state import Vote
from cinderstair.failover.slots import SLOTS_KEY, read_slots
from cinderstair.membership.announcement import GONE, Announcement
from cinderstair.membership.beat import EMPTYING, READY
from cinderstair.membership.news import News
from cinderstair.membership.pooled_sample import ToldSample
from cinderstair.membership.relay_record import RelayAnswer, RelayQuestion, read_relay_answer
from cinderstair.pooler.relayed_view import LEASE_US
from cinderstair.runtime.context import Context
from cinderstair.runtime.desk import Desk
from cinderstair.runtime.desks import BOOTHS, PLACE, RELAY
from cinderstair.runtime.fault import Fault
from cinderstair.runtime.kind import Kind
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.position import Position
from cinderstair.runtime.unpacker import Unpacker

BEAT_US = 1_000_000
QUIET_US = 3_000_000
OUTWAIT_US = LEASE_US + LEASE_US // 10
PROMOTED_US = 300_000
COMMIT_US = 5_000
ROSTER = Roster(epoch=1, voters=(Voter(ident=1, name="vault-1", address="10.0.0.1:1"),))


class Store:
    """What all registers of a stage share: the values, and who holds which lease."""

    def __init__(self) -> None:
        self.values: dict[str, Found] = {}
        self.turn = 0
        self.leases: dict[str, tuple[int, int]] = {}
        self.writes: list[tuple[int, str, bytes]] = []
        self.refused: set[str] = set()


class FakeRegister:
    """A register whose majority is one store, reached by this daemon unless it is cut off."""

    def __init__(self, *, ctx: Context, store: Store, proposer: int) -> None:
        self.ctx = ctx
        self.store = store
        self.proposer = proposer
        self.roster: Roster | None = ROSTER
        self.cut = False

    def _missing(self) -> Any:
        return Error(Fault(kind=Kind.registerUnreachable, why="cut off"))

    async def poll(
        self, *, roster: Roster, body: bytes, enough: Callable[[list[bytes]], bool], first: int = 0
    ) -> list[bytes]:
        await self.ctx.rest(wait_us=2_000)
        if self.cut:
            return []
        unpacker = Unpacker(data=body)
        unpacker.u8()
        unpacker.u32()
        duty, proposer, length_us = unpacker.text(), unpacker.u64(), unpacker.u64()
        now_us = self.ctx.now_us()
        holder, until_us = self.store.leases.get(duty, (0, 0))
        if holder != proposer and until_us > now_us:
            return [bytes([BEATEN])]
        self.store.leases[duty] = (proposer, now_us + length_us)
        return [bytes([OK])]

    async def change(self, *, key: str, decide: Callable[[bytes], Result[bytes, Fault]]) -> Result[Found, Fault]:
        await self.ctx.rest(wait_us=2_000)
        if self.cut:
            return self._missing()
        found = self.store.values.get(key)
        decided = decide(b"" if found is None else found.value)
        if decided.is_error():
            return Error(decided.error)
        if key in self.store.refused:
            return Error(Fault(kind=Kind.registerUnsure, why="cut short"))
        self.store.turn += 1
        made = Found(ballot=Ballot(self.store.turn, self.proposer), value=decided.ok)
        self.store.values[key] = made
        self.store.writes.append((self.ctx.now_us(), key, decided.ok))
        await self.ctx.rest(wait_us=2_000)
        return Ok(made)

    async def read(self, *, key: str) -> Result[Found, Fault]:
        await self.ctx.rest(wait_us=2_000)
        return self._missing() if self.cut else Ok(self.store.values[key])

    async def vector(self) -> Result[dict[str, Ballot], Fault]:
        await self.ctx.rest(wait_us=2_000)
        return self._missing() if self.cut else Ok({key: found.ballot for key, found in self.store.values.items()})


class FakeCrowd:
    def alive(self, *, role: str = "") -> list[Any]:
        return []


class Simulated:
    """A backend of a service: what it is, and what it does when it is told."""

    def __init__(self, *, name: str, leads: bool, at: Position) -> None:
        self.name = name
        self.leads = leads
        self.term = at.term
        self.at = at
        self.held = 0
        self.paused = False
        self.standing = READY
        self.role_told = leads
        self.up = True
        self.beats = True
        self.reach = "yes"
        self.pausable = True
        self.promotable = True
        self.steps_down = True
        self.follows_us = 0
        self.number = 0
        self.stepped_us = 0
        self.log: list[str] = []


class Cluster:
    """A service's backends, and the platform that promotes. A commit is acknowledged once a copy has it."""

    def __init__(self, *, stage: Stage, names: tuple[str, ...], at: Position, confirmations: int) -> None:
        self.stage = stage
        self.backends = {name: Simulated(name=name, leads=name == names[0], at=at) for name in names}
        self.confirmations = confirmations
        self.acknowledged = at
        self.lost: list[str] = []
        self.calls: list[tuple[int, str, int]] = []
        self.refuses: set[str] = set()
        self.writing = False
        self.hears: list[Callable[[Announcement], None]] = []
        stage.call(call=lambda: stage.ctx.spawn(work=self._beat()))
        stage.call(call=lambda: stage.ctx.spawn(work=self._commit()))

    async def _beat(self) -> None:
        while True:
            for each in self.backends.values():
                self.say(backend=each)
            await asyncio.sleep(BEAT_US / 1_000_000)

    def say(self, *, backend: Simulated) -> None:
        if backend.up and backend.beats:
            backend.number += 1
            word = announcement(name=backend.name, state=backend.standing, leads=backend.leads, number=backend.number)
            for hear in self.hears:
                hear(word)

    async def _commit(self) -> None:
        while True:
            await asyncio.sleep(COMMIT_US / 1_000_000)
            if not self.writing:
                continue
            for primary in [each for each in self.backends.values() if each.leads and each.up]:
                made = Position(primary.term, primary.at.number + 1)
                primary.at = made
                took = [
                    copy
                    for copy in self.backends.values()
                    if copy is not primary
                    and copy.up
                    and not copy.leads
                    and not copy.paused
                    and copy.held <= made.term
                ]
                for copy in took:
                    copy.at = max(copy.at, made)
                if len(took) >= self.confirmations:
                    self.acknowledged = max(self.acknowledged, made)

    def _state(self, backend: Simulated) -> Result[BackendState, Fault]:
        return Ok(BackendState(leads=backend.leads, term=backend.term, received=backend.at, term_held=backend.held))

    async def _told(self, *, name: str, text: str, wait_us: int) -> Simulated | Fault:
        backend = self.backends[name]
        if not backend.up or backend.reach == "no":
            await asyncio.sleep(0.001 if not backend.up else wait_us / 1_000_000)
            details = {"refused": int(not backend.up and backend.reach == "yes")}
            return Fault(kind=Kind.wireUnsent, why="not reached", details=details)
        if backend.reach == "silent":
            await asyncio.sleep(wait_us / 1_000_000)
            return Fault(kind=Kind.wireUnsure, why="silent")
        await asyncio.sleep(0.001)
        if text != "state":
            backend.log.append(text)
        return backend

    async def state(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, Fault]:
        found = await self._told(name=backend.name, text="state", wait_us=wait_us)
        return Error(found) if isinstance(found, Fault) else self._state(found)

    async def pause(self, *, backend: Announcement, term: int, wait_us: int) -> Result[BackendState, Fault]:
        found = await self._told(name=backend.name, text=f"pause {term}", wait_us=wait_us)
        if isinstance(found, Fault):
            return Error(found)
        if not found.pausable:
            return Error(Fault(kind=Kind.wireUnsure, why="BUSY"))
        if term > found.held and not found.leads:
            found.held, found.paused = term, True
        return self._state(found)

    async def resume(self, *, backend: Announcement, wait_us: int) -> Result[BackendState, Fault]:
        found = await self._told(name=backend.name, text="resume", wait_us=wait_us)
        if isinstance(found, Fault):
            return Error(found)
        found.held, found.paused = 0, False
        return self._state(found)

    async def step_down(self, *, backend: Announcement, term: int, wait_us: int) -> Result[BackendState, Fault]:
        found = await self._told(name=backend.name, text=f"step down {term}", wait_us=wait_us)
        if isinstance(found, Fault):
            return Error(found)
        if found.leads and found.term < term and found.steps_down:
            for copy in [each for each in self.backends.values() if each.follows_us]:
                self.stage.loop.call_later(copy.follows_us / 1_000_000, setattr, copy, "at", found.at)
            found.leads, found.stepped_us = False, self.stage.now_us
            self.say(backend=found)
        return self._state(found)

    async def promote(
        self, *, service: str, backend: str, fence_number: int, holds: Callable[[], bool]
    ) -> Result[None, Fault]:
        await asyncio.sleep(0.01)
        self.calls.append((self.stage.now_us, backend, fence_number))
        found = self.backends[backend]
        if not found.up or backend in self.refuses:
            return Error(Fault(kind=Kind.noBackend, why="409"))
        if found.promotable and not found.leads:
            self.stage.loop.call_later(PROMOTED_US / 1_000_000, self._lead, found)
        return Ok(None)

    def _lead(self, backend: Simulated) -> None:
        if not backend.up or backend.leads:
            return
        if backend.at < self.acknowledged:
            self.lost.append(f"{backend.name} has {backend.at}, acknowledged was {self.acknowledged}")
        backend.leads, backend.paused, backend.held = True, False, 0
        backend.term = max(each.term for each in self.backends.values()) + 1
        backend.at = Position(backend.term, backend.at.number)
        for other in self.backends.values():
            # why: copies that were ahead are cut back to what the new primary has
            if other is not backend and not other.leads:
                other.at = min(other.at, Position(backend.at.term, backend.at.number))
        self.say(backend=backend)


class Hall:
    """What stands around the duties of one guildhall."""

    def __init__(self, *, context: Any, name: str, number: int) -> None:
        stage, self.ctx = context.stage, context.stage.context(name=name, seed=number)
        self.stage = stage
        self.opinion = (0, 0)
        self.asked_opinions = 0
        self.neighbours: list[str] = []

        def work() -> None:
            self.register = FakeRegister(ctx=self.ctx, store=context.store, proposer=number)
            self.desk = Desk(ctx=self.ctx)
            self.view = RegisterView(ctx=self.ctx, register=self.register, lease_us=LEASE_US)
            self.news: News[Announcement] = News(
                ctx=self.ctx, desk=self.desk, crowd=FakeCrowd(), peers=list, quiet_us=QUIET_US
            )

        stage.call(call=work)

    async def opinions(self, name: str) -> tuple[int, int]:
        self.asked_opinions += 1
        await asyncio.sleep(0.005)
        return self.opinion

    def add_duty(self, *, cluster: Cluster) -> None:
        def work() -> None:
            self.duty = PromotionDuty(
                ctx=self.ctx,
                register=self.register,
                view=self.view,
                news=self.news,
                control=cluster,
                promoter=cluster,
                opinions=self.opinions,
                lease_us=LEASE_US,
            )

        self.stage.call(call=work)
        cluster.hears.append(lambda word: self.news.hear(beat=word))

    def kill(self) -> None:
        """The process ends: nothing of it runs on."""
        self.register.cut = True
        self.stage.call(call=self.ctx.close)


def new_stage(*, context: Any) -> None:
    context.stage = Stage(context=context)
    context.store = Store()
    context.halls = []


def new_hall(*, context: Any) -> Hall:
    hall = Hall(context=context, name=f"core-{len(context.halls) + 1}", number=len(context.halls) + 1)
    context.halls.append(hall)
    return hall


def put(*, context: Any, key: str, value: bytes) -> None:
    context.store.turn += 1
    context.store.values[key] = Found(ballot=Ballot(context.store.turn, 99), value=value)


# -- the duty of promotions --


@given('a service with {confirmations:d} confirmations, where "{primary}" leads and "{copies}" are copies')
def given_service(context: Any, confirmations: int, primary: str, copies: str) -> None:
    new_stage(context=context)
    names = (primary, *copies.split(", "))
    context.cluster = Cluster(stage=context.stage, names=names, at=Position(3, 100), confirmations=confirmations)
    put(context=context, key=PLAN_KEY, value=plan(confirmations=confirmations).bytes())
    new_hall(context=context).add_duty(cluster=context.cluster)


@given("the duty is held and the lead settled")
@when("the duty is held and the lead settled")
def given_settled(context: Any) -> None:
    wait_for(context=context, test=lambda: lead_of(context=context) is not None, within_us=5_000_000)
    lead = lead_of(context=context)
    assert lead is not None and lead.state == LeadState.settled
    context.stage.advance(for_us=2_500_000)
    context.cluster.writing = True
    context.stage.advance(for_us=100_000)


def lead_of(*, context: Any) -> ServiceLead | None:
    found = context.store.values.get(service_lead_key(service="s"))
    return None if found is None else read_service_lead(data=found.value)


def wait_for(*, context: Any, test: Callable[[], bool], within_us: int) -> int:
    began_us = context.stage.now_us
    while not test():
        assert context.stage.now_us - began_us < within_us, f"not within {within_us} us"
        context.stage.advance(for_us=10_000)
    return context.stage.now_us - began_us


def states_written(*, context: Any) -> list[str]:
    leads = [read_service_lead(data=value) for _, key, value in context.store.writes if key.startswith("service/")]
    return [f"{lead.state.name} {lead.primary} {lead.term}" for lead in leads]


@when('"{name}" crashes')
@given('"{name}" crashes')
def when_crashes(context: Any, name: str) -> None:
    context.cluster.backends[name].up = False
    context.crashed_us = context.stage.now_us


@when('"{name}" comes back')
def when_back(context: Any, name: str) -> None:
    backend = context.cluster.backends[name]
    backend.up = True
    context.cluster.say(backend=backend)


@when('"{name}" announces that it empties')
def when_empties(context: Any, name: str) -> None:
    backend = context.cluster.backends[name]
    backend.standing = EMPTYING
    context.stage.call(call=lambda: context.cluster.say(backend=backend))
    context.began_us = context.stage.now_us


@when("the other one takes the duty, and reads nothing any more")
def when_reads_nothing(context: Any) -> None:
    first, second = context.halls

    async def missed() -> Any:
        return Error(Fault(kind=Kind.registerUnreachable, why="its questions are lost"))

    context.read = second.register.vector
    second.register.vector = missed
    context.written = len(context.store.writes)
    first.register.cut = True
    context.store.leases.clear()
    wait_for(context=context, test=lambda: second.duty.lease.held, within_us=900_000)
    context.stage.advance(for_us=50_000)


@then("it holds the duty, takes what it knows for current, and writes nothing")
def then_writes_nothing(context: Any) -> None:
    second = context.halls[1]
    assert second.duty.lease.held and second.view.current
    assert len(context.store.writes) == context.written, context.store.writes[context.written :]


@when("the other one reads again")
def when_reads_again(context: Any) -> None:
    context.halls[1].register.vector = context.read
    context.stage.advance(for_us=1_500_000)


@then("it takes a number for its fence, and confirms the lead")
def then_confirms(context: Any) -> None:
    keys = [key for _, key, _ in context.store.writes[context.written :]]
    assert keys[:2] == ["promotion.fence", "service/s"], keys


@when('"{name}" says goodbye, and {ends}')
def when_says_goodbye(context: Any, name: str, ends: str) -> None:
    backend = context.cluster.backends[name]
    backend.standing = GONE
    context.stage.call(call=lambda: context.cluster.say(backend=backend))
    backend.beats = False
    backend.up = ends != "ends"


@when('"{name}" ends')
def when_ends(context: Any, name: str) -> None:
    context.cluster.backends[name].up = False


@when('"{name}" receives again')
def when_receives(context: Any, name: str) -> None:
    context.cluster.backends[name].paused = False


@when('"{name}" is suspected')
def when_suspected(context: Any, name: str) -> None:
    for hall in context.halls:
        context.stage.call(call=lambda hall=hall: hall.duty.suspect(name=name))


@given('"{name}" can\'t be paused')
def given_not_pausable(context: Any, name: str) -> None:
    context.cluster.backends[name].pausable = False


@given('"{name}" is {reach} to the guildhalls')
@when('"{name}" is {reach} to the guildhalls')
def given_reach(context: Any, name: str, reach: str) -> None:
    context.cluster.backends[name].reach = {"dark": "no", "silent": "silent", "reachable": "yes"}[reach]


@when('"{name}" beats no more')
def when_beats_no_more(context: Any, name: str) -> None:
    context.cluster.backends[name].beats = False


@given('"{name}" is {behind:d} behind')
def given_behind(context: Any, name: str, behind: int) -> None:
    backend = context.cluster.backends[name]
    backend.paused, backend.at = True, Position(backend.at.term, backend.at.number - behind)


@given('"{name}" is {behind:d} behind, and has all {wait_ms:d} ms after the primary stepped down')
def given_follows(context: Any, name: str, behind: int, wait_ms: int) -> None:
    given_behind(context=context, name=name, behind=behind)
    context.cluster.backends[name].follows_us = wait_ms * 1_000


@given('"{name}" does not step down')
def given_not_stepping(context: Any, name: str) -> None:
    context.cluster.backends[name].steps_down = False


@given('the platform says that "{name}" is not running')
def given_refused(context: Any, name: str) -> None:
    context.cluster.refuses.add(name)


@given('"{name}" never comes to lead')
def given_never(context: Any, name: str) -> None:
    context.cluster.backends[name].promotable = False


@given("of {asked:d} other guildhalls {reached:d} reach it")
def given_opinions(context: Any, asked: int, reached: int) -> None:
    for hall in context.halls:
        hall.opinion = (reached, asked)


@when("{wait_ms:d} ms pass at the guildhalls")
def when_guildhalls_pass(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@then('"{name}" leads and the lead is settled within {most_ms:d} ms')
def then_settled_on(context: Any, name: str, most_ms: int) -> None:
    def settled() -> bool:
        lead = lead_of(context=context)
        return lead is not None and lead.primary == name and lead.state == LeadState.settled

    wait_for(context=context, test=settled, within_us=most_ms * 1_000)
    assert context.cluster.backends[name].leads
    context.stage.advance(for_us=1_200_000)


@then('the lead went "{words}"')
def then_lead_went(context: Any, words: str) -> None:
    found = ", ".join(states_written(context=context))
    assert found == words, found


@then('the platform was asked to promote "{words}"')
def then_promoted(context: Any, words: str) -> None:
    found = ", ".join(f"{name} under {fence}" for _, name, fence in context.cluster.calls) or "nobody"
    assert found == words, found


@then("no acknowledged commit is lost")
def then_none_lost(context: Any) -> None:
    assert not context.cluster.lost, context.cluster.lost


@then("commits are acknowledged again")
def then_acknowledged(context: Any) -> None:
    before = context.cluster.acknowledged
    context.stage.advance(for_us=100_000)
    assert context.cluster.acknowledged > before


@then("nobody but one leads, and no copy is paused")
def then_one_leads(context: Any) -> None:
    up = [each for each in context.cluster.backends.values() if each.up]
    assert sum(each.leads for each in up) == 1, [(each.name, each.leads) for each in up]
    assert not any(each.paused for each in up), [each.name for each in up if each.paused]


@then("between the first word that it does not serve and the word that another does all older views ran out")
def then_outwaited(context: Any) -> None:
    leads = [(at_us, read_service_lead(data=value)) for at_us, key, value in context.store.writes if "/" in key]
    stopped_us = next(at_us for at_us, lead in leads if lead.state != LeadState.settled)
    assert leads[-1][1].state == LeadState.settled and leads[-1][0] - stopped_us >= OUTWAIT_US, leads


@then('"{name}" stepped down at least {least_ms:d} ms after the word that it closes')
def then_closed_first(context: Any, name: str, least_ms: int) -> None:
    closing_us = next(
        at_us
        for at_us, key, value in context.store.writes
        if key.startswith("service/") and read_service_lead(data=value).state == LeadState.closing
    )
    stepped_us = context.cluster.backends[name].stepped_us
    assert stepped_us - closing_us >= least_ms * 1_000, (stepped_us, closing_us)


@when("the copies are paused")
def when_paused(context: Any) -> None:
    copies = [each for each in context.cluster.backends.values() if not each.leads]
    wait_for(context=context, test=lambda: any(each.paused for each in copies), within_us=10_000_000)


@then("each copy that was paused was resumed, and only after a write that confirms the lead")
def then_resumed(context: Any) -> None:
    writes = states_written(context=context)
    assert len(writes) >= 2 and writes[-1].split()[1:] == writes[0].split()[1:], writes
    for each in context.cluster.backends.values():
        if any(entry.startswith("pause") for entry in each.log):
            assert each.log[-1] == "resume", (each.name, each.log)


@then('"{name}" was told "{words}"')
def then_told(context: Any, name: str, words: str) -> None:
    found = ", ".join(context.cluster.backends[name].log) or "nothing"
    assert found == words, found


@then('the lead is {state} on "{name}"')
def then_lead_is(context: Any, state: str, name: str) -> None:
    lead = lead_of(context=context)
    assert lead is not None and (lead.state.name, lead.primary) == (state, name), lead


@given("another guildhall waits for the duty")
def given_another(context: Any) -> None:
    new_hall(context=context).add_duty(cluster=context.cluster)
    for backend in context.cluster.backends.values():
        context.stage.call(call=lambda backend=backend: context.cluster.say(backend=backend))


@when('another holder has meanwhile written that "{name}" leads in term {term:d}')
def when_written(context: Any, name: str, term: int) -> None:
    lead = ServiceLead(term=term, primary=name, state=LeadState.settled)
    put(context=context, key=service_lead_key(service="s"), value=lead.bytes())
    context.written = lead
    for each in context.cluster.backends.values():
        each.leads = each.name == name
        each.term = term
        context.stage.call(call=lambda each=each: context.cluster.say(backend=each))


@when("the lead closes")
def when_lead_closes(context: Any) -> None:
    def closing() -> bool:
        lead = lead_of(context=context)
        return lead is not None and lead.state == LeadState.closing

    wait_for(context=context, test=closing, within_us=2_000_000)


@when("the lead moves on")
def when_lead_moves_on(context: Any) -> None:
    def moving() -> bool:
        lead = lead_of(context=context)
        return lead is not None and lead.state == LeadState.moving

    wait_for(context=context, test=moving, within_us=2_000_000)


@then("that word stands for {wait_ms:d} ms")
def then_stands(context: Any, wait_ms: int) -> None:
    for _ in range(wait_ms // 10):
        assert lead_of(context=context) == context.written, lead_of(context=context)
        context.stage.advance(for_us=10_000)


@when("the holder of the duty dies {moment}")
def when_holder_dies(context: Any, moment: str) -> None:
    def moving() -> bool:
        lead = lead_of(context=context)
        return lead is not None and lead.state == LeadState.moving

    def paused() -> bool:
        return any(each.paused for each in context.cluster.backends.values())

    def closing() -> bool:
        lead = lead_of(context=context)
        return lead is not None and lead.state == LeadState.closing

    tests: dict[str, Callable[[], bool]] = {
        "when the lead closes": closing,
        "when the old primary has stepped down": lambda: any(
            each.stepped_us for each in context.cluster.backends.values()
        ),
        "when the copies are paused": paused,
        "when the lead moves": moving,
        "when the platform has been asked": lambda: bool(context.cluster.calls),
        "when another leads": lambda: any(each.leads and each.term > 3 for each in context.cluster.backends.values()),
    }
    test = tests[moment]

    # why: every turn of the loop is looked at, since what happens between two writes is shorter than a step
    async def watch() -> None:
        for _ in range(60_000):
            if test():
                return
            await asyncio.sleep(0.0005)
        raise AssertionError(moment)

    context.stage.run(work=watch())
    holder = next(hall for hall in context.halls if hall.duty.lease.held)
    holder.kill()


@when("the holder of the duty is cut off from the register")
def when_holder_cut(context: Any) -> None:
    holder = next(hall for hall in context.halls if hall.duty.lease.held)
    holder.register.cut = True


@then("no two holders ever called under the same fence, and the fences rose")
def then_fences(context: Any) -> None:
    fences = [fence for _, _, fence in context.cluster.calls]
    assert fences == sorted(fences) and len(set(fences)) == 2, fences


@then("no guildhall has crashed")
def then_no_hall_crashed(context: Any) -> None:
    assert not context.stage.crashes, context.stage.crashes
    for hall in context.halls:
        assert not hall.ctx.counters.counts["internal.crashes"], hall.ctx.name


# -- the relay --


def shorten(key: str, value: bytes) -> bytes:
    return value[:2] if key == PLAN_KEY else value


@given("a relay")
def given_relay(context: Any) -> None:
    new_stage(context=context)
    context.troubled = []
    context.guildhalls = ("10.0.0.1:1",)
    hall = context.hall = new_hall(context=context)

    def work() -> None:
        hall.relay = Relay(
            ctx=hall.ctx,
            desk=hall.desk,
            view=hall.view,
            news=hall.news,
            guildhalls=lambda: context.guildhalls,
            on_trouble=lambda name, booth: context.troubled.append(f"{name} by {booth}"),
            shorten=shorten,
        )

    context.stage.call(call=work)
    context.source = context.edition = 0
    context.numbers = {}
    context.stage.advance(for_us=500_000)


@given('the backends "{names}" beat')
@when('the backends "{names}" beat')
@when('the backends "{names}" beat again')
def when_backends_beat(context: Any, names: str) -> None:
    beat_all(context=context, names=names)


def beat_all(*, context: Any, names: str, **changes: Any) -> None:
    for name in names.split(", "):
        context.numbers[name] = context.numbers.get(name, 0) + 1
        word = announcement(name=name, number=context.numbers[name], **changes)
        context.stage.call(call=lambda word=word: context.hall.news.hear(beat=word))
    context.stage.advance(for_us=150_000)


@when('the backends "{names}" beat as {what}')
def when_beat_as(context: Any, names: str, what: str) -> None:
    changes = {"primary": {"leads": True}, "emptying": {"state": EMPTYING}, "gone": {"state": GONE}}[what]
    beat_all(context=context, names=names, **changes)


@given('the register holds "{key}" as "{value}"')
@when('the register holds "{key}" as "{value}"')
def when_holds(context: Any, key: str, value: str) -> None:
    put(context=context, key=key, value=value.encode())
    context.stage.advance(for_us=500_000)


@when("{wait_ms:d} ms pass at the relay")
def when_relay_passes(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@when('the guildhalls are "{addresses}"')
def when_guildhalls(context: Any, addresses: str) -> None:
    context.guildhalls = tuple(addresses.split(", "))
    context.stage.advance(for_us=150_000)


def ask_relay(*, context: Any, booth: str = "booth-1", troubled: tuple[str, ...] = ()) -> RelayAnswer:
    question = RelayQuestion(
        booth=booth, site="kingston", source=context.source, edition=context.edition, troubled=troubled
    )
    body = question.write(packer=Packer().u8(value=RELAY)).bytes()
    answer = read_relay_answer(data=context.stage.run(work=context.hall.desk.answer(body)))
    context.source, context.edition = answer.source, answer.edition
    return answer


@then('a booth that asks is told {what}: the values "{values}", the backends "{backends}", the guildhalls "{halls}"')
def then_relay_tells(context: Any, what: str, values: str, backends: str, halls: str) -> None:
    answer = ask_relay(context=context)
    found = (
        "all" if answer.whole else "changes",
        " ".join(sorted(f"{each.key}={each.value.decode()}" for each in answer.values)) or "none",
        " ".join(
            sorted(
                each.announcement.name
                + ("!" if each.announcement.leads else "")
                + ("" if each.announcement.state == READY else f"-{each.announcement.state}")
                + ("?" if each.quiet else "")
                for each in answer.backends
            )
        )
        or "none",
        " ".join(answer.guildhalls) or "none",
    )
    assert found == (what, values, backends, halls), found


@when("the booth asks with {what} of another relay")
def when_other_relay(context: Any, what: str) -> None:
    context.source, context.edition = {"the edition": (12345, 2), "a later edition": (context.source, 10**9)}[what]


@then("the answer is between {least_ms:d} and {most_ms:d} ms old")
def then_age(context: Any, least_ms: int, most_ms: int) -> None:
    age_us = ask_relay(context=context).age_us
    assert least_ms * 1_000 <= age_us <= most_ms * 1_000, age_us


@then('a booth that looks for the nearest is told the site "{site}", an age below {most_ms:d} ms, and nothing else')
def then_brief(context: Any, site: str, most_ms: int) -> None:
    question = RelayQuestion(booth="booth-9", site="kingston", brief=True)
    body = question.write(packer=Packer().u8(value=RELAY)).bytes()
    answer = read_relay_answer(data=context.stage.run(work=context.hall.desk.answer(body)))
    assert answer.site == site and 0 <= answer.age_us <= most_ms * 1_000, answer
    assert not (answer.values or answer.backends or answer.guildhalls or answer.samples or answer.ask), answer


@when("a booth tells of a sample as from {what} life")
def when_tells_sample(context: Any, what: str) -> None:
    ask_relay(context=context)
    sample = ToldSample(service="s", term=3, moment_us=context.hall.ctx.now_us() - 1_000, position=Position(3, 7))
    source = context.source + (what == "another")
    question = RelayQuestion(booth="booth-1", site="kingston", source=source, edition=1, samples=(sample,))
    body = question.write(packer=Packer().u8(value=RELAY)).bytes()
    context.stage.run(work=context.hall.desk.answer(body))


@then("the relay has been told of {count:d} samples")
def then_told_samples(context: Any, count: int) -> None:
    assert len(context.hall.relay.board.entries) == count, context.hall.relay.board.entries


@when("the relay's guildhall is cut off from the register")
def when_relay_cut(context: Any) -> None:
    context.hall.register.cut = True


@when('"{booth}" asks and finds "{names}" silent')
def when_finds_silent(context: Any, booth: str, names: str) -> None:
    ask_relay(context=context, booth=booth, troubled=tuple(names.split(", ")))


@then('it was told of trouble with "{words}"')
def then_trouble(context: Any, words: str) -> None:
    assert ", ".join(context.troubled) == words, context.troubled


@then('within {within_ms:d} ms it saw the booths "{names}"')
def then_saw(context: Any, within_ms: int, names: str) -> None:
    seen = context.hall.relay.seen(within_us=within_ms * 1_000)
    assert (" ".join(sorted(entry[0] for entry in seen)) or "none") == names, seen


# -- slots --


class FakeRelay:
    """Which booths asked a guildhall lately."""

    def __init__(self, *, stage: Stage) -> None:
        self.stage = stage
        self.asking: set[str] = set()
        self.asked_us: dict[str, int] = {}
        self.votes: dict[str, tuple[int, Vote]] = {}

    def seen(self, *, within_us: int) -> list[tuple[str, int, int, Vote]]:
        now_us = self.stage.now_us
        self.asked_us.update(dict.fromkeys(self.asking, now_us))
        return [
            (name, now_us - us, *self.votes.get(name, (0, Vote.silent)))
            for name, us in self.asked_us.items()
            if now_us - us <= within_us
        ]


class DeskNet:
    """Carries records from one desk of a stage to another."""

    def __init__(self, *, desks: dict[str, Desk]) -> None:
        self.desks = desks

    async def ask(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, Fault]:
        await asyncio.sleep(0.002)
        if address not in self.desks:
            return Error(Fault(kind=Kind.wireUnsure, why=f"{address}: nobody"))
        return Ok(await self.desks[address].answer(body))


@given("{count:d} guildhalls that keep slots")
def given_keepers(context: Any, count: int) -> None:
    new_stage(context=context)
    context.desks, context.words, context.censuses = {}, {}, {}
    context.every = []
    context.keepers = []
    for _ in range(count):
        hall = new_hall(context=context)
        hall.ctx.net = DeskNet(desks=context.desks)
        context.desks[hall.ctx.name] = hall.desk
        context.words[hall.ctx.name] = (0, 0)
        context.every.append(hall.ctx.name)
        hall.relay = FakeRelay(stage=context.stage)

        def work(hall: Hall = hall) -> None:
            census = BoothCensus(
                ctx=hall.ctx,
                desk=hall.desk,
                relay=hall.relay,
                neighbours=lambda: [name for name in context.every if name != hall.ctx.name],
                word=lambda: context.words[hall.ctx.name],
            )
            context.censuses[hall.ctx.name] = census
            keeper = SlotKeeper(ctx=hall.ctx, register=hall.register, view=hall.view, census=census)
            context.keepers.append(keeper)

        context.stage.call(call=work)


@given('"{booths}" ask {where}')
@when('"{booths}" ask {where}')
def when_booths_ask(context: Any, booths: str, where: str) -> None:
    for name in booths.split(", "):
        context.halls[int(where.removeprefix("core-")) - 1].relay.asking.add(name)


@when('"{booths}" are silent from now on')
def when_booths_silent(context: Any, booths: str) -> None:
    for hall in context.halls:
        hall.relay.seen(within_us=0)
        hall.relay.asking -= set(booths.split(", "))


@when("{seconds:d} s pass at the keepers")
def when_keepers_pass(context: Any, seconds: int) -> None:
    context.stage.advance(for_us=seconds * 1_000_000)


@then('the slots are "{words}"')
def then_slots(context: Any, words: str) -> None:
    found = context.store.values.get(SLOTS_KEY)
    names = read_slots(data=b"" if found is None else found.value).names
    text = ", ".join(f"{number} {name}" for number, name in names) or "none"
    assert text == words, text


@given('"{booth}" tells {where} that it is in "{site}" at "{address}"')
@when('"{booth}" tells {where} that it is in "{site}" at "{address}"')
def when_tells_place(context: Any, booth: str, where: str, site: str, address: str) -> None:
    body = Packer().u8(value=PLACE).text(value=booth).text(value=site).text(value=address).bytes()
    context.stage.run(work=context.halls[int(where.removeprefix("core-")) - 1].desk.answer(body))


@then('the places are "{words}"')
def then_places(context: Any, words: str) -> None:
    found = context.store.values.get(PLACES_KEY)
    places = {} if found is None else read_booth_places(data=found.value).places
    text = ", ".join(f"{name} {place.site} {place.records}" for name, place in sorted(places.items())) or "none"
    assert text == words, text


@then("places were written {count:d} times")
def then_place_writes(context: Any, count: int) -> None:
    writes = [key for _, key, _ in context.store.writes if key == PLACES_KEY]
    assert len(writes) == count, len(writes)


@then("they were written {count:d} times")
def then_slot_writes(context: Any, count: int) -> None:
    writes = [key for _, key, _ in context.store.writes if key == SLOTS_KEY]
    assert len(writes) == count, len(writes)


@given("{name} knows turn {turn:d} and phase {phase:d} of the shard map")
@when("{name} knows turn {turn:d} and phase {phase:d} of the shard map")
def when_knows(context: Any, name: str, turn: int, phase: int) -> None:
    context.words[name] = (turn, phase)


@when("{name} answers nobody")
def when_answers_nobody(context: Any, name: str) -> None:
    context.desks.pop(name)


@then("{name} takes all others for told of turn {turn:d} and phase {phase:d}: {answer}")
def then_told_word(context: Any, name: str, turn: int, phase: int, answer: str) -> None:
    census = context.censuses[name]
    context.stage.run(work=census.gather(every_us=0))
    assert census.told(word=(turn, phase)) == (answer == "yes"), census.words


@when("the keeper that holds the duty dies, and its booths find another after {seconds:d} s")
def when_keeper_dies(context: Any, seconds: int) -> None:
    dead = next(context.halls[n] for n, keeper in enumerate(context.keepers) if keeper.lease.held)
    dead.kill()
    context.desks.pop(dead.ctx.name)
    context.stage.advance(for_us=seconds * 1_000_000)
    other = next(hall for hall in context.halls if hall.ctx.name in context.desks)
    other.relay.asking |= dead.relay.asking


@then("a keeper that is asked tells how long ago it saw each booth")
def then_booths(context: Any) -> None:
    context.halls[0].relay.asking, context.halls[0].relay.asked_us = {"b"}, {"a": context.stage.now_us - 7_000}
    context.halls[0].relay.votes["b"] = (4, Vote.agrees)
    body = Packer().u8(value=BOOTHS).bytes()
    unpacker = Unpacker(data=context.stage.run(work=context.desks["core-1"].answer(body)))
    found = unpacker.many(each=lambda u: (u.text(), u.u64(), u.u64(), Vote(u.u8())))
    word = unpacker.u64(), unpacker.u8()
    unpacker.done()
    assert word == (0, 0), word
    assert sorted(found) == [("a", 7_000, 0, Vote.silent), ("b", 0, 4, Vote.agrees)], found


@then("the position that the lead was fenced at is at or past every acknowledged commit")
def then_fence_past(context: Any) -> None:
    moving = [
        read_service_lead(data=value)
        for _, key, value in context.store.writes
        if key.startswith("service/") and read_service_lead(data=value).state == LeadState.moving
    ]
    assert moving and all(lead.fence.term == 3 for lead in moving), moving
    before = position(text=context.acknowledged)
    assert before is not None and moving[0].fence >= before, (shown(at=moving[0].fence), context.acknowledged)


@when("what was acknowledged is noted")
def when_noted(context: Any) -> None:
    context.acknowledged = shown(at=context.cluster.acknowledged)
