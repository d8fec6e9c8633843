"""Steps for the assignment of proxy ids and for the table of proxy addresses."""

import asyncio
from typing import Any

from behave import given, then, when
from cluster_stage import ControllerStage, new_controller, new_stage
from expression import Error, Ok, Result
from stage import Stage, position, position_text

from cinderstair.control_plane.proxy_census import ProxyCensus, ShardMapStep
from cinderstair.control_plane.proxy_contact import ProxyContact
from cinderstair.control_plane.proxy_id_assigner import ProxyIdAssigner
from cinderstair.failover.proxy_addresses import PROXY_ADDRESSES_KEY, read_proxy_addresses
from cinderstair.failover.proxy_ids import PROXY_IDS_KEY, read_proxy_ids
from cinderstair.failover.service_primary import PrimaryState, read_service_primary
from cinderstair.failover.shard_state import Vote
from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.unpacker import Unpacker


class FakeRelay:
    """Reports the proxies in `asking` as asking at every moment, and others by their last question."""

    def __init__(self, *, stage: Stage) -> None:
        self.stage = stage
        self.asking: set[str] = set()
        self.requested_us: dict[str, int] = {}
        self.votes: dict[str, tuple[int, Vote]] = {}

    def recent_proxies(self, *, within_us: int) -> list[ProxyContact]:
        now_us = self.stage.now_us
        self.requested_us.update(dict.fromkeys(self.asking, now_us))
        found = []
        for name, us in self.requested_us.items():
            proposal, vote = self.votes.get(name, (0, Vote.silent))
            if now_us - us <= within_us:
                found.append(ProxyContact(name=name, age_us=now_us - us, proposal=proposal, vote=vote))
        return found


class DispatcherNet:
    """Delivers records between the controllers of a stage after 2 ms."""

    def __init__(self, *, dispatchers: dict[str, Dispatcher]) -> None:
        self.dispatchers = dispatchers

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        await asyncio.sleep(0.002)
        if address not in self.dispatchers:
            return Error(
                CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: no controller at this address")
            )
        return Ok(await self.dispatchers[address].dispatch(body))


@given("{count:d} controllers that assign proxy ids")
def given_controllers(context: Any, count: int) -> None:
    new_stage(context=context)
    context.dispatchers, context.shard_map_steps, context.censuses = {}, {}, {}
    context.names = []
    context.id_assigners = []
    for _ in range(count):
        controller = new_controller(context=context)
        controller.ctx.net = DispatcherNet(dispatchers=context.dispatchers)
        context.dispatchers[controller.ctx.name] = controller.dispatcher
        context.shard_map_steps[controller.ctx.name] = ShardMapStep()
        context.names.append(controller.ctx.name)
        controller.relay = FakeRelay(stage=context.stage)

        def work(controller: ControllerStage = controller) -> None:
            census = ProxyCensus(
                ctx=controller.ctx,
                dispatcher=controller.dispatcher,
                relay=controller.relay,
                peers=lambda: [name for name in context.names if name != controller.ctx.name],
                shard_map_step=lambda: context.shard_map_steps[controller.ctx.name],
            )
            context.censuses[controller.ctx.name] = census
            id_assigner = ProxyIdAssigner(
                ctx=controller.ctx, register=controller.register, view=controller.view, census=census
            )
            context.id_assigners.append(id_assigner)

        context.stage.call(call=work)


@given('proxies "{proxies}" ask {where}')
@when('proxies "{proxies}" ask {where}')
def when_proxies_ask(context: Any, proxies: str, where: str) -> None:
    for name in proxies.split(", "):
        context.controller_stages[int(where.removeprefix("core-")) - 1].relay.asking.add(name)


@when('proxies "{proxies}" stop asking')
def when_proxies_stop(context: Any, proxies: str) -> None:
    for controller in context.controller_stages:
        controller.relay.recent_proxies(within_us=0)
        controller.relay.asking -= set(proxies.split(", "))


@when("{seconds:d} s pass at the controllers")
def when_time_passes(context: Any, seconds: int) -> None:
    context.stage.advance(for_us=seconds * 1_000_000)


@then('the proxy ids are "{words}"')
def then_proxy_ids(context: Any, words: str) -> None:
    found = context.store.values.get(PROXY_IDS_KEY)
    names = read_proxy_ids(data=b"" if found is None else found.value).names
    text = ", ".join(f"{number} {name}" for number, name in names) or "none"
    assert text == words, text


