"""Trials in which machines of the system, or what lies between them, are troubled."""

from .failover_trials import BACK_MS
from .platform_world import PlatformWorld


def back(*, world: PlatformWorld) -> None:
    world.await_that(test=world.serves, within_ms=BACK_MS, what="every proxy serves")


def controller_killed(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.controllers, len(world.controllers)):
        world.kill(name=name, again_us=world.rng.choice((300_000, 2_000_000)))
        world.advance(for_ms=2_800)
    back(world=world)
    world.advance(for_ms=1_000)


def backends_unheard(world: PlatformWorld) -> None:
    """All controllers begin anew while no beat reaches them; proxies reach backends as before."""
    world.advance(for_ms=800)
    world.cut(ones=list(world.backends), others=world.controllers)
    for name in world.controllers:
        world.kill(name=name, again_us=300_000)
    world.advance(for_ms=4_000)
    world.heal()
    back(world=world)
    world.advance(for_ms=2_000)


def controller_wiped(world: PlatformWorld) -> None:
    """A machine with a disk loses power and its disk, and starts again at its old address."""
    world.advance(for_ms=800)
    name = world.rng.choice(world.controllers)
    world.power_off(name=name, wipe=True)
    world.advance(for_ms=3_000)
    world.power_on(name=name)
    world.advance(for_ms=4_000)
    other = next(each for each in world.controllers if each != name)
    world.power_off(name=other)
    world.advance(for_ms=1_500)
    world.power_on(name=other)
    back(world=world)
    world.advance(for_ms=1_500)


def newest_on_one(world: PlatformWorld) -> None:
    """All controllers lose power, and one its disk, which held the newest configuration beside one other's."""
    world.advance(for_ms=1_500)
    wiped, other, behind = world.rng.sample(world.controllers, 3)
    world.cut(ones=[behind], others=[wiped, other])
    task = world.put(body=world.configuration(version=9, extra=("late",)))
    world.await_that(test=task.done, within_ms=8_000, what="a configuration is acknowledged")
    for name in world.controllers:
        world.power_off(name=name, wipe=name == wiped)
    world.heal()
    world.advance(for_ms=1_600)
    for name in world.controllers:
        world.power_on(name=name)
    world.await_that(test=world.serves, within_ms=650, what="every proxy serves")
    world.advance(for_ms=3_000)


def proxies_killed(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 2):
        world.kill(name=name)
        world.advance(for_ms=2_500)
    back(world=world)
    world.advance(for_ms=1_500)


def proxies_frozen(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 2):
        world.freeze(name=name)
        world.advance(for_ms=world.rng.randrange(300, 4_000))
        world.thaw(name=name)
        world.advance(for_ms=1_500)
    back(world=world)
    world.advance(for_ms=1_000)


def proxy_alone(world: PlatformWorld) -> None:
    """A proxy reaches clients and backends, but no controller, for far longer than what it knows may count."""
    world.advance(for_ms=1_000)
    world.cut(ones=[world.rng.choice(world.proxies)], others=world.controllers)
    world.advance(for_ms=20_000)
    world.heal()
    back(world=world)
    world.advance(for_ms=2_000)


def proxy_frozen_in_move(world: PlatformWorld) -> None:
    """A proxy stands still while a lead moves, and goes on where it was."""
    world.advance(for_ms=1_000)
    name = world.rng.choice(world.proxies)
    old = world.primary()
    world.crash(backend=old, again_us=500_000)
    if world.rng.random() < 0.5:
        world.advance(for_ms=world.rng.randrange(1_000))
    world.freeze(name=name)
    world.advance(for_ms=world.rng.randrange(1_500, 5_000))
    world.thaw(name=name)
    back(world=world)
    world.advance(for_ms=3_000)


def proxies_stopped(world: PlatformWorld) -> None:
    """SIGTERM to one proxy after another, with much under way at each."""
    for backend in world.backends.values():
        backend.slow = 30
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 2):
        world.stop(name=name)
        world.advance(for_ms=6_600)
    back(world=world)
    world.advance(for_ms=1_000)


def controllers_stopped(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.controllers[:2]:
        world.stop(name=name)
        world.advance(for_ms=4_500)
    back(world=world)
    world.advance(for_ms=1_000)


def closing(*, world: PlatformWorld, dark: bool) -> None:
    """A configuration is acknowledged, and right after it everything ends at once."""
    world.advance(for_ms=2_500)
    task = world.put(body=world.configuration(version=9, extra=("late",)))
    world.await_that(test=task.done, within_ms=8_000, what="a configuration is acknowledged")
    machines = [*world.controllers, *world.proxies]
    for name in machines:
        if dark:
            world.power_off(name=name)
        else:
            world.kill(name=name, again_us=world.rng.randrange(300_000, 900_000))
    if dark:
        world.advance(for_ms=world.rng.randrange(500, 3_000))
        for name in machines:
            world.power_on(name=name)
    else:
        world.advance(for_ms=1_000)
    world.referee.recover.back_us = world.now_us
    world.advance(for_ms=8_500)


def all_killed(world: PlatformWorld) -> None:
    closing(world=world, dark=False)


def all_powered_off(world: PlatformWorld) -> None:
    closing(world=world, dark=True)


def answers_lost(world: PlatformWorld) -> None:
    """Backends run what they are asked, and now and then the answer is lost."""
    for backend in world.backends.values():
        world.note(name=backend.name, for_us=7_000_000)
    world.advance(for_ms=500)
    world.primary().lose_share = 0.08
    world.primary(service="ledger1").lose_share = 0.03
    world.advance(for_ms=6_000)
    for backend in world.backends.values():
        backend.lose_share = 0.0
    world.advance(for_ms=2_000)


def backends_slow(world: PlatformWorld) -> None:
    """A primary and a copy take many times as long, and some reads fail."""
    world.advance(for_ms=500)
    world.primary().slow = 25
    replica = world.rng.choice(world.replicas(service="ledger1"))
    replica.slow, replica.fail_share = 60, 0.2
    world.advance(for_ms=6_000)
    for backend in world.backends.values():
        backend.slow, backend.fail_share = 1, 0.0
    back(world=world)
    world.advance(for_ms=1_500)


def connections_refused(world: PlatformWorld) -> None:
    """Two proxies can't open connections to a primary and to a copy, which are there for the others."""
    world.advance(for_ms=800)
    primary, replica = world.primary(), world.rng.choice(world.replicas(service="ledger1"))
    for proxy in world.rng.sample(world.proxies, 2):
        world.note(name=proxy, for_us=4_000_000)
        world.fabric.refusing |= {(proxy, primary.name), (proxy, replica.name)}
        world.fabric.reset(host=proxy)
    world.advance(for_ms=4_000)
    world.fabric.refusing.clear()
    world.advance(for_ms=2_500)
    back(world=world)


def connections_reset(world: PlatformWorld) -> None:
    world.advance(for_ms=800)
    for _ in range(8):
        world.reset(name=world.rng.choice([*world.proxies, *world.controllers, *world.backends]))
        world.advance(for_ms=world.rng.randrange(200, 1_200))
    back(world=world)
    world.advance(for_ms=800)
