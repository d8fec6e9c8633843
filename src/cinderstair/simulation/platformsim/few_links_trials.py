"""Trials in which a backend takes fewer connections than there are proxies."""

from . import machine_trials, mixed_trials, shard_trials
from .failover_trials import BACK_MS, moved
from .machine_trials import back
from .platform_world import PlatformWorld


def few_links_calm(world: PlatformWorld) -> None:
    world.advance(for_ms=6_000)


def few_links_killed(world: PlatformWorld) -> None:
    """Half of the proxies at once, those that hold links among them, then one after the other."""
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, len(world.proxies) // 2):
        world.kill(name=name)
    world.advance(for_ms=3_500)
    back(world=world)
    for name in world.rng.sample(world.proxies, 2):
        world.kill(name=name)
        world.advance(for_ms=2_500)
    back(world=world)
    world.advance(for_ms=1_500)


def few_links_frozen(world: PlatformWorld) -> None:
    """Proxies stand still with others' statements on their way to them, and go on where they were."""
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 4):
        world.freeze(name=name)
        world.advance(for_ms=world.rng.randrange(300, 4_000))
        world.thaw(name=name)
        world.advance(for_ms=1_000)
    back(world=world)
    world.advance(for_ms=1_000)


def few_links_frozen_in_move(world: PlatformWorld) -> None:
    """A proxy that holds links to a primary stands still while the lead moves; what lies before it is old then."""
    world.advance(for_ms=1_000)
    old = world.primary()
    holders = [door.far_end for door in old.doors if door.far_end in world.proxies]
    name = world.rng.choice(sorted(holders) or world.proxies)
    world.freeze(name=name)
    world.advance(for_ms=world.rng.randrange(600))
    world.crash(backend=old, again_us=500_000)
    world.advance(for_ms=world.rng.randrange(1_500, 5_000))
    world.thaw(name=name)
    back(world=world)
    world.advance(for_ms=3_000)


def few_links_stopped(world: PlatformWorld) -> None:
    """SIGTERM to one proxy after another, with much under way at each, and for others."""
    for backend in world.backends.values():
        backend.slow = 8
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 3):
        world.stop(name=name)
        world.advance(for_ms=6_600)
    back(world=world)
    world.advance(for_ms=1_000)


def few_links_promoted(world: PlatformWorld) -> None:
    """A primary crashes, and a proxy is cut off from the other proxies."""
    world.advance(for_ms=1_500)
    name = world.rng.choice(world.proxies)
    world.cut(ones=[name], others=[each for each in world.proxies if each != name])
    world.advance(for_ms=1_000)
    old = world.primary()
    world.crash(backend=old, again_us=world.rng.choice((700_000, 5_000_000)))
    moved(world=world, old=old.name)
    world.heal()
    world.advance(for_ms=2_500)


def few_links_released(world: PlatformWorld) -> None:
    """All backends of a service are replaced, one after the other."""
    world.advance(for_ms=1_500)
    for name in list(world.services["ledger0"].backends):
        world.release(backend=world.backends[name])
        world.advance(for_ms=6_000)
    world.await_that(test=world.serves, within_ms=BACK_MS, what="the service is back")
    world.advance(for_ms=2_500)


def few_links_all_killed(world: PlatformWorld) -> None:
    """All processes end at once; what was dealt stands in the register."""
    world.advance(for_ms=2_000)
    for name in [*world.controllers, *world.proxies]:
        world.kill(name=name, again_us=world.rng.randrange(300_000, 900_000))
    world.advance(for_ms=1_000)
    back(world=world)
    world.advance(for_ms=2_500)


def few_links_old_primary(world: PlatformWorld) -> None:
    """A proxy that holds links stands still while the lead moves away from a primary that goes on as before."""
    world.advance(for_ms=1_000)
    old = world.primary()
    name = world.rng.choice(sorted({door.far_end for door in old.doors if door.far_end in world.proxies}))
    world.freeze(name=name)
    world.advance(for_ms=world.rng.randrange(300))
    world.cut(ones=[old.name], others=world.controllers)
    moving = world.now_us
    world.await_that(
        test=lambda: world.primary().name != old.name or world.now_us - moving > 6_000_000,
        within_ms=BACK_MS,
        what="the lead has moved",
    )
    world.advance(for_ms=world.rng.randrange(400, 1_500))
    world.thaw(name=name)
    world.advance(for_ms=1_500)
    world.heal()
    back(world=world)
    world.advance(for_ms=2_500)


def few_links_ids_change(world: PlatformWorld) -> None:
    """A proxy is away for so long that its id is freed, and comes back; all have to be dealt anew, twice."""
    world.advance(for_ms=1_000)
    name = world.rng.choice(world.proxies)
    world.power_off(name=name)
    world.advance(for_ms=36_000)
    world.power_on(name=name)
    world.advance(for_ms=6_000)
    back(world=world)
    world.advance(for_ms=1_000)


def few_links_shards(world: PlatformWorld) -> None:
    shard_trials.shards_in_a_match(world)


def few_links_mixed(world: PlatformWorld) -> None:
    mixed_trials.mixed(world)


def few_links_answers_lost(world: PlatformWorld) -> None:
    machine_trials.answers_lost(world)
