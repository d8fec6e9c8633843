"""Steps for membership."""

import random
from typing import Any

from behave import given, then, when
from common import new_world

from cinderstair.membership.member import Standing
from cinderstair.simulation.sim_net import SimNet
from cinderstair.simulation.virtual_loop import Boot


def removed(*, context: Any, but: str) -> list[str]:
    """Which daemon takes which live member for dead."""
    world = context.world
    return [
        f"{name} took {member.name} for dead"
        for name in (*world.http_proxy_names, *world.register_replica_names)
        if world.up(name=name)
        for member in world.things[name].membership.members.values()
        if member.standing == Standing.dead and member.name != but
    ]


def gone_everywhere(*, context: Any, name: str) -> bool:
    world = context.world
    return all(
        world.things[each].membership.standing(name=name) in (Standing.dead, None)
        for each in (*world.http_proxy_names, *world.register_replica_names)
        if each != name
    )


@given("a system of {http_proxies:d} HTTP proxies and {register_replicas:d} register replicas, with seed {seed:d}")
def given_system(context: Any, http_proxies: int, register_replicas: int, seed: int) -> None:
    world = new_world(context=context, seed=seed, http_proxies=http_proxies, register_replicas=register_replicas)
    world.begin()
    # everyone has to know everyone before anything is tried
    world.await_that(
        test=lambda: all(
            len(world.things[n].membership.alive()) == http_proxies + register_replicas - 1
            for n in (*world.http_proxy_names, *world.register_replica_names)
        ),
        within_us=20_000_000,
        what="everyone knows everyone",
    )
    context.removed = []


@when("machine {name} is killed")
def when_killed(context: Any, name: str) -> None:
    context.world.kill(name=name)
    context.gone = name


@then("within {seconds:d} seconds every other machine knows that {name} is gone")
def then_gone(context: Any, seconds: int, name: str) -> None:
    world = context.world
    for _ in range(seconds * 10):
        world.advance(for_us=100_000)
        context.removed += removed(context=context, but=name)
    assert gone_everywhere(context=context, name=name)


@then("at no moment was anyone else removed by anyone")
def then_nobody(context: Any) -> None:
    assert not context.removed, context.removed[:5]


@when("{name} is partitioned for {seconds:d} seconds and returns")
def when_partitioned(context: Any, name: str, seconds: int) -> None:
    world = context.world
    world.isolate(name=name)
    world.advance(for_us=seconds * 1_000_000)
    assert gone_everywhere(context=context, name=name)
    world.heal()


@then("for {seconds:d} seconds no member but {name} is taken for dead by any other")
def then_only(context: Any, seconds: int, name: str) -> None:
    for _ in range(seconds * 10):
        context.world.advance(for_us=100_000)
        wrong = removed(context=context, but=name)
        assert not wrong, wrong[:5]


@then("within {seconds:d} seconds every other machine finds {name} alive again")
def then_alive_again(context: Any, seconds: int, name: str) -> None:
    world = context.world
    others = [each for each in (*world.http_proxy_names, *world.register_replica_names) if each != name]
    world.await_that(
        test=lambda: all(world.things[each].membership.standing(name=name) == Standing.alive for each in others),
        within_us=seconds * 1_000_000,
        what=f"{name} is alive",
    )


@when("{one} and {other} can't reach each other for {seconds:d} seconds")
def when_pair(context: Any, one: str, other: str, seconds: int) -> None:
    world = context.world
    world.cut(ones=[one], others=[other])
    for _ in range(seconds * 10):
        world.advance(for_us=100_000)
        context.removed += removed(context=context, but="")


@when("{count:d} records of random bytes are sent to stall-0 and vault-0")
def when_random(context: Any, count: int) -> None:
    world, rng = context.world, random.Random(6)
    net = SimNet(wires=world.wires, boot=Boot(name="stranger"))
    context.answers = []
    for number in range(count):
        kind = rng.choice([1, 2, 3, 4, 5, 6, 7, 20, 21, 30, 99])
        junk = rng.randbytes(rng.randrange(0, 60))
        # half of them begin like a record of that kind whose text or list then makes no sense
        body = bytes([kind]) + (len(junk).to_bytes(4, "big") if number % 2 else b"") + junk
        address = world.records(name=("stall-0", "vault-0")[number % 2])
        context.answers.append(world.run(work=net.request(address=address, body=body, wait_us=100_000)))


@then("they are answered by nobody, and both go on")
def then_dropped(context: Any) -> None:
    world = context.world
    # by chance a few are whole records of another epoch, to which a register replica answers with one byte
    reported = [answer.ok for answer in context.answers if answer.is_ok()]
    assert all(len(answer) == 1 for answer in reported) and len(reported) < 20, reported[:3]
    assert not world.errors, world.errors[:3]
    assert world.ready()
    assert world.register_replica(name="vault-0").roster is not None and not world.halted


@when("{name} is frozen for {seconds:d} seconds and goes on")
def when_frozen(context: Any, name: str, seconds: int) -> None:
    world = context.world
    context.before = world.things[name].membership.me.incarnation
    world.freeze(name=name)
    world.advance(for_us=seconds * 1_000_000)
    assert gone_everywhere(context=context, name=name)
    world.thaw(name=name)