@given('"{proxy}" reports to {where} its address in "{site}" as "{address}"')
@when('"{proxy}" reports to {where} its address in "{site}" as "{address}"')
def when_reports_address(context: Any, proxy: str, where: str, site: str, address: str) -> None:
    body = (
        Packer().u8(value=MessageType.ANNOUNCE_ADDRESS).text(value=proxy).text(value=site).text(value=address).bytes()
    )
    context.stage.run(work=context.controller_stages[int(where.removeprefix("core-")) - 1].dispatcher.dispatch(body))


@then('the proxy addresses are "{words}"')
def then_addresses(context: Any, words: str) -> None:
    found = context.store.values.get(PROXY_ADDRESSES_KEY)
    proxy_addresses = {} if found is None else read_proxy_addresses(data=found.value).addresses
    text = (
        ", ".join(f"{name} {address.site} {address.records}" for name, address in sorted(proxy_addresses.items()))
        or "none"
    )
    assert text == words, text


@then("the proxy addresses were written {count:d} times")
def then_address_writes(context: Any, count: int) -> None:
    writes = [key for _, key, _ in context.store.writes if key == PROXY_ADDRESSES_KEY]
    assert len(writes) == count, len(writes)


@then("the proxy ids were written {count:d} times")
def then_id_writes(context: Any, count: int) -> None:
    writes = [key for _, key, _ in context.store.writes if key == PROXY_IDS_KEY]
    assert len(writes) == count, len(writes)


@given("{name} has reached proposal {proposal:d} and phase {phase:d} of the shard map")
@when("{name} has reached proposal {proposal:d} and phase {phase:d} of the shard map")
def when_step_reached(context: Any, name: str, proposal: int, phase: int) -> None:
    context.shard_map_steps[name] = ShardMapStep(proposal=proposal, phase=phase)


@when("{name} stops answering")
def when_stops_answering(context: Any, name: str) -> None:
    context.dispatchers.pop(name)


@then("{name} finds all peers at proposal {proposal:d} and phase {phase:d}: {answer}")
def then_peers_at_step(context: Any, name: str, proposal: int, phase: int, answer: str) -> None:
    census = context.censuses[name]
    context.stage.run(work=census.gather(every_us=0))
    assert census.peers_agree(step=ShardMapStep(proposal=proposal, phase=phase)) == (answer == "yes"), (
        census.peer_steps
    )


@when("the lease holder crashes, and its proxies switch to another controller after {seconds:d} s")
def when_holder_crashes(context: Any, seconds: int) -> None:
    crashed = next(
        context.controller_stages[n] for n, id_assigner in enumerate(context.id_assigners) if id_assigner.lease.held
    )
    crashed.kill()
    context.dispatchers.pop(crashed.ctx.name)
    context.stage.advance(for_us=seconds * 1_000_000)
    other = next(controller for controller in context.controller_stages if controller.ctx.name in context.dispatchers)
    other.relay.asking |= crashed.relay.asking


@then("a controller reports the age of each proxy's last question and its vote")
def then_proxies(context: Any) -> None:
    context.controller_stages[0].relay.asking, context.controller_stages[0].relay.requested_us = (
        {"b"},
        {"a": context.stage.now_us - 7_000},
    )
    context.controller_stages[0].relay.votes["b"] = (4, Vote.agrees)
    body = Packer().u8(value=MessageType.PROXIES).bytes()
    unpacker = Unpacker(data=context.stage.run(work=context.dispatchers["core-1"].dispatch(body)))
    found = unpacker.many(each=lambda u: (u.text(), u.u64(), u.u64(), Vote(u.u8())))
    step = unpacker.u64(), unpacker.u8()
    unpacker.done()
    assert step == (0, 0), step
    assert sorted(found) == [("a", 7_000, 0, Vote.silent), ("b", 0, 4, Vote.agrees)], found


@then("the fence position is at or after every acknowledged commit")
def then_fence_past(context: Any) -> None:
    moving = [
        read_service_primary(data=value)
        for _, key, value in context.store.writes
        if key.startswith("service/") and read_service_primary(data=value).state == PrimaryState.moving
    ]
    # The fence is written once it is known.
    fences = [assignment.fence for assignment in moving if not assignment.fence_pending]
    assert fences and all(fence.term == 3 for fence in fences), moving
    before = position(text=context.acknowledged)
    assert before is not None and fences[0] >= before, (position_text(at=fences[0]), context.acknowledged)


@when("the acknowledged position is recorded")
def when_noted(context: Any) -> None:
    context.acknowledged = position_text(at=context.cluster.acknowledged)
