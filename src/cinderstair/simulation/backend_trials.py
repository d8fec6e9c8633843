"""Backends: slow, lagging, emptying, silent, replaced, or with answers that are lost."""

from .trial import Trial
from .world import World


def answers_lost(*, trial: Trial) -> None:
    """The primary runs jobs whose answers never arrive."""
    trial.world.network.lose_answers[trial.primary] = 0.1
    trial.go(for_us=8_000_000)
    trial.world.network.lose_answers.clear()
    trial.go(for_us=3_000_000)


def answers_garbled(*, trial: Trial) -> None:
    """Backends run jobs, and some of their answers, and of their words on their positions, can't be read."""
    world = trial.world
    for name in world.backend_names():
        world.network.garble_answers[name] = 0.04
    trial.go(for_us=8_000_000)
    world.network.garble_answers.clear()
    trial.fault()
    trial.go(for_us=14_000_000)


def backend_empties(*, trial: Trial) -> None:
    """A primary says that it is emptying, and later is there again; then a replica does."""
    world = trial.world
    for name in (trial.primary, trial.in_sync[-1]):
        trial.fault()
        world.run(work=said(world=world, name=name, path="/empty"))
        trial.go(for_us=11_000_000)
        world.run(work=said(world=world, name=name, path="/refill"))
        trial.go(for_us=8_000_000)


async def said(*, world: World, name: str, path: str) -> None:
    await world._ask(name=name, method="POST", path=path, body=b"{}")


def heartbeats_lost(*, trial: Trial) -> None:
    """The HTTP proxy that heard a backend's word of emptying dies before it has told anyone."""
    world, name = trial.world, trial.in_sync[0]
    trial.fault()
    world.run(work=said(world=world, name=name, path="/empty"))
    trial.go(for_us=world.rng.randrange(100_000, 1_500_000))
    heard = [n for n in world.http_proxy_names if not world.http_proxy(name=n).heartbeat_table.healthy(name=name)]
    if heard:
        world.kill(name=heard[0])
    trial.go(for_us=10_000_000)
    if heard:
        world.start(name=heard[0])
    trial.go(for_us=6_000_000)


def late_heartbeats(*, trial: Trial) -> None:
    """An HTTP proxy freezes with a backend's last beats on their way to it; the backend goes quiet.

    The HTTP proxy thaws.
    """
    world, name = trial.world, trial.in_sync[0]
    frozen = [n for n in world.http_proxy_names if n != trial.holder]
    for each in frozen:
        world.freeze(name=each)
    trial.go(for_us=2_500_000)
    world.backend(name=name).heartbeats_enabled = False
    trial.go(for_us=5_500_000)
    for each in frozen:
        world.thaw(name=each)
    trial.fault()
    trial.go(for_us=6_000_000)


def lagging_replica(*, trial: Trial) -> None:
    """One replica receives at once and applies late; then the other does too."""
    world = trial.world
    replicas = list(trial.in_sync)
    for name in replicas:
        world.backend(name=name).apply_us = 3_500_000
        trial.go(for_us=6_000_000)
    for name in replicas:
        world.backend(name=name).apply_us = 5_000
    trial.go(for_us=5_000_000)


def slow_backend(*, trial: Trial) -> None:
    """A replica, then the primary, turns a hundred times slower."""
    world = trial.world
    for name in (trial.in_sync[0], trial.primary):
        world.backend(name=name).service_us = 200_000
        trial.go(for_us=6_000_000)
        world.backend(name=name).service_us = 2_000
    trial.fault()
    trial.go(for_us=5_000_000)


def backends_replaced(*, trial: Trial) -> None:
    """All backends of a database are replaced one by one by blank ones, the primary included."""
    world = trial.world
    trial.fault()
    for version, (old, new) in enumerate(zip("abc", "def", strict=True), start=2):
        gone, comes = f"db0-{old}", f"db0-{new}"
        world.listed["db0"] = [comes if name == gone else name for name in world.listed["db0"]]
        trial.submit(version=version)
        trial.go(for_us=world.rng.randrange(100_000, 2_000_000))
        world.kill(name=gone)

        def in_place(comes: str = comes) -> bool:
            assignments = [world.http_proxy(name=name).view.primaries["db0"] for name in world.ups()]
            return all(
                comes in (assignment.primary, *assignment.in_sync) and assignment.state == "settled"
                for assignment in assignments
            )

        world.await_that(test=in_place, within_us=25_000_000, what=f"{comes} is in sync")
        trial.go(for_us=2_000_000)
