"""Trials in which machines of the system, or what lies between them, are troubled."""

from .lead_trials import BACK_MS
from .platform_world import PlatformWorld


def back(*, world: PlatformWorld) -> None:
    world.await_that(test=world.serves, within_ms=BACK_MS, what="every booth serves")


def guildhall_killed(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.luck.sample(world.guildhalls, len(world.guildhalls)):
        world.kill(name=name, again_us=world.luck.choice((300_000, 2_000_000)))
        world.advance(for_ms=2_800)
    back(world=world)
    world.advance(for_ms=1_000)


def backends_unheard(world: PlatformWorld) -> None:
    """All guildhalls begin anew while no beat reaches them; booths reach backends as before."""
    world.advance(for_ms=800)
    world.cut(ones=list(world.backends), others=world.guildhalls)
    for name in world.guildhalls:
        world.kill(name=name, again_us=300_000)
    world.advance(for_ms=4_000)
    world.heal()
    back(world=world)
    world.advance(for_ms=2_000)


def guildhall_wiped(world: PlatformWorld) -> None:
    """A machine with a disk loses power and its disk, and starts again at its old address."""
    world.advance(for_ms=800)
    name = world.luck.choice(world.guildhalls)
    world.power_off(name=name, wipe=True)
    world.advance(for_ms=3_000)
    world.power_on(name=name)
    world.advance(for_ms=4_000)
    other = next(each for each in world.guildhalls if each != name)
    world.power_off(name=other)
    world.advance(for_ms=1_500)
    world.power_on(name=other)
    back(world=world)
    world.advance(for_ms=1_500)


def newest_on_one(world: PlatformWorld) -> None:
    """All guildhalls lose power, and one its disk, which held the newest configuration beside one other's."""
    world.advance(for_ms=1_500)
    wiped, other, behind = world.luck.sample(world.guildhalls, 3)
    world.cut(ones=[behind], others=[wiped, other])
    task = world.put(body=world.configuration(version=9, extra=("late",)))
    world.await_that(test=task.done, within_ms=8_000, what="a configuration is acknowledged")
    for name in world.guildhalls:
        world.power_off(name=name, wipe=name == wiped)
    world.heal()
    world.advance(for_ms=1_600)
    for name in world.guildhalls:
        world.power_on(name=name)
    world.await_that(test=world.serves, within_ms=650, what="every booth serves")
    world.advance(for_ms=3_000)


def booths_killed(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.luck.sample(world.booths, 2):
        world.kill(name=name)
        world.advance(for_ms=2_500)
    back(world=world)
    world.advance(for_ms=1_500)


def booths_frozen(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.luck.sample(world.booths, 2):
        world.freeze(name=name)
        world.advance(for_ms=world.luck.randrange(300, 4_000))
        world.thaw(name=name)
        world.advance(for_ms=1_500)
    back(world=world)
    world.advance(for_ms=1_000)


def booth_alone(world: PlatformWorld) -> None:
    """A booth reaches clients and backends, but no guildhall, for far longer than what it knows may count."""
    world.advance(for_ms=1_000)
    world.cut(ones=[world.luck.choice(world.booths)], others=world.guildhalls)
    world.advance(for_ms=20_000)
    world.heal()
    back(world=world)
    world.advance(for_ms=2_000)


def booth_frozen_in_move(world: PlatformWorld) -> None:
    """A booth stands still while a lead moves, and goes on where it was."""
    world.advance(for_ms=1_000)
    name = world.luck.choice(world.booths)
    old = world.primary()
    world.crash(backend=old, again_us=500_000)
    if world.luck.random() < 0.5:
        world.advance(for_ms=world.luck.randrange(1_000))
    world.freeze(name=name)
    world.advance(for_ms=world.luck.randrange(1_500, 5_000))
    world.thaw(name=name)
    back(world=world)
    world.advance(for_ms=3_000)


def booths_stopped(world: PlatformWorld) -> None:
    """SIGTERM to one booth after another, with much under way at each."""
    for backend in world.backends.values():
        backend.slow = 30
    world.advance(for_ms=1_000)
    for name in world.luck.sample(world.booths, 2):
        world.stop(name=name)
        world.advance(for_ms=6_600)
    back(world=world)
    world.advance(for_ms=1_000)


def guildhalls_stopped(world: PlatformWorld) -> None:
    world.advance(for_ms=1_000)
    for name in world.guildhalls[:2]:
        world.stop(name=name)
        world.advance(for_ms=4_500)
    back(world=world)
    world.advance(for_ms=1_000)


def closing(*, world: PlatformWorld, dark: bool) -> None:
    """A configuration is acknowledged, and right after it everything ends at once."""
    world.advance(for_ms=2_500)
    task = world.put(body=world.configuration(version=9, extra=("late",)))
    world.await_that(test=task.done, within_ms=8_000, what="a configuration is acknowledged")
    machines = [*world.guildhalls, *world.booths]
    for name in machines:
        if dark:
            world.power_off(name=name)
        else:
            world.kill(name=name, again_us=world.luck.randrange(300_000, 900_000))
    if dark:
        world.advance(for_ms=world.luck.randrange(500, 3_000))
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
    copy = world.luck.choice(world.copies(service="ledger1"))
    copy.slow, copy.fail_share = 60, 0.2
    world.advance(for_ms=6_000)
    for backend in world.backends.values():
        backend.slow, backend.fail_share = 1, 0.0
    back(world=world)
    world.advance(for_ms=1_500)


def connections_refused(world: PlatformWorld) -> None:
    """Two booths can't open connections to a primary and to a copy, which are there for the others."""
    world.advance(for_ms=800)
    primary, copy = world.primary(), world.luck.choice(world.copies(service="ledger1"))
    for booth in world.luck.sample(world.booths, 2):
        world.note(name=booth, for_us=4_000_000)
        world.fabric.refusing |= {(booth, primary.name), (booth, copy.name)}
        world.fabric.reset(host=booth)
    world.advance(for_ms=4_000)
    world.fabric.refusing.clear()
    world.advance(for_ms=2_500)
    back(world=world)


def connections_reset(world: PlatformWorld) -> None:
    world.advance(for_ms=800)
    for _ in range(8):
        world.reset(name=world.luck.choice([*world.booths, *world.guildhalls, *world.backends]))
        world.advance(for_ms=world.luck.randrange(200, 1_200))
    back(world=world)
    world.advance(for_ms=800)
