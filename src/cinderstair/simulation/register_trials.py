"""Register replicas and configurations: lost machines and disks, and operators that race."""

import asyncio

from .trial import SETTLE_US, Trial
from .world import World


def register_replicas_turned(*, trial: Trial) -> None:
    """Two register replicas are killed, come back, and then two others."""
    world = trial.world
    trial.fault()
    for pair in (world.register_replica_names[:2], world.register_replica_names[2:4]):
        for name in pair:
            world.kill(name=name)
        trial.go(for_us=5_000_000)
        for name in pair:
            world.start(name=name)
        trial.go(for_us=2_000_000)
    trial.submit(version=2)
    trial.go(for_us=5_000_000)


def register_replicas_gone(*, trial: Trial) -> None:
    """A majority of register replicas is gone for a while: nothing is served by an old view, and all comes back."""
    world = trial.world
    for name in world.register_replica_names[:3]:
        world.kill(name=name)
    trial.go(for_us=6_000_000)
    if any(world.http_proxy(name=n).ready.unready() is None for n in world.http_proxy_names):
        trial.verdict.wrong.append("an HTTP proxy is ready without a view that can be current")
    trial.fault()
    for name in world.register_replica_names[:3]:
        world.start(name=name)
    trial.go(for_us=SETTLE_US)


def register_replica_disks(*, trial: Trial) -> None:
    """One register replica's sync fails, another's write is torn; both restart."""
    world = trial.world
    trial.fault()
    for number, name in enumerate(world.register_replica_names[:2]):
        setattr(world.disks[name], "fail_next" if number else "tear_next", True)
        trial.submit(version=2 + number, at=world.http_proxy_names[number % len(world.http_proxy_names)])
        trial.go(for_us=1_000_000)
        if name in world.halted:
            world.start(name=name)
        trial.go(for_us=2_000_000)
    trial.go(for_us=3_000_000)


def register_replica_wiped(*, trial: Trial) -> None:
    """A register replica loses its disk and comes back blank; then others go, so that its vote is needed."""
    world = trial.world
    name = world.rng.choice(world.register_replica_names)
    old = world.register_replica(name=name).me
    trial.fault()
    world.kill(name=name)
    trial.submit(version=2)
    world.disks[name].wipe()
    trial.go(for_us=world.rng.randrange(100_000, 2_000_000))
    world.start(name=name)

    def entered() -> bool:
        register_replica = world.roles.get(name)
        if register_replica is None:
            return False
        return (
            register_replica.me is not None
            and register_replica.roster is not None
            and register_replica.roster.has(ident=register_replica.me.ident)
        )

    trial.verdict.note(
        name="blank register replica in the roster",
        value_us=world.await_that(test=entered, within_us=20_000_000, what="the blank register replica votes"),
    )
    if old == world.register_replica(name=name).me:
        trial.verdict.wrong.append("a blank register replica came back under its old identity")
    trial.go(for_us=5_000_000)
    for other in [each for each in world.register_replica_names if each != name][:2]:
        world.kill(name=other)
    trial.submit(version=3)
    trial.go(for_us=8_000_000)


def configurations(*, trial: Trial) -> None:
    """Two operators at once, an old version, a broken one, and a last fault before reading back."""
    world = trial.world
    bodies = (
        world.configuration(version=2),
        world.configuration(version=2, stalls={"stall-0": {"hall": "old"}}),
    )
    statuses = world.run(work=at_once(world=world, bodies=bodies))
    if sorted(statuses) != [200, 409]:
        trial.verdict.wrong.append(f"two operators at once were told {statuses}")
    for body, status in zip(bodies, statuses, strict=True):
        trial.reported(version=2, body=body, status=status)
    trial.go(for_us=1_000_000)
    if trial.submit(version=1) != 409:
        trial.verdict.wrong.append("an old version was accepted")
    trial.go(for_us=1_000_000)
    status, _ = world.ask(name="stall-1", method="PUT", path="/v1/configuration", body=b'{"version": 9, "dat')
    if status != 422:
        trial.verdict.wrong.append("a broken configuration was accepted")
    trial.go(for_us=2_000_000)
    for version in range(3, 8):
        trial.submit(version=version, at=world.rng.choice(world.http_proxy_names))
        trial.go(for_us=world.rng.randrange(100_000, 900_000))
    trial.fault()
    for name in (world.register_replica_names[0], world.register_replica_names[3], trial.holder):
        world.kill(name=name)
    trial.go(for_us=SETTLE_US)


async def at_once(*, world: World, bodies: tuple[bytes, bytes]) -> list[int]:
    names = world.http_proxy_names
    results = await asyncio.gather(
        *(
            world._ask(name=names[n % len(names)], method="PUT", path="/v1/configuration", body=body)
            for n, body in enumerate(bodies)
        )
    )
    return [status for status, _ in results]
