"""Steps for notices of primary assignments, between real controllers' and proxies' components."""

import asyncio
from dataclasses import replace
from typing import Any

from behave import given, register_type, then, when
from cluster_stage import FakeMembership, FakeRegister, new_stage
from expression import Error, Ok, Result
from parse import with_pattern
from stage import SITE, position, position_text

from cinderstair.consensus.ballot import Ballot
from cinderstair.consensus.register_view import RegisterView
from cinderstair.consensus.versioned_value import VersionedValue
from cinderstair.control_plane.proxy_notifier import ProxyNotifier
from cinderstair.control_plane.relay import Relay
from cinderstair.failover.proxy_addresses import PROXY_ADDRESSES_KEY, ProxyAddress, ProxyAddresses
from cinderstair.failover.service_primary import PrimaryState, ServicePrimary, service_primary_key
from cinderstair.membership.heartbeat_table import HeartbeatTable
from cinderstair.pooler.assignment_receiver import AssignmentReceiver
from cinderstair.pooler.commit_acknowledgement import CommitAcknowledgement
from cinderstair.pooler.relayed_view import LEASE_US, RelayedView
from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.position import START, Position

register_type(Position=with_pattern(r"\d+\.\d+")(lambda text: position(text=text)))

ONE_WAY_S = 0.008
KEY = service_primary_key(service="s")
CONTROLLERS = ("c1", "c2")
NOTICES = (MessageType.RELAY_ASSIGNMENT, MessageType.APPLY_ASSIGNMENT)


class DaemonNet:
    """A network between the daemons of a scenario; `unreachable` names those that receive no notices."""

    def __init__(self) -> None:
        self.dispatchers: dict[str, Dispatcher] = {}
        self.unreachable: set[str] = set()

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        lost = Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="no answer"))
        if address not in self.dispatchers or (address in self.unreachable and body[0] in NOTICES):
            await asyncio.sleep(wait_us / 1_000_000)
            return lost
        await asyncio.sleep(ONE_WAY_S)
        try:
            answer = await self.dispatchers[address].dispatch(body)
        except ValueError:
            return lost
        await asyncio.sleep(ONE_WAY_S)
        return Ok(answer)


class ControllerParts:
    """The parts of a controller that take part in notices. The view is current, and set by the scenario."""

    def __init__(self, *, context: Any, name: str) -> None:
        ctx = self.ctx = replace(context.stage.context(name=name), net=context.net)
        dispatcher = context.net.dispatchers[name] = Dispatcher(ctx=ctx)
        self.view = RegisterView(
            ctx=ctx, register=FakeRegister(ctx=ctx, store=context.store, proposer=1), lease_us=LEASE_US
        )
        heartbeat_table: HeartbeatTable[Any] = HeartbeatTable(
            ctx=ctx, dispatcher=dispatcher, membership=FakeMembership(), peers=list
        )
        self.relay = Relay(
            ctx=ctx,
            dispatcher=dispatcher,
            view=self.view,
            heartbeat_table=heartbeat_table,
            controllers=lambda: (name,),
            on_link_failure=lambda backend, proxy: None,
            shorten=lambda key, value: value,
        )
        self.notifier = ProxyNotifier(
            ctx=ctx,
            dispatcher=dispatcher,
            view=self.view,
            relay=self.relay,
            peers=lambda: [each for each in CONTROLLERS if each != name],
            expiry_us=LEASE_US + LEASE_US // 10,
        )


class ProxyParts:
    """The parts of a proxy that take part in notices."""

    def __init__(self, *, context: Any, name: str, controller: str) -> None:
        ctx = self.ctx = replace(context.stage.context(name=name), net=context.net)
        self.view = RelayedView(ctx=ctx, site=SITE, seeds=lambda: (controller,))
        self.commit_acknowledgement = CommitAcknowledgement(ctx=ctx, view=self.view)
        dispatcher = context.net.dispatchers[name] = Dispatcher(ctx=ctx)
        AssignmentReceiver(
            ctx=ctx,
            dispatcher=dispatcher,
            view=self.view,
            commit_acknowledgement=self.commit_acknowledgement,
        )


