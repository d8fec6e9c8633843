"""Steps for the replication of backends' deregistrations to a majority of the voters."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from cluster_stage import FakeDepartureRecord, FakeMembership
from expression import Error, Ok, Result
from stage import Stage

from cinderstair.control_plane.announcer import Announcer
from cinderstair.membership.announcement import GONE, Announcement, read_announcement
from cinderstair.membership.heartbeat import EMPTYING, READY
from cinderstair.membership.heartbeat_table import HeartbeatTable
from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.unpacker import Unpacker

VOTERS = ("v1", "v2", "v3")
STATES = {"ready": READY, "emptying": EMPTYING, "gone": GONE}
SOURCE = 77


class FakeVoters:
    """A network of voters, which records announcements and answers with the heartbeats of `known`."""

    def __init__(self) -> None:
        self.reachable: tuple[str, ...] = ()
        self.known: dict[str, Announcement] = {}
        self.received: list[tuple[str, Announcement]] = []

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        if address not in self.reachable:
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="voter is unreachable"))
        if body[0] == MessageType.ANNOUNCE:
            self.received.append((address, read_announcement(unpacker=Unpacker(data=body[1:]))))
            return Ok(b"\0")
        if body[0] == MessageType.HEARTBEATS:
            return Ok(self._heartbeats(address=address))
        return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="no handler"))

    def _heartbeats(self, *, address: str) -> bytes:
        def each(packer: Packer, announcement: Announcement) -> None:
            announcement.write(packer=packer.u64(value=SOURCE).u64(value=1).u64(value=0))

        known = [self.known[address]] if address in self.known else []
        return Packer().many(values=known, each=each).bytes()


def announcement_as(*, state: str, number: int = 4) -> Announcement:
    return Announcement(
        name="srv-1",
        number=number,
        service="s1",
        address="10.0.0.9:1",
        site="hall",
        state=STATES[state],
        is_primary=False,
    )


@given("an announcer with the voters v1, v2 and v3")
def given_announcer(context: Any) -> None:
    context.departure_record = FakeDepartureRecord()
    context.stage = Stage(context=context, name="core-1")
    context.voters, context.roster, context.number = FakeVoters(), VOTERS, 4
    ctx = context.stage.ctx = replace(context.stage.ctx, net=context.voters)

    def work() -> None:
        context.dispatcher = Dispatcher(ctx=ctx)
        context.heartbeat_table = HeartbeatTable(
            ctx=ctx,
            dispatcher=context.dispatcher,
            membership=FakeMembership(),
            read=lambda unpacker: read_announcement(unpacker=unpacker),
            peers=list,
        )
        context.announcer = Announcer(
            ctx=ctx,
            dispatcher=context.dispatcher,
            heartbeat_table=context.heartbeat_table,
            voters=lambda: context.roster,
            departure_record=context.departure_record,
        )

    context.stage.call(call=work)


@given("the reachable voters are {names}")
def given_reachable(context: Any, names: str) -> None:
    context.voters.reachable = () if names == "none" else tuple(names.split(", "))


@given("no roster is known")
def given_no_roster(context: Any) -> None:
    context.roster = ()


@given("this controller has a heartbeat of srv-1 as {state}")
def given_heartbeat(context: Any, state: str) -> None:
    context.stage.call(call=lambda: context.heartbeat_table.receive(heartbeat=announcement_as(state=state)))


@given("{name} has a heartbeat of srv-1 as {state}")
def given_heartbeat_at_voter(context: Any, name: str, state: str) -> None:
    context.voters.known[name] = announcement_as(state=state)


@when("srv-1 announces that it is emptying")
def when_emptying_announced(context: Any) -> None:
    context.number += 1
    announcement = announcement_as(state="emptying", number=context.number)

    async def work() -> bool:
        context.heartbeat_table.receive(heartbeat=announcement)
        return await context.announcer.replicate(announcement=announcement)

    context.acknowledged = context.stage.run(work=work())


@given("the register can't be written")
def given_register_unreachable(context: Any) -> None:
    context.departure_record.reachable = False


@given("srv-1 is on record, and no controller has a heartbeat of it")
def given_on_record(context: Any) -> None:
    context.departure_record.known["srv-1"] = announcement_as(state="ready", number=0)


@then("it is on record that srv-1 of service {service} has departed")
def then_departure_recorded(context: Any, service: str) -> None:
    found = [(each.name, each.service, each.state) for each in context.departure_record.departed]
    assert ("srv-1", service, GONE) in found, found


@when("srv-1 deregisters")
def when_deregistration(context: Any) -> None:
    context.acknowledged = context.stage.run(work=context.announcer.deregister(name="srv-1"))


@when("another controller announces that srv-1 is {state}")
def when_announced_elsewhere(context: Any, state: str) -> None:
    packer = Packer().u8(value=MessageType.ANNOUNCE)
    announcement_as(state=state).write(packer=packer)
    context.stage.run(work=context.dispatcher.handlers[MessageType.ANNOUNCE](Unpacker(data=packer.bytes()[1:])))


@then("the announcement is {answer}")
def then_acknowledged(context: Any, answer: str) -> None:
    assert context.acknowledged == (answer == "acknowledged"), context.acknowledged


@then("{count:d} voters received that srv-1 is {state}")
def then_received(context: Any, count: int, state: str) -> None:
    context.stage.advance(for_us=1_000_000)
    found = [
        name
        for name, announcement in context.voters.received
        if announcement.name == "srv-1" and announcement.state == STATES[state]
    ]
    assert len(found) == count, found


@then("the heartbeat table lists srv-1 as {state} with {service}")
def then_listed_with_service(context: Any, state: str, service: str) -> None:
    heartbeat = context.heartbeat_table.latest(name="srv-1").heartbeat
    named = "" if service == "no service" else service.removeprefix("service ")
    assert (heartbeat.state, heartbeat.service) == (STATES[state], named), heartbeat


@then("the heartbeat table lists srv-1 as {state}")
def then_listed(context: Any, state: str) -> None:
    assert context.heartbeat_table.latest(name="srv-1").heartbeat.state == STATES[state], (
        context.heartbeat_table.latest(name="srv-1")
    )
