"""Trials of controllers' answers: while partitioned, to concurrent operators, and to repeated configurations."""

import asyncio

from .machine_trials import await_serving
from .platform_world import PlatformWorld

PARTITION_MS = 20_000
ASK_EVERY_MS = 400
ANSWERED_MS = 30_000
CAUGHT_UP_MS = 3_000
NOTHING, CLEAR = 0, range(200, 500)


def answered(*, world: PlatformWorld, tasks: list[asyncio.Task[int]]) -> None:
    """Waits until the operator has finished sending all these configurations."""
    until_us = world.now_us + ANSWERED_MS * 1_000
    while not all(task.done() for task in tasks):
        assert world.now_us < until_us, f"configurations have no answer after {ANSWERED_MS} ms"
        world.advance(for_ms=50)


def controller_partitioned(world: PlatformWorld) -> None:
    """A controller is partitioned from the others for 20 s, while operators and backends still reach it.

    A draining backend reports there first, and proxies that restart have it as their first seed.
    """
    world.advance(for_ms=1_000)
    partitioned = world.rng.choice(world.controllers)
    address = world.address(name=partitioned, port="control")
    world.partition_controller(name=partitioned, both=world.rng.random() < 0.7)
    world.controller_addresses.remove(address)
    world.controller_addresses.insert(0, address)
    for sender in world.senders.values():
        sender.heartbeat_to = address
    draining = world.rng.choice([world.primary(), *world.replicas()])
    world.advance(for_ms=2_500)
    version = 10
    for iteration in range(PARTITION_MS // ASK_EVERY_MS):
        body = world.configuration(version=version, extra=(f"extra-{version}",))
        status, found = world.run(work=world.operator.call_once(address=address, method="GET"))
        if status in CLEAR:
            world.oracle.config.served_without_quorum(
                description=f"{partitioned} is partitioned from the majority, "
                f"but answers GET with {status}: {found[:40]!r}"
            )
        status, _ = world.run(work=world.operator.call_once(address=address, method="PUT", body=body))
        if status in CLEAR:
            world.oracle.config.served_without_quorum(
                description=f"{partitioned} is partitioned from the majority, but answers PUT with {status}"
            )
        if iteration == 4:
            world.release(backend=draining)
        if iteration in (8, 20):
            world.kill(name=world.rng.choice(world.proxies))
        if iteration % 10 == 5:
            world.put(body=body)
            version += 1
        world.advance(for_ms=ASK_EVERY_MS)
    world.heal()
    await_serving(world=world)
    world.advance(for_ms=CAUGHT_UP_MS)


def configurations_conflicting(world: PlatformWorld) -> None:
    """Two configurations of one version are sent at once, with lost answers and retries: one may be confirmed."""
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
            world.kill(name=world.rng.choice(world.controllers), restart_us=300_000)
        answered(world=world, tasks=tasks)
        if all(200 <= task.result() < 300 for task in tasks):
            world.oracle.config.breach(description=f"both configurations of version {version} are confirmed")
        world.advance(for_ms=world.rng.choice((100, 2_500)))
    # each is sent again long after newer versions were confirmed
    tasks = [world.put(body=body) for body in bodies for _ in range(2)]
    answered(world=world, tasks=tasks)
    world.operator.lost_answers = 0.0
    await_serving(world=world)
    world.advance(for_ms=CAUGHT_UP_MS)


def configurations_concurrent(world: PlatformWorld) -> None:
    """A controller is lost after the first acknowledgement of eight concurrent configurations."""
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
    await_serving(world=world)
    world.advance(for_ms=CAUGHT_UP_MS)
