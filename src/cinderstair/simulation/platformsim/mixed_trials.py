"""Several troubles at once, drawn by the seed."""

from collections.abc import Callable

from .failover_trials import BACK_MS
from .platform_world import PlatformWorld

InjectedFault = Callable[[PlatformWorld], Callable[[], None] | None]


def _crash(world: PlatformWorld) -> None:
    backend = world.rng.choice([each for each in world.backends.values() if each.up] or [world.primary()])
    if backend.up and not backend.emptying:
        world.crash(backend=backend, dark=world.rng.random() < 0.4, again_us=world.rng.randrange(500_000, 5_000_000))


def _release(world: PlatformWorld) -> None:
    ready = [each for each in world.backends.values() if each.up and not each.emptying]
    if ready:
        world.release(backend=world.rng.choice(ready))


def _kill(world: PlatformWorld) -> None:
    alive = [name for name, process in world.processes.items() if not process.dead]
    if alive:
        world.kill(name=world.rng.choice(alive), again_us=world.rng.randrange(300_000, 2_500_000))


def _freeze(world: PlatformWorld) -> Callable[[], None]:
    name = world.rng.choice(sorted(world.processes))
    process = world.processes[name]
    world.freeze(name=name)

    def over() -> None:
        if world.processes[name] is process and not process.dead:
            world.thaw(name=name)
        else:
            world.past(name=name)

    return over


def _deafen(world: PlatformWorld) -> Callable[[], None]:
    backend = world.rng.choice(list(world.backends.values()))
    backend.deaf, backend.lag_us = world.rng.random() < 0.6, world.rng.randrange(2_000_000)

    def over() -> None:
        backend.deaf, backend.lag_us = False, 0

    return over


def _cut(world: PlatformWorld) -> Callable[[], None]:
    places = [*world.proxies, *world.controllers, *(name for name, each in world.backends.items() if each.up)]
    ones = world.rng.sample(places, 1)
    others = world.rng.sample([name for name in places if name not in ones], len(places) // 2)
    world.cut(ones=ones, others=others, both=world.rng.random() < 0.7)
    return world.heal


def _reset(world: PlatformWorld) -> None:
    world.reset(name=world.rng.choice([*world.processes, *world.backends]))


def _lose(world: PlatformWorld) -> Callable[[], None]:
    backend = world.rng.choice(list(world.backends.values()))
    backend.lose_share = 0.1
    world.note(name=backend.name, for_us=None)

    def over() -> None:
        backend.lose_share = 0.0
        world.past(name=backend.name)

    return over


def _platform(world: PlatformWorld) -> Callable[[], None]:
    world.platform.mode = world.rng.choice(("slow", "down"))

    def over() -> None:
        world.platform.mode = "up"

    return over


def _slow(world: PlatformWorld) -> Callable[[], None]:
    backend = world.rng.choice(list(world.backends.values()))
    backend.slow = world.rng.choice((10, 40))

    def over() -> None:
        backend.slow = 1

    return over


INJECTED_FAULTS: tuple[InjectedFault, ...] = (
    _crash,
    _crash,
    _release,
    _kill,
    _freeze,
    _deafen,
    _cut,
    _reset,
    _lose,
    _platform,
    _slow,
)


def mixed(world: PlatformWorld) -> None:
    """Up to three troubles at a time, and configurations among them; in the end everything is well again."""
    overs: list[Callable[[], None]] = []
    for number in range(6):
        for injected_fault in world.rng.sample(INJECTED_FAULTS, world.rng.choice((1, 2, 2, 3))):
            over = injected_fault(world)
            if over is not None:
                overs.append(over)
        if world.rng.random() < 0.4:
            world.put(body=world.configuration(version=10 + 5 * number, give_up_ms=world.rng.randrange(700, 1_100)))
        world.advance(for_ms=world.rng.choice((100, 400, 900, 1_500, 2_500)))
        while overs and world.rng.random() < 0.6:
            overs.pop(world.rng.randrange(len(overs)))()
    for over in overs:
        over()
    world.heal()
    world.advance(for_ms=5_000)
    world.await_that(test=world.serves, within_ms=2 * BACK_MS, what="everything is well again")
    world.advance(for_ms=1_500)
