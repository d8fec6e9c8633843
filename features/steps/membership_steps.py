"""Steps for membership."""

import random
from typing import Any

from behave import given, then, when
from common import new_world

from cinderstair.membership.member import Standing
from cinderstair.simulation.sim_net import SimNet
from cinderstair.simulation.virtual_loop import SimProcess


def removed(*, context: Any, but: str) -> list[str]:
    """Messages about daemons that list a member other than `but` as dead."""
    world = context.world
    return [
        f"{name} lists {member.name} as dead"
        for name in (*world.http_proxy_names, *world.register_replica_names)
        if world.up(name=name)
        for member in world.roles[name].membership.members.values()
        if member.standing == Standing.dead and member.name != but
    ]


def removed_everywhere(*, context: Any, name: str) -> bool:
    world = context.world
    return all(
        world.roles[each].membership.standing(name=name) in (Standing.dead, None)
        for each in (*world.http_proxy_names, *world.register_replica_names)
        if each != name
    )


@given("a system of {http_proxies:d} HTTP proxies and {register_replicas:d} register replicas, with seed {seed:d}")
def given_system(context: Any, http_proxies: int, register_replicas: int, seed: int) -> None:
    world = new_world(context=context, seed=seed, http_proxies=http_proxies, register_replicas=register_replicas)
    world.begin()
    # the scenario starts once every daemon knows all others
    world.await_that(
        test=lambda: all(
            len(world.roles[n].membership.alive()) == http_proxies + register_replicas - 1
            for n in (*world.http_proxy_names, *world.register_replica_names)
        ),
        within_us=20_000_000,
        what="every daemon knows all others",
    )
    context.removed = []


@when("daemon {name} is killed")
def when_killed(context: Any, name: str) -> None:
    context.world.kill(name=name)
    context.gone = name


@then("within {seconds:d} seconds every other daemon has removed {name}")
def then_removed(context: Any, seconds: int, name: str) -> None:
    world = context.world
    for _ in range(seconds * 10):
        world.advance(for_us=100_000)
        context.removed += removed(context=context, but=name)
    assert removed_everywhere(context=context, name=name)


@then("no live member was declared dead")
def then_none_removed(context: Any) -> None:
    assert not context.removed, context.removed[:5]


@when("{name} is partitioned for {seconds:d} seconds and reconnected")
def when_partitioned(context: Any, name: str, seconds: int) -> None:
    world = context.world
    world.isolate(name=name)
    world.advance(for_us=seconds * 1_000_000)
    assert removed_everywhere(context=context, name=name)
    world.heal()


@then("for {seconds:d} seconds no daemon declares a member other than {name} dead")
def then_no_other_dead(context: Any, seconds: int, name: str) -> None:
    for _ in range(seconds * 10):
        context.world.advance(for_us=100_000)
        wrong = removed(context=context, but=name)
        assert not wrong, wrong[:5]


@then("within {seconds:d} seconds every other daemon lists {name} as alive")
def then_alive_again(context: Any, seconds: int, name: str) -> None:
    world = context.world
    others = [each for each in (*world.http_proxy_names, *world.register_replica_names) if each != name]
    world.await_that(
        test=lambda: all(world.roles[each].membership.standing(name=name) == Standing.alive for each in others),
        within_us=seconds * 1_000_000,
        what=f"{name} is alive",
    )


@when("{one} and {other} can't reach each other for {seconds:d} seconds")
def when_unreachable_pair(context: Any, one: str, other: str, seconds: int) -> None:
    world = context.world
    world.cut(ones=[one], others=[other])
    for _ in range(seconds * 10):
        world.advance(for_us=100_000)
        context.removed += removed(context=context, but="")


@when("{count:d} records of random bytes are sent to stall-0 and vault-0")
def when_random_records(context: Any, count: int) -> None:
    world, rng = context.world, random.Random(6)
    net = SimNet(network=world.network, process=SimProcess(name="stranger"))
    context.answers = []
    for number in range(count):
        kind = rng.choice([1, 2, 3, 4, 5, 6, 7, 20, 21, 30, 99])
        junk = rng.randbytes(rng.randrange(0, 60))
        # half of the records start with a valid length, followed by malformed content
        body = bytes([kind]) + (len(junk).to_bytes(4, "big") if number % 2 else b"") + junk
        address = world.records(name=("stall-0", "vault-0")[number % 2])
        context.answers.append(world.run(work=net.request(address=address, body=body, wait_us=100_000)))


@then("no record is answered with more than a status byte, and both keep running")
def then_dropped(context: Any) -> None:
    world = context.world
    # a few records are well-formed by chance, with another epoch; a register replica answers them with a status byte
    reported = [answer.ok for answer in context.answers if answer.is_ok()]
    assert all(len(answer) == 1 for answer in reported) and len(reported) < 20, reported[:3]
    assert not world.errors, world.errors[:3]
    assert world.ready()
    assert world.register_replica(name="vault-0").roster is not None and not world.halted


@when("{name} is frozen for {seconds:d} seconds and resumed")
def when_frozen(context: Any, name: str, seconds: int) -> None:
    world = context.world
    context.before = world.roles[name].membership.me.incarnation
    world.freeze(name=name)
    world.advance(for_us=seconds * 1_000_000)
    assert removed_everywhere(context=context, name=name)
    world.thaw(name=name)