def write(*, context: Any, assignment: ServicePrimary, round_number: int) -> VersionedValue:
    """Stores an assignment in the register; controllers see it at their next pull."""
    found = VersionedValue(ballot=Ballot(round_number, 1), value=assignment.bytes())
    context.store.values[KEY] = found
    return found


def pull(*, context: Any, names: tuple[str, ...]) -> None:
    for name in names:
        context.stage.run(work=context.proxies[name].view.pull())


@given('the controllers c1 and c2, and the proxies p1 at c1 and p2 at c2, which know primary "{primary}"')
def given_daemons(context: Any, primary: str) -> None:
    new_stage(context=context)
    context.net = DaemonNet()
    context.running_us = 0
    # of the last assignment
    context.revision = 1
    context.round_number = 8
    addresses = ProxyAddresses(addresses={name: ProxyAddress(site=SITE, records=name) for name in ("p1", "p2", "p3")})
    context.store.values[PROXY_ADDRESSES_KEY] = VersionedValue(ballot=Ballot(1, 1), value=addresses.bytes())
    settled = ServicePrimary(term=3, primary=primary, state=PrimaryState.settled)
    write(context=context, assignment=settled, round_number=2)

    def work() -> None:
        context.parts = {name: ControllerParts(context=context, name=name) for name in CONTROLLERS}
        context.proxies = {
            name: ProxyParts(context=context, name=name, controller=controller)
            for name, controller in (("p1", "c1"), ("p2", "c2"))
        }

    context.stage.call(call=work)
    context.stage.advance(for_us=500_000)
    pull(context=context, names=("p1", "p2"))


@given("the proxies have acknowledged p1: {first}, p2: {second}")
def given_acknowledged(context: Any, first: str, second: str) -> None:
    for name, at in (("p1", first), ("p2", second)):
        assert acknowledges(context=context, name=name, at=at), name
    context.stage.advance(for_us=100_000)


def acknowledges(*, context: Any, name: str, at: str, reached_before: Position = START) -> bool:
    allowed: bool = context.stage.run(
        work=context.proxies[name].commit_acknowledgement.allowed(
            service="s",
            backend="a",
            position=position(text=at),
            until_us=context.stage.now_us,
            reached_before=reached_before,
        )
    )
    return allowed


@when("{name} acknowledges {at} for commits that were sent after {positions}")
@given("{name} acknowledges {at} for commits that were sent after {positions}")
def given_sent_after(context: Any, name: str, at: str, positions: str) -> None:
    for text in positions.split(", "):
        reached_before = position(text=text)
        assert reached_before is not None
        assert acknowledges(context=context, name=name, at=at, reached_before=reached_before), name


@given("{name} does not answer notices")
def given_unreachable(context: Any, name: str) -> None:
    context.net.unreachable.add(name)


@given("the register does not list the address of p2")
def given_not_listed(context: Any) -> None:
    addresses = ProxyAddresses(addresses={"p1": ProxyAddress(site=SITE, records="p1")})
    context.store.values[PROXY_ADDRESSES_KEY] = VersionedValue(ballot=Ballot(5, 1), value=addresses.bytes())
    context.stage.advance(for_us=300_000)


@given("p2 restarted 500 ms ago, and the replicas were paused before")
def given_restarted(context: Any) -> None:
    def work() -> None:
        context.proxies["p2"] = ProxyParts(context=context, name="p2", controller="c2")

    context.stage.call(call=work)
    context.stage.advance(for_us=500_000)
    pull(context=context, names=("p2",))
    context.running_us = 600_000


@given("{count:d} notices of other services are unanswered")
def given_unanswered(context: Any, count: int) -> None:
    context.parts["c1"].notifier.unanswered = count


@given("p2 has asked no controller for {wait_ms:d} ms, and no longer answers")
def given_silent(context: Any, wait_ms: int) -> None:
    context.net.unreachable.add("p2")
    context.stage.advance(for_us=wait_ms * 1_000)
    pull(context=context, names=("p1",))


@when('c1 assigns "{name}" with fence {fence} and notifies the proxies')
def when_notified(context: Any, name: str, fence: str) -> None:
    at = position(text=fence)
    assert at is not None
    notify(context=context, name=name, fence=at)


