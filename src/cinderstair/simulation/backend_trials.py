"""Trials of backends that are slow, lag, drain, fall silent, are replaced, or whose responses are lost."""

from .trial import Trial
from .world import World


def answers_lost(*, trial: Trial) -> None:
    """A tenth of the primary's responses are lost."""
    trial.world.network.lose_answers[trial.primary] = 0.1
    trial.go(for_us=8_000_000)
    trial.world.network.lose_answers.clear()
    trial.go(for_us=3_000_000)


def answers_corrupted(*, trial: Trial) -> None:
    """Some responses of all backends to statements and position requests are malformed."""
    world = trial.world
    for name in world.backend_names():
        world.network.corrupt_answers[name] = 0.04
    trial.go(for_us=8_000_000)
    world.network.corrupt_answers.clear()
    trial.fault()
    trial.go(for_us=14_000_000)


def backend_drains(*, trial: Trial) -> None:
    """A primary drains and returns; then a replica does."""
    world = trial.world
    for name in (trial.primary, trial.in_sync[-1]):
        trial.fault()
        world.run(work=post(world=world, name=name, path="/empty"))
        trial.go(for_us=11_000_000)
        world.run(work=post(world=world, name=name, path="/refill"))
        trial.go(for_us=8_000_000)


async def post(*, world: World, name: str, path: str) -> None:
    """Sends a control request to a stand-in backend."""
    await world._ask(name=name, method="POST", path=path, body=b"{}")


def heartbeats_lost(*, trial: Trial) -> None:
    """The HTTP proxy that received a backend's draining heartbeat is killed, possibly before it passed it on."""
    world, name = trial.world, trial.in_sync[0]
    trial.fault()
    world.run(work=post(world=world, name=name, path="/empty"))
    trial.go(for_us=world.rng.randrange(100_000, 1_500_000))
    receivers = [n for n in world.http_proxy_names if not world.http_proxy(name=n).heartbeat_table.healthy(name=name)]
    if receivers:
        world.kill(name=receivers[0])
    trial.go(for_us=10_000_000)
    if receivers:
        world.start(name=receivers[0])
    trial.go(for_us=6_000_000)


def late_heartbeats(*, trial: Trial) -> None:
    """HTTP proxies freeze with a backend's heartbeats in flight, the backend falls silent, and they thaw.

    The old heartbeats must not count as new.
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
    """One replica, then both, receive the log at once but apply it 3.5 s late."""
    world = trial.world
    replicas = list(trial.in_sync)
    for name in replicas:
        world.backend(name=name).apply_us = 3_500_000
        trial.go(for_us=6_000_000)
    for name in replicas:
        world.backend(name=name).apply_us = 5_000
    trial.go(for_us=5_000_000)


def slow_backend(*, trial: Trial) -> None:
    """A replica, then the primary, becomes a hundred times slower."""
    world = trial.world
    for name in (trial.in_sync[0], trial.primary):
        world.backend(name=name).service_us = 200_000
        trial.go(for_us=6_000_000)
        world.backend(name=name).service_us = 2_000
    trial.fault()
    trial.go(for_us=5_000_000)


def backends_replaced(*, trial: Trial) -> None:
    """All backends of a database, the primary included, are replaced one by one by empty ones."""
    world = trial.world
    trial.fault()
    for version, (old, new) in enumerate(zip("abc", "def", strict=True), start=2):
        removed, added = f"db0-{old}", f"db0-{new}"
        world.configured["db0"] = [added if name == removed else name for name in world.configured["db0"]]
        trial.submit(version=version)
        trial.go(for_us=world.rng.randrange(100_000, 2_000_000))
        world.kill(name=removed)

        def in_sync(added: str = added) -> bool:
            assignments = [world.http_proxy(name=name).view.primaries["db0"] for name in world.http_proxies_up()]
            return all(
                added in (assignment.primary, *assignment.in_sync) and assignment.state == "settled"
                for assignment in assignments
            )

        world.await_that(test=in_sync, within_us=25_000_000, what=f"{added} is in sync")
        trial.go(for_us=2_000_000)
