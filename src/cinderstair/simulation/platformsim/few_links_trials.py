"""Trials in which a backend accepts fewer connections than there are proxies."""

from . import machine_trials, mixed_trials, shard_trials
from .failover_trials import RECOVERY_MS, await_failover
from .machine_trials import await_serving
from .platform_world import PlatformWorld


def few_links_calm(world: PlatformWorld) -> None:
    """No faults."""
    world.advance(for_ms=6_000)


def few_links_killed(world: PlatformWorld) -> None:
    """Half of the proxies are killed at once, then two more one after the other."""
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, len(world.proxies) // 2):
        world.kill(name=name)
    world.advance(for_ms=3_500)
    await_serving(world=world)
    for name in world.rng.sample(world.proxies, 2):
        world.kill(name=name)
        world.advance(for_ms=2_500)
    await_serving(world=world)
    world.advance(for_ms=1_500)


def few_links_frozen(world: PlatformWorld) -> None:
    """Proxies are frozen while others forward statements to them, and thaw."""
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 4):
        world.freeze(name=name)
        world.advance(for_ms=world.rng.randrange(300, 4_000))
        world.thaw(name=name)
        world.advance(for_ms=1_000)
    await_serving(world=world)
    world.advance(for_ms=1_000)


def few_links_frozen_during_failover(world: PlatformWorld) -> None:
    """A link holder of a primary is frozen during its failover, and thaws with outdated forwards in its queue."""
    world.advance(for_ms=1_000)
    old = world.primary()
    holders = [connection.peer_host for connection in old.connections if connection.peer_host in world.proxies]
    name = world.rng.choice(sorted(holders) or world.proxies)
    world.freeze(name=name)
    world.advance(for_ms=world.rng.randrange(600))
    world.crash(backend=old, restart_us=500_000)
    world.advance(for_ms=world.rng.randrange(1_500, 5_000))
    world.thaw(name=name)
    await_serving(world=world)
    world.advance(for_ms=3_000)


def few_links_stopped(world: PlatformWorld) -> None:
    """Proxies are stopped with SIGTERM one after the other, with own and forwarded requests in flight."""
    for backend in world.backends.values():
        backend.slowdown = 8
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 3):
        world.stop(name=name)
        world.advance(for_ms=6_600)
    await_serving(world=world)
    world.advance(for_ms=1_000)


def few_links_promoted(world: PlatformWorld) -> None:
    """A primary crashes while a proxy is partitioned from the other proxies."""
    world.advance(for_ms=1_500)
    name = world.rng.choice(world.proxies)
    world.partition(ones=[name], others=[each for each in world.proxies if each != name])
    world.advance(for_ms=1_000)
    old = world.primary()
    world.crash(backend=old, restart_us=world.rng.choice((700_000, 5_000_000)))
    await_failover(world=world, old=old.name)
    world.heal()
    world.advance(for_ms=2_500)


def few_links_released(world: PlatformWorld) -> None:
    """All backends of a service are drained and replaced one after the other."""
    world.advance(for_ms=1_500)
    for name in list(world.services["ledger0"].backends):
        world.release(backend=world.backends[name])
        world.advance(for_ms=6_000)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")
    world.advance(for_ms=2_500)


def few_links_all_killed(world: PlatformWorld) -> None:
    """All processes are killed at once; the link limits are kept in the register."""
    world.advance(for_ms=2_000)
    for name in [*world.controllers, *world.proxies]:
        world.kill(name=name, restart_us=world.rng.randrange(300_000, 900_000))
    world.advance(for_ms=1_000)
    await_serving(world=world)
    world.advance(for_ms=2_500)


def few_links_old_primary(world: PlatformWorld) -> None:
    """A link holder is frozen while a primary partitioned from the controllers is replaced, and keeps running."""
    world.advance(for_ms=1_000)
    old = world.primary()
    name = world.rng.choice(
        sorted({connection.peer_host for connection in old.connections if connection.peer_host in world.proxies})
    )
    world.freeze(name=name)
    world.advance(for_ms=world.rng.randrange(300))
    world.partition(ones=[old.name], others=world.controllers)
    moving = world.now_us
    world.await_that(
        test=lambda: world.primary().name != old.name or world.now_us - moving > 6_000_000,
        within_ms=RECOVERY_MS,
        description="another backend is primary, or 6 s have passed",
    )
    world.advance(for_ms=world.rng.randrange(400, 1_500))
    world.thaw(name=name)
    world.advance(for_ms=1_500)
    world.heal()
    await_serving(world=world)
    world.advance(for_ms=2_500)


def few_links_ids_change(world: PlatformWorld) -> None:
    """A proxy is down until its id is freed, and returns: link limits are reassigned twice."""
    world.advance(for_ms=1_000)
    name = world.rng.choice(world.proxies)
    world.power_off(name=name)
    world.advance(for_ms=36_000)
    world.power_on(name=name)
    world.advance(for_ms=6_000)
    await_serving(world=world)
    world.advance(for_ms=1_000)


def few_links_shards(world: PlatformWorld) -> None:
    """The shard map changes."""
    shard_trials.shards_short_operations(world)


def few_links_mixed(world: PlatformWorld) -> None:
    """Random faults at once."""
    mixed_trials.mixed_faults(world)


def few_links_answers_lost(world: PlatformWorld) -> None:
    """Backends lose some answers."""
    machine_trials.answers_lost(world)
