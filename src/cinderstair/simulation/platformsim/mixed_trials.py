"""A trial with several random faults at once."""

from collections.abc import Callable

from .failover_trials import RECOVERY_MS
from .platform_world import PlatformWorld

InjectedFault = Callable[[PlatformWorld], Callable[[], None] | None]


def _crash(world: PlatformWorld) -> None:
    """A backend crashes or loses power, and restarts."""
    backend = world.rng.choice([each for each in world.backends.values() if each.up] or [world.primary()])
    if backend.up and not backend.draining:
        world.crash(
            backend=backend, power_loss=world.rng.random() < 0.4, restart_us=world.rng.randrange(500_000, 5_000_000)
        )


def _release(world: PlatformWorld) -> None:
    """A backend is drained and replaced."""
    ready = [each for each in world.backends.values() if each.up and not each.draining]
    if ready:
        world.release(backend=world.rng.choice(ready))


def _kill(world: PlatformWorld) -> None:
    """A proxy or controller is killed, and restarts."""
    alive = [name for name, process in world.processes.items() if not process.dead]
    if alive:
        world.kill(name=world.rng.choice(alive), restart_us=world.rng.randrange(300_000, 2_500_000))


def _freeze(world: PlatformWorld) -> Callable[[], None]:
    """A proxy or controller is frozen until undone."""
    name = world.rng.choice(sorted(world.processes))
    process = world.processes[name]
    world.freeze(name=name)

    def undo() -> None:
        if world.processes[name] is process and not process.dead:
            world.thaw(name=name)
        else:
            world.end_disruption(name=name)

    return undo


def _interrupt_replication(world: PlatformWorld) -> Callable[[], None]:
    """A backend applies its log with a lag, and mostly receives none."""
    backend = world.rng.choice(list(world.backends.values()))
    backend.replication_interrupted, backend.lag_us = world.rng.random() < 0.6, world.rng.randrange(2_000_000)

    def undo() -> None:
        backend.replication_interrupted, backend.lag_us = False, 0

    return undo


def _partition(world: PlatformWorld) -> Callable[[], None]:
    """A machine is partitioned from half of the others, in one direction or both."""
    machines = [*world.proxies, *world.controllers, *(name for name, each in world.backends.items() if each.up)]
    ones = world.rng.sample(machines, 1)
    others = world.rng.sample([name for name in machines if name not in ones], len(machines) // 2)
    world.partition(ones=ones, others=others, both=world.rng.random() < 0.7)
    return world.heal


def _reset(world: PlatformWorld) -> None:
    """All connections of a machine are reset."""
    world.reset(name=world.rng.choice([*world.processes, *world.backends]))


def _lose_answers(world: PlatformWorld) -> Callable[[], None]:
    """A backend loses a tenth of its answers."""
    backend = world.rng.choice(list(world.backends.values()))
    backend.lost_answer_share = 0.1
    world.begin_disruption(name=backend.name, for_us=None)

    def undo() -> None:
        backend.lost_answer_share = 0.0
        world.end_disruption(name=backend.name)

    return undo


def _disturb_platform(world: PlatformWorld) -> Callable[[], None]:
    """The platform's promotion call is slow or fails."""
    world.platform.mode = world.rng.choice(("slow", "down"))

    def undo() -> None:
        world.platform.mode = "up"

    return undo


def _slow_backend(world: PlatformWorld) -> Callable[[], None]:
    backend = world.rng.choice(list(world.backends.values()))
    backend.slowdown = world.rng.choice((10, 40))

    def undo() -> None:
        backend.slowdown = 1

    return undo


INJECTED_FAULTS: tuple[InjectedFault, ...] = (
    _crash,
    _crash,
    _release,
    _kill,
    _freeze,
    _interrupt_replication,
    _partition,
    _reset,
    _lose_answers,
    _disturb_platform,
    _slow_backend,
)


def mixed_faults(world: PlatformWorld) -> None:
    """In six rounds up to three random faults each, some undone later, with configurations in between."""
    undos: list[Callable[[], None]] = []
    for number in range(6):
        for injected_fault in world.rng.sample(INJECTED_FAULTS, world.rng.choice((1, 2, 2, 3))):
            undo = injected_fault(world)
            if undo is not None:
                undos.append(undo)
        if world.rng.random() < 0.4:
            world.put(body=world.configuration(version=10 + 5 * number, give_up_ms=world.rng.randrange(700, 1_100)))
        world.advance(for_ms=world.rng.choice((100, 400, 900, 1_500, 2_500)))
        while undos and world.rng.random() < 0.6:
            undos.pop(world.rng.randrange(len(undos)))()
    for undo in undos:
        undo()
    world.heal()
    world.advance(for_ms=5_000)
    world.await_that(test=world.serves, within_ms=2 * RECOVERY_MS, description="every proxy serves")
    world.advance(for_ms=1_500)
