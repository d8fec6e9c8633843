"""Booked windows: halls that move, that can not, and that are called off."""

from collections import Counter
from collections.abc import Callable

from .trial import Trial
from .world import WALL_START_US, World

STORM_SPAN_US, STORM_MOST = 250_000, 4


def window(*, world: World, in_us: int, for_us: int, empties: str = "hall = old") -> dict[str, str]:
    return {
        "name": "move",
        "starts": world.calendar(in_us=in_us),
        "ends": world.calendar(in_us=in_us + for_us),
        "empties": empties,
    }


def requested_since(*, trial: Trial, name: str, since_us: int) -> bool:
    return any(arrival.at_us > since_us for arrival in trial.world.network.arrivals[name])


def emptied(*, trial: Trial, old: tuple[str, ...]) -> list[str]:
    """What of an old hall isn't empty though it should be."""
    world = trial.world
    wrong = []
    for name in old:
        if name in world.http_proxy_names and world.up(name=name) and world.http_proxy(name=name).sessions.open:
            wrong.append(f"{name} still has sessions")
        if name in world.backend_names() and requested_since(
            trial=trial, name=name, since_us=world.now_us - 2_000_000
        ):
            wrong.append(f"{name} is still asked")
    return wrong


def calendar(*, world: World, skew_us: int) -> Callable[[], int]:
    return lambda: WALL_START_US + world.now_us + skew_us


def skew_calendars(*, world: World) -> None:
    """No two machines' calendars agree; some are seconds apart."""
    for name in world.http_proxy_names:
        world.contexts[name].wall = calendar(world=world, skew_us=world.rng.randrange(-2_000_000, 2_000_000))


def data_centre_moved(*, trial: Trial) -> None:
    """A hall with the primary and an HTTP proxy in it is emptied by a booked window, and filled again after."""
    world = trial.world
    skew_calendars(world=world)
    old = (trial.primary, world.rng.choice(world.http_proxy_names))
    trial.submit(version=2, old=old, windows=[window(world=world, in_us=4_000_000, for_us=22_000_000)])
    trial.fault()
    lost = sum(caller.sessions_lost for caller in world.callers)
    trial.go(for_us=20_000_000)
    trial.verdict.wrong += emptied(trial=trial, old=old)
    if trial.primary in old:
        trial.verdict.wrong.append("the primary is still in the old hall")
    empty_us = world.now_us
    trial.go(for_us=14_000_000)
    storm(trial=trial, names=old, since_us=empty_us)
    trial.verdict.wrong += [f"{name} is not used again" for name in old if not used_again(trial=trial, name=name)]
    if sum(caller.sessions_lost for caller in world.callers) != lost:
        trial.verdict.wrong.append("sessions were lost in a booked move")


def storm(*, trial: Trial, names: tuple[str, ...], since_us: int) -> None:
    """How many channels were opened at once to what a window has emptied, when it is used again."""
    world = trial.world
    dials: Counter[int] = Counter()
    for at_us, source, target in world.network.dials:
        if target in names and source in world.http_proxy_names and at_us > since_us:
            dials[at_us // STORM_SPAN_US] += 1
    trial.verdict.chances["channels opened again after a window"] += dials.total()
    most = max(dials.values(), default=0)
    trial.verdict.count(name="channels opened at once after a window", value=most)
    # why: a few an HTTP proxy come at once with the jobs that need them; a storm would be all that its cap allows
    if most > STORM_MOST * len(world.http_proxy_names):
        trial.verdict.wrong.append(f"a storm after the window: {most} channels within {STORM_SPAN_US} us")


def used_again(*, trial: Trial, name: str) -> bool:
    world = trial.world
    if name in world.http_proxy_names:
        return world.http_proxy(name=name).ready.unready() is None
    return requested_since(trial=trial, name=name, since_us=world.now_us - 3_000_000)


def data_centre_moved_amid_crashes(*, trial: Trial) -> None:
    """Any hall, with something crashing in the middle of its move; what can't be emptied is held back."""
    world, rng = trial.world, trial.world.rng
    skew_calendars(world=world)
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


def whole_data_centre_held_back(*, trial: Trial) -> None:
    """A window selects everything: it holds back, says so, and nothing stands still."""
    world = trial.world
    old = (*world.backend_names(), *world.http_proxy_names)
    trial.submit(version=2, old=old, windows=[window(world=world, in_us=1_000_000, for_us=12_000_000)])
    trial.fault()
    trial.go(for_us=8_000_000)
    held = [world.http_proxy(name=name).window_held for name in world.http_proxy_names]
    texts = [text for name in world.http_proxy_names for text in world.http_proxy(name=name).status.held().values()]
    if not all(held) or not any("holds back" in text for text in texts):
        trial.verdict.wrong.append(f"nobody says what holds back: {held} {texts}")
    trial.go(for_us=8_000_000)


def move_cancelled(*, trial: Trial) -> None:
    """A window is cancelled by the next configuration at some moment of its move."""
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
        trial.verdict.wrong.append("the lead is not settled after the window was cancelled")
