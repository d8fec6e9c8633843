"""Trials of register replicas and configurations: lost machines and disks, and concurrent operators."""

import asyncio

from .trial import SETTLE_US, Trial
from .world import World


def register_replicas_restarted(*, trial: Trial) -> None:
    """Two register replicas are killed and return, and then two others."""
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


def register_majority_lost(*, trial: Trial) -> None:
    """A majority of register replicas is down for a while: no stale view may be served, and service recovers."""
    world = trial.world
    for name in world.register_replica_names[:3]:
        world.kill(name=name)
    trial.go(for_us=6_000_000)
    if any(world.http_proxy(name=n).ready.unready() is None for n in world.http_proxy_names):
        trial.verdict.wrong.append("an HTTP proxy is ready while a register majority is down")
    trial.fault()
    for name in world.register_replica_names[:3]:
        world.start(name=name)
    trial.go(for_us=SETTLE_US)


def register_disk_faults(*, trial: Trial) -> None:
    """One register replica's write is torn, another's sync fails; both restart."""
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


def register_replica_disk_lost(*, trial: Trial) -> None:
    """A register replica loses its disk and returns empty; then others are killed, so that its vote is needed."""
    world = trial.world
    name = world.rng.choice(world.register_replica_names)
    old = world.register_replica(name=name).me
    trial.fault()
    world.kill(name=name)
    trial.submit(version=2)
    world.disks[name].wipe()
    trial.go(for_us=world.rng.randrange(100_000, 2_000_000))
    world.start(name=name)

    def voting() -> bool:
        register_replica = world.roles.get(name)
        if register_replica is None:
            return False
        return (
            register_replica.me is not None
            and register_replica.roster is not None
            and register_replica.roster.has(ident=register_replica.me.ident)
        )

    trial.verdict.note(
        name="empty register replica in the roster",
        value_us=world.await_that(test=voting, within_us=20_000_000, what=f"{name} votes after it lost its disk"),
    )
    if old == world.register_replica(name=name).me:
        trial.verdict.wrong.append(f"{name} kept its identity {old} after it lost its disk")
    trial.go(for_us=5_000_000)
    for other in [each for each in world.register_replica_names if each != name][:2]:
        world.kill(name=other)
    trial.submit(version=3)
    trial.go(for_us=8_000_000)


def configurations(*, trial: Trial) -> None:
    """Concurrent operators, an older version, a malformed document, and a failure before the read back."""
    world = trial.world
    bodies = (
        world.configuration(version=2),
        world.configuration(version=2, stalls={"stall-0": {"hall": "old"}}),
    )
    statuses = world.run(work=submit_concurrently(world=world, bodies=bodies))
    if sorted(statuses) != [200, 409]:
        trial.verdict.wrong.append(f"two concurrent operators got statuses {statuses}, expected 200 and 409")
    for body, status in zip(bodies, statuses, strict=True):
        trial.record_submission(version=2, body=body, status=status)
    trial.go(for_us=1_000_000)
    if trial.submit(version=1) != 409:
        trial.verdict.wrong.append("an older version was accepted: 1 after 2")
    trial.go(for_us=1_000_000)
    status, _ = world.ask(name="stall-1", method="PUT", path="/v1/configuration", body=b'{"version": 9, "dat')
    if status != 422:
        trial.verdict.wrong.append(f"a malformed configuration was accepted: status {status}")
    trial.go(for_us=2_000_000)
    for version in range(3, 8):
        trial.submit(version=version, at=world.rng.choice(world.http_proxy_names))
        trial.go(for_us=world.rng.randrange(100_000, 900_000))
    trial.fault()
    for name in (world.register_replica_names[0], world.register_replica_names[3], trial.holder):
        world.kill(name=name)
    trial.go(for_us=SETTLE_US)


async def submit_concurrently(*, world: World, bodies: tuple[bytes, bytes]) -> list[int]:
    """Submits both configurations at different HTTP proxies at once; returns the statuses."""
    names = world.http_proxy_names
    results = await asyncio.gather(
        *(
            world._ask(name=names[n % len(names)], method="PUT", path="/v1/configuration", body=body)
            for n, body in enumerate(bodies)
        )
    )
    return [status for status, _ in results]