@when('c1 assigns "{name}" without a fence and notifies the proxies')
def when_notified_without_fence(context: Any, name: str) -> None:
    notify(context=context, name=name)


@when('the assignment of "{old}" is settled, and c1 assigns "{name}" without a fence and notifies the proxies')
def when_notified_after_settled(context: Any, old: str, name: str) -> None:
    notify(context=context, name=old, state=PrimaryState.settled)
    notify(context=context, name=name)


@when('the proxies see the assignments "{assignments}"')
def when_assignments_seen(context: Any, assignments: str) -> None:
    for text in assignments.split(", "):
        revision, state = text.split()
        notify(context=context, name=context.assigned, state=PrimaryState[state], revision=int(revision))


@when("p1 and p2 have asked no controller for {wait_ms:d} ms")
def when_views_expire(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


def notify(
    *,
    context: Any,
    name: str,
    state: PrimaryState = PrimaryState.moving,
    fence: Position = START,
    revision: int = 0,
) -> None:
    """Writes an assignment, by default the next revision, and lets c1 notify the proxies of it."""
    context.assigned = name
    context.revision = revision or context.revision + 1
    assignment = ServicePrimary(term=4, primary=name, state=state, fence=fence, revision=context.revision)
    context.round_number += 1
    written = write(context=context, assignment=assignment, round_number=context.round_number)
    controller = context.parts["c1"]
    context.stage.call(call=lambda: controller.view.apply_own_write(key=KEY, result=Ok(written)))
    began_us = context.stage.now_us
    context.found = context.stage.run(work=controller.notifier.notify("s", context.running_us))
    context.took_us = context.stage.now_us - began_us


@when("the proxy p3 starts at c2")
def when_proxy_starts(context: Any) -> None:
    def work() -> None:
        context.proxies["p3"] = ProxyParts(context=context, name="p3", controller="c2")

    context.stage.call(call=work)
    pull(context=context, names=("p3",))


@then("the proxies have acknowledged up to {at}, the last commit {ago_ms:d} ms ago")
def then_acknowledged_up_to(context: Any, at: str, ago_ms: int) -> None:
    assert context.found.complete
    assert position_text(at=context.found.position) == at, context.found
    ago_us = context.stage.now_us - context.found.last_us
    assert ago_ms * 1_000 <= ago_us <= ago_ms * 1_000 + 150_000, ago_us


@then("the proxies have acknowledged up to {at:Position}")
def then_acknowledged_at_most(context: Any, at: Position) -> None:
    assert context.found.position == at, context.found


@then("the last acknowledged commit is at least {at:Position}")
def then_acknowledged_at_least(context: Any, at: Position) -> None:
    assert context.found.least == at, context.found


@then("not all acknowledged commits are known, and those that are reach up to {at:Position}")
def then_incomplete(context: Any, at: Position) -> None:
    assert not context.found.complete, context.found
    assert context.found.position == at, context.found


@then("p1 and p2 confirm no primary, and acknowledge {at} but not {past}")
def then_fenced(context: Any, at: str, past: str) -> None:
    for name in ("p1", "p2"):
        assert context.proxies[name].view.primaries["s"].state == PrimaryState.moving, name
        assert acknowledges(context=context, name=name, at=at), name
        assert not acknowledges(context=context, name=name, at=past), name


@then("p1 and p2 acknowledge nothing up to {at}")
def then_nothing_acknowledged(context: Any, at: str) -> None:
    for name in ("p1", "p2"):
        assert not acknowledges(context=context, name=name, at=at), name


@then('a commit of "a" at {at} is acknowledged: {word}')
def then_acknowledged_word(context: Any, at: str, word: str) -> None:
    for name in ("p1", "p2"):
        assert acknowledges(context=context, name=name, at=at) == (word == "yes"), name


@then('p3 knows that the assignment is moving to "{name}"')
def then_moving(context: Any, name: str) -> None:
    assignment = context.proxies["p3"].view.primaries["s"]
    assert (assignment.state, assignment.primary) == (PrimaryState.moving, name), assignment


@then("the notice took at most {most_ms:d} ms")
def then_notice_took(context: Any, most_ms: int) -> None:
    assert context.took_us <= most_ms * 1_000, context.took_us
