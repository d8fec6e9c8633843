"""Trials of what daemons of control answer: cut off, to two operators at once, and to orders sent again."""

import asyncio

from .machine_trials import back
from .platform_world import PlatformWorld

CUT_MS = 20_000
ASK_EVERY_MS = 400
ANSWERED_MS = 30_000
CAUGHT_UP_MS = 3_000
NOTHING, CLEAR = 0, range(200, 500)


def answered(*, world: PlatformWorld, tasks: list[asyncio.Task[int]]) -> None:
    """Waits until all these orders have their clear answers, or were given up."""
    until_us = world.now_us + ANSWERED_MS * 1_000
    while not all(task.done() for task in tasks):
        assert world.now_us < until_us, "orders are under way for ever"
        world.advance(for_ms=50)


def cut_off_for_long(world: PlatformWorld) -> None:
    """A daemon of control is cut off from the others for twenty seconds; operators and backends still reach it.

    Backends that leave report there first. Proxies are restarted meanwhile, and know it as their first seed.
    """
    world.advance(for_ms=1_000)
    alone = world.rng.choice(world.controllers)
    address = world.address(name=alone, door="control")
    world.cut_off_controller(name=alone, both=world.rng.random() < 0.7)
    world.controls.remove(address)
    world.controls.insert(0, address)
    for sender in world.senders.values():
        sender.heartbeat_to = address
    leaver = world.rng.choice([world.primary(), *world.replicas()])
    world.advance(for_ms=2_500)
    version = 10
    for turn in range(CUT_MS // ASK_EVERY_MS):
        body = world.configuration(version=version, extra=(f"extra-{version}",))
        status, found = world.run(work=world.operator.once(address=address, method="GET"))
        if status in CLEAR:
            world.referee.config.served_alone(what=f"{alone} is cut off, and answers {status} with {found[:40]!r}")
        status, _ = world.run(work=world.operator.once(address=address, method="PUT", body=body))
        if status in CLEAR:
            world.referee.config.served_alone(what=f"{alone} is cut off, and answers an order with {status}")
        if turn == 4:
            world.release(backend=leaver)
        if turn in (8, 20):
            world.kill(name=world.rng.choice(world.proxies))
        if turn % 10 == 5:
            world.put(body=body)
            version += 1
        world.advance(for_ms=ASK_EVERY_MS)
    world.heal()
    back(world=world)
    world.advance(for_ms=CAUGHT_UP_MS)


def orders_race(world: PlatformWorld) -> None:
    """Pairs of orders under one number, to different daemons, with lost answers; each is sent again and again."""
    world.operator.lost_answers = 0.5
    bodies: list[bytes] = []
    for version in range(10, 22, 3):
        pair = [
            world.configuration(version=version, extra=(f"extra-{version}-{operator}",)) for operator in ("a", "b")
        ]
        bodies += pair
        tasks = [world.put(body=body) for body in pair]
        if world.rng.random() < 0.5:
            world.advance(for_ms=world.rng.randrange(400))
            world.kill(name=world.rng.choice(world.controllers), again_us=300_000)
        answered(world=world, tasks=tasks)
        if all(200 <= task.result() < 300 for task in tasks):
            world.referee.config.breach(what=f"both orders under {version} are confirmed")
        world.advance(for_ms=world.rng.choice((100, 2_500)))
    # why: long after they were overtaken each comes once more, to each daemon
    tasks = [world.put(body=body) for body in bodies for _ in range(2)]
    answered(world=world, tasks=tasks)
    world.operator.lost_answers = 0.0
    back(world=world)
    world.advance(for_ms=CAUGHT_UP_MS)


def orders_at_once(world: PlatformWorld) -> None:
    """Eight orders are under way at once, as a daemon of control is lost after an acknowledgement."""
    version = 20
    for _ in range(3):
        tasks: list[asyncio.Task[int]] = []
        for step in world.rng.sample(range(1, 30), 8):
            body = world.configuration(version=version + step, extra=(f"extra-{version + step}",))
            tasks.append(world.put(body=body))
        world.run(work=asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED))
        name = world.rng.choice(world.controllers)
        world.power_off(name=name, wipe=world.rng.random() < 0.5)
        world.advance(for_ms=1_500)
        world.power_on(name=name)
        answered(world=world, tasks=tasks)
        version += 30
        world.advance(for_ms=4_000)
    back(world=world)
    world.advance(for_ms=CAUGHT_UP_MS)
