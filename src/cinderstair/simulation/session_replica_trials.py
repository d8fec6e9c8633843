"""Sessions that outlive their HTTP proxy: kills, freezes and cuts of the HTTP proxy, of the second, or of both."""

from .http_proxy_trials import await_end, await_ready
from .trial import SETTLE_US, Trial
from .window_trials import window

AWAY_US = 6_000_000


def moved(*, trial: Trial, times: int) -> None:
    """Clients go from HTTP proxy to HTTP proxy, those back among them that had been away."""
    for _ in range(times):
        for caller in trial.world.callers:
            if not caller.once:
                caller.move_on()
        trial.go(for_us=1_000_000)


def owners_killed(*, trial: Trial) -> None:
    """Each HTTP proxy in turn is killed among changes of what its sessions keep, and started again."""
    world = trial.world
    for name in world.http_proxy_names:
        trial.fault()
        world.kill(name=name)
        trial.go(for_us=world.rng.randrange(3_000_000, 7_000_000))
        world.start(name=name)
        await_ready(world=world, name=name)
        trial.go(for_us=4_000_000)
    trial.go(for_us=SETTLE_US)


def owners_frozen(*, trial: Trial) -> None:
    """Each HTTP proxy in turn stands still while its clients go on elsewhere, thaws, and is asked again by them."""
    world = trial.world
    for name in world.http_proxy_names:
        world.freeze(name=name)
        trial.go(for_us=AWAY_US)
        world.thaw(name=name)
        moved(trial=trial, times=4)
    trial.fault()
    trial.go(for_us=SETTLE_US)


def owners_cut(*, trial: Trial) -> None:
    """Each HTTP proxy in turn is cut off from the other HTTP proxies alone; its clients go to them, and come back."""
    world = trial.world
    for name in world.http_proxy_names:
        world.cut(ones=[name], others=[other for other in world.http_proxy_names if other != name])
        trial.go(for_us=2_000_000)
        moved(trial=trial, times=3)
        world.heal()
        moved(trial=trial, times=3)
    trial.fault()
    trial.go(for_us=SETTLE_US)


def owner_and_second(*, trial: Trial) -> None:
    """An HTTP proxy is killed, and the one that holds its copies is struck at some moment close to that."""
    world, rng = trial.world, trial.world.rng
    owner, second = rng.sample(world.http_proxy_names, 2)
    trial.fault()
    world.kill(name=owner)
    trial.go(for_us=rng.randrange(0, 1_500_000))
    how = rng.choice(["kill", "freeze", "cut"])
    if how == "kill":
        world.kill(name=second)
    elif how == "freeze":
        world.freeze(name=second)
    else:
        world.isolate(name=second)
    trial.go(for_us=5_000_000)
    if how == "kill":
        world.start(name=second)
    elif how == "freeze":
        world.thaw(name=second)
    world.heal()
    world.start(name=owner)
    trial.go(for_us=SETTLE_US)


def owners_stopped_and_killed(*, trial: Trial) -> None:
    """While one HTTP proxy hands its sessions on in order, or for a booked window, another is killed."""
    world, rng = trial.world, trial.world.rng
    stops, dies = rng.sample(world.http_proxy_names, 2)
    trial.fault()
    if rng.random() < 0.5:
        world.stop(name=stops)
        trial.go(for_us=rng.randrange(0, 400_000))
        world.kill(name=dies)
        await_end(world=world, name=stops)
        world.start(name=stops)
    else:
        trial.submit(version=2, old=(stops,), windows=[window(world=world, in_us=300_000, for_us=12_000_000)])
        trial.go(for_us=rng.randrange(300_000, 2_500_000))
        world.kill(name=dies)
    trial.go(for_us=4_000_000)
    world.start(name=dies)
    trial.go(for_us=SETTLE_US)


def replicas_forgotten(*, trial: Trial) -> None:
    """After a kill, a freeze and a hand-over all clients close their sessions; nothing of them is left anywhere."""
    world, rng = trial.world, trial.world.rng
    killed, frozen, stopped = rng.sample(world.http_proxy_names, 3)
    world.kill(name=killed)
    trial.go(for_us=5_000_000)
    world.start(name=killed)
    await_ready(world=world, name=killed)
    world.freeze(name=frozen)
    trial.go(for_us=2_000_000)
    world.thaw(name=frozen)
    world.stop(name=stopped)
    await_end(world=world, name=stopped)
    world.start(name=stopped)
    trial.go(for_us=5_000_000)
    held = sum(len(world.http_proxy(name=name).session_replicas.held) for name in world.ups())
    trial.verdict.chances["copies held before the end"] += held
    for caller in world.callers:
        caller.closes = caller.stopped = True
    trial.go(for_us=9_000_000)
    for name in world.ups():
        http_proxy = world.http_proxy(name=name)
        if http_proxy.sessions.open or http_proxy.session_replicas.held:
            left = f"{len(http_proxy.sessions.open)} sessions and {len(http_proxy.session_replicas.held)} copies"
            trial.verdict.wrong.append(f"{name} still holds {left}")
