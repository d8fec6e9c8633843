"""Trials of maintenance windows: data centres that are drained, that can't be, and cancelled windows."""

from collections import Counter
from collections.abc import Callable

from .trial import Trial
from .world import WALL_START_US, World

STORM_SPAN_US, STORM_MAX_PER_HTTP_PROXY = 250_000, 4


def window(*, world: World, in_us: int, for_us: int, empties: str = "hall = old") -> dict[str, str]:
    """Returns a window of a configuration, which starts `in_us` from now and lasts `for_us`."""
    return {
        "name": "move",
        "starts": world.calendar(in_us=in_us),
        "ends": world.calendar(in_us=in_us + for_us),
        "empties": empties,
    }


def requested_since(*, trial: Trial, name: str, since_us: int) -> bool:
    """Whether a backend got a request after this time."""
    return any(arrival.at_us > since_us for arrival in trial.world.network.arrivals[name])


def not_drained(*, trial: Trial, old: tuple[str, ...]) -> list[str]:
    """Returns which of these machines still have sessions or get requests."""
    world = trial.world
    wrong = []
    for name in old:
        if name in world.http_proxy_names and world.up(name=name) and world.http_proxy(name=name).sessions.open:
            wrong.append(f"{name} still has sessions")
        if name in world.backend_names() and requested_since(
            trial=trial, name=name, since_us=world.now_us - 2_000_000
        ):
            wrong.append(f"{name} still gets requests")
    return wrong


def wall_clock(*, world: World, skew_us: int) -> Callable[[], int]:
    """Returns a wall clock with this skew."""
    return lambda: WALL_START_US + world.now_us + skew_us


def skew_wall_clocks(*, world: World) -> None:
    """Sets the wall clocks of the HTTP proxies up to 4 s apart."""
    for name in world.http_proxy_names:
        world.contexts[name].wall = wall_clock(world=world, skew_us=world.rng.randrange(-2_000_000, 2_000_000))


def data_centre_moved(*, trial: Trial) -> None:
    """A window drains a data centre with the primary and an HTTP proxy, which are used again after it."""
    world = trial.world
    skew_wall_clocks(world=world)
    old = (trial.primary, world.rng.choice(world.http_proxy_names))
    trial.submit(version=2, old=old, windows=[window(world=world, in_us=4_000_000, for_us=22_000_000)])
    trial.fault()
    lost = sum(caller.sessions_lost for caller in world.callers)
    trial.go(for_us=20_000_000)
    trial.verdict.wrong += not_drained(trial=trial, old=old)
    if trial.primary in old:
        trial.verdict.wrong.append(f"the primary {trial.primary} is still in the old data centre")
    drained_us = world.now_us
    trial.go(for_us=14_000_000)
    check_connection_storm(trial=trial, names=old, since_us=drained_us)
    trial.verdict.wrong += [
        f"{name} is not used again after the window" for name in old if not used_again(trial=trial, name=name)
    ]
    if sum(caller.sessions_lost for caller in world.callers) != lost:
        trial.verdict.wrong.append("sessions were lost in a maintenance window")


def check_connection_storm(*, trial: Trial, names: tuple[str, ...], since_us: int) -> None:
    """Checks that few connections at once are opened to machines that are used again after a window."""
    world = trial.world
    dials: Counter[int] = Counter()
    for at_us, source, target in world.network.dials:
        if target in names and source in world.http_proxy_names and at_us > since_us:
            dials[at_us // STORM_SPAN_US] += 1
    trial.verdict.chances["connections reopened after a window"] += dials.total()
    most = max(dials.values(), default=0)
    trial.verdict.count(name="connections opened at once after a window", value=most)
    # Requests open a few per HTTP proxy at once; a storm would be as many as the connection limit allows
    if most > STORM_MAX_PER_HTTP_PROXY * len(world.http_proxy_names):
        trial.verdict.wrong.append(f"connection storm after the window: {most} connections within {STORM_SPAN_US} us")


def used_again(*, trial: Trial, name: str) -> bool:
    """Whether an HTTP proxy is ready, or a backend got requests in the last 3 s."""
    world = trial.world
    if name in world.http_proxy_names:
        return world.http_proxy(name=name).ready.unready() is None
    return requested_since(trial=trial, name=name, since_us=world.now_us - 3_000_000)


def data_centre_moved_amid_crashes(*, trial: Trial) -> None:
    """A window over random backends and HTTP proxies, with a machine killed meanwhile."""
    world, rng = trial.world, trial.world.rng
    skew_wall_clocks(world=world)
    backends = rng.sample(world.backend_names(), rng.choice([1, 2]))
    old = (*backends, *rng.sample(world.http_proxy_names, rng.choice([1, 2])))
    trial.submit(version=2, old=old, windows=[window(world=world, in_us=2_000_000, for_us=18_000_000)])
    trial.go(for_us=rng.randrange(1_500_000, 8_000_000))
    name = rng.choice([*world.backend_names(), *world.http_proxy_names, *world.register_replica_names])
    trial.fault()
    world.kill(name=name)
    trial.go(for_us=rng.randrange(2_000_000, 9_000_000))
    world.start(name=name)
    trial.go(for_us=18_000_000)


def window_over_everything(*, trial: Trial) -> None:
    """A window selects every machine: draining is held back and reported, and service continues."""
    world = trial.world
    old = (*world.backend_names(), *world.http_proxy_names)
    trial.submit(version=2, old=old, windows=[window(world=world, in_us=1_000_000, for_us=12_000_000)])
    trial.fault()
    trial.go(for_us=8_000_000)
    held = [world.http_proxy(name=name).window_held for name in world.http_proxy_names]
    texts = [
        text for name in world.http_proxy_names for text in world.http_proxy(name=name).status.hold_reasons().values()
    ]
    if not all(held) or not any("holds back" in text for text in texts):
        trial.verdict.wrong.append(f"held back drain not reported: held {held}, status {texts}")
    trial.go(for_us=8_000_000)


def move_cancelled(*, trial: Trial) -> None:
    """The next configuration cancels a window while it drains its machines."""
    world = trial.world
    old = (trial.primary, world.http_proxy_names[0])
    trial.submit(version=2, old=old, windows=[window(world=world, in_us=1_000_000, for_us=60_000_000)])
    trial.fault()
    trial.go(for_us=world.rng.randrange(1_000_000, 6_000_000))
    trial.submit(version=3, old=old)
    trial.go(for_us=13_000_000)
    for name in world.http_proxy_names:
        if world.http_proxy(name=name).ready.unready() is not None:
            trial.verdict.wrong.append(f"{name} is not ready after the window was cancelled")
    if not any(world.http_proxy(name=n).view.primaries["db0"].state == "settled" for n in world.http_proxy_names):
        trial.verdict.wrong.append("the primary assignment is not settled after the window was cancelled")
