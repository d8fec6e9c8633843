"""Trials of configurations: concurrent, in quick succession, outdated, and invalid."""

import json
from typing import Any

from .failover_trials import RECOVERY_MS
from .platform_world import PlatformWorld


def corrupted(*, world: PlatformWorld, body: bytes) -> bytes:
    """An invalid configuration made from a valid one, in one of seven ways."""
    document: dict[str, Any] = json.loads(body)
    routes = document["routes"]
    route = world.rng.choice(routes)
    variant = world.rng.randrange(7)
    if variant == 0:
        return body[: world.rng.randrange(1, len(body))]
    if variant == 1:
        route["target"] = "nobody"
    elif variant == 2:
        routes.append(dict(route, name="again"))
    elif variant == 3:
        route["give_up_ms"] = 0
    elif variant == 4:
        document["revision"] = "many"
    elif variant == 5:
        del document["services"]
    else:
        route["sort"] = "whatever"
    return json.dumps(document).encode()


def configurations(world: PlatformWorld) -> None:
    """Routes are added and removed by two operators at once; outdated and invalid configurations arrive too."""
    versions = iter(range(7, 1_000, 6))
    extra: set[str] = set()
    world.prober.databases.extend(["extra-0", "extra-1", "extra-2"])
    world.prober.pause_s = 0.1
    bodies: list[bytes] = [world.configuration(version=3)]
    for _ in range(5):
        for _ in range(world.rng.choice((1, 1, 2))):
            extra ^= {world.rng.choice(("extra-0", "extra-1", "extra-2"))}
            body = world.configuration(
                version=next(versions), extra=tuple(sorted(extra)), give_up_ms=world.rng.randrange(700, 1_200)
            )
            bodies.append(body)
            world.put(body=body)
            if world.rng.random() < 0.5:
                world.put(body=body)
        if world.rng.random() < 0.6:
            world.put(body=corrupted(world=world, body=world.configuration(version=5_000)), valid=False)
        if world.rng.random() < 0.6:
            world.put(body=world.rng.choice(bodies))
        world.advance(for_ms=world.rng.choice((50, 400, 3_400)))
    # the oldest configuration is sent once more after all others were answered
    world.advance(for_ms=1_000)
    world.put(body=bodies[0])
    world.advance(for_ms=3_500)


def configurations_under_kills(world: PlatformWorld) -> None:
    """Controllers are killed right after a configuration was acknowledged."""
    world.prober.databases.extend(["extra-0", "extra-1"])
    extra: set[str] = set()
    for version in (11, 12, 20):
        extra ^= {world.rng.choice(("extra-0", "extra-1"))}
        task = world.put(body=world.configuration(version=version, extra=tuple(sorted(extra))))
        world.await_that(test=task.done, within_ms=RECOVERY_MS, description=f"version {version} is answered")
        world.kill(name=world.rng.choice(world.controllers), restart_us=world.rng.choice((300_000, 1_500_000)))
        world.advance(for_ms=world.rng.choice((100, 3_000)))
    world.advance(for_ms=5_000)
