"""Steps for the ids of booths."""

import asyncio
from typing import Any

from behave import given, then, when
from clusterstage import Hall, new_hall, new_stage
from expression import Error, Ok, Result
from stage import Stage, position, shown

from cinderstair.control_plane.booth_census import BoothCensus
from cinderstair.control_plane.slot_keeper import SlotKeeper
from cinderstair.failover.booth_places import PLACES_KEY, read_booth_places
from cinderstair.failover.service_lead import LeadState, read_service_lead
from cinderstair.failover.shard_state import Vote
from cinderstair.failover.slots import SLOTS_KEY, read_slots
from cinderstair.runtime.desk import Desk
from cinderstair.runtime.desks import BOOTHS, PLACE
from cinderstair.runtime.fault import Fault
from cinderstair.runtime.kind import Kind
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.unpacker import Unpacker


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
