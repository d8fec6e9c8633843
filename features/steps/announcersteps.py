"""Steps for the spreading of backends' goodbyes."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from clusterstage import FakeCrowd
from expression import Error, Ok, Result
from stage import Stage

from cinderstair.control_plane.announcer import Announcer
from cinderstair.membership.announcement import GONE, Announcement, read_announcement
from cinderstair.membership.beat import EMPTYING, READY
from cinderstair.membership.news import News
from cinderstair.runtime.desk import Desk
from cinderstair.runtime.desks import ANNOUNCE, NEWS
from cinderstair.runtime.fault import Fault
from cinderstair.runtime.kind import Kind
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.unpacker import Unpacker

VOTERS = ("v1", "v2", "v3")
STATES = {"ready": READY, "emptying": EMPTYING, "gone": GONE}
SOURCE = 77


class FakeVoters:
    """A net whose ends are voters; each may know a backend."""

    def __init__(self) -> None:
        self.reached: tuple[str, ...] = ()
        self.known: dict[str, Announcement] = {}
        self.told: list[tuple[str, Announcement]] = []

    async def ask(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, Fault]:
        if address not in self.reached:
            return Error(Fault(kind=Kind.wireUnsure, why="cut off"))
        if body[0] == ANNOUNCE:
            self.told.append((address, read_announcement(unpacker=Unpacker(data=body[1:]))))
            return Ok(b"\0")
        if body[0] == NEWS:
            return Ok(self._news(address=address))
        return Error(Fault(kind=Kind.wireUnsure, why="no such desk"))

    def _news(self, *, address: str) -> bytes:
        def each(packer: Packer, announcement: Announcement) -> None:
            announcement.write(packer=packer.u64(value=SOURCE).u64(value=1).u64(value=0))

        known = [self.known[address]] if address in self.known else []
        return Packer().many(values=known, each=each).bytes()


def word(*, state: str, number: int = 4) -> Announcement:
    return Announcement(
        name="srv-1", number=number, service="s1", address="10.0.0.9:1", site="hall", state=STATES[state], leads=False
    )


@given("an announcer among the voters v1, v2 and v3")
def given_announcer(context: Any) -> None:
    context.stage = Stage(context=context, name="core-1")
    context.voters, context.roster, context.number = FakeVoters(), VOTERS, 4
    ctx = context.stage.ctx = replace(context.stage.ctx, net=context.voters)

    def work() -> None:
        context.desk = Desk(ctx=ctx)
        context.news = News(
            ctx=ctx,
            desk=context.desk,
            crowd=FakeCrowd(),
            read=lambda unpacker: read_announcement(unpacker=unpacker),
            peers=list,
        )
        context.announcer = Announcer(ctx=ctx, desk=context.desk, news=context.news, voters=lambda: context.roster)

    context.stage.call(call=work)


@given("of the voters {names} are reached")
def given_reached(context: Any, names: str) -> None:
    context.voters.reached = () if names == "nobody" else tuple(names.split(", "))


@given("no roster is known")
def given_no_roster(context: Any) -> None:
    context.roster = ()


@given("srv-1 was heard here as {state}")
def given_heard(context: Any, state: str) -> None:
    context.stage.call(call=lambda: context.news.hear(beat=word(state=state)))


@given("srv-1 was heard at {name} as {state}")
def given_heard_elsewhere(context: Any, name: str, state: str) -> None:
    context.voters.known[name] = word(state=state)


@when("srv-1 announces that it empties")
def when_empties(context: Any) -> None:
    context.number += 1
    said = word(state="emptying", number=context.number)

    async def work() -> bool:
        context.news.hear(beat=said)
        return await context.announcer.spread(announcement=said)

    context.acknowledged = context.stage.run(work=work())


@when("srv-1 says goodbye")
def when_goodbye(context: Any) -> None:
    context.acknowledged = context.stage.run(work=context.announcer.depart(name="srv-1"))


@when("another daemon tells that srv-1 is {state}")
def when_told(context: Any, state: str) -> None:
    packer = Packer().u8(value=ANNOUNCE)
    word(state=state).write(packer=packer)
    context.stage.run(work=context.desk.answers[ANNOUNCE](Unpacker(data=packer.bytes()[1:])))


@then("the announcement is {words}")
def then_acknowledged(context: Any, words: str) -> None:
    assert context.acknowledged == (words == "acknowledged"), context.acknowledged


@then("{count:d} voters were told that srv-1 is {state}")
def then_told(context: Any, count: int, state: str) -> None:
    context.stage.advance(for_us=1_000_000)
    found = [name for name, said in context.voters.told if said.name == "srv-1" and said.state == STATES[state]]
    assert len(found) == count, found


@then("srv-1 is known here as {state} of {service}")
def then_known_of(context: Any, state: str, service: str) -> None:
    beat = context.news.latest(name="srv-1").beat
    named = "" if service == "no service" else service.removeprefix("service ")
    assert (beat.state, beat.service) == (STATES[state], named), beat


@then("srv-1 is known here as {state}")
def then_known(context: Any, state: str) -> None:
    assert context.news.latest(name="srv-1").beat.state == STATES[state], context.news.latest(name="srv-1")
