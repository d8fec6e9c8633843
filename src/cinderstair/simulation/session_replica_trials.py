"""Trials of session replicas: the owner of a session, its replica holder, or both fail."""

from .http_proxy_trials import await_end, await_ready
from .trial import SETTLE_US, Trial
from .window_trials import window

FREEZE_US = 6_000_000


def switch_clients(*, trial: Trial, times: int) -> None:
    """Clients with long sessions switch HTTP proxies `times` times, once a second."""
    for _ in range(times):
        for caller in trial.world.callers:
            if not caller.once:
                caller.switch_http_proxy()
        trial.go(for_us=1_000_000)


def owners_killed(*, trial: Trial) -> None:
    """Each HTTP proxy in turn is killed while session state changes, and started again."""
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
    """Each HTTP proxy in turn is frozen while its clients go elsewhere, thaws, and gets requests from them again."""
    world = trial.world
    for name in world.http_proxy_names:
        world.freeze(name=name)
        trial.go(for_us=FREEZE_US)
        world.thaw(name=name)
        switch_clients(trial=trial, times=4)
    trial.fault()
    trial.go(for_us=SETTLE_US)


def owners_cut(*, trial: Trial) -> None:
    """Each HTTP proxy in turn is partitioned from the others only; its clients switch to them and return."""
    world = trial.world
    for name in world.http_proxy_names:
        world.cut(ones=[name], others=[other for other in world.http_proxy_names if other != name])
        trial.go(for_us=2_000_000)
        switch_clients(trial=trial, times=3)
        world.heal()
        switch_clients(trial=trial, times=3)
    trial.fault()
    trial.go(for_us=SETTLE_US)


def owner_and_replica_holder(*, trial: Trial) -> None:
    """An HTTP proxy is killed, and within 1.5 s another one is killed, frozen or isolated."""
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
    """While one HTTP proxy hands its sessions over, for a stop or a maintenance window, another is killed."""
    world, rng = trial.world, trial.world.rng
    stopped, killed = rng.sample(world.http_proxy_names, 2)
    trial.fault()
    if rng.random() < 0.5:
        world.stop(name=stopped)
        trial.go(for_us=rng.randrange(0, 400_000))
        world.kill(name=killed)
        await_end(world=world, name=stopped)
        world.start(name=stopped)
    else:
        trial.submit(version=2, old=(stopped,), windows=[window(world=world, in_us=300_000, for_us=12_000_000)])
        trial.go(for_us=rng.randrange(300_000, 2_500_000))
        world.kill(name=killed)
    trial.go(for_us=4_000_000)
    world.start(name=killed)
    trial.go(for_us=SETTLE_US)


def replicas_forgotten(*, trial: Trial) -> None:
    """After a kill, a freeze and a handover all clients close their sessions; no session or replica may be left."""
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
    held = sum(len(world.http_proxy(name=name).session_replicas.held) for name in world.http_proxies_up())
    trial.verdict.chances["session replicas held before the end"] += held
    for caller in world.callers:
        caller.close_when_stopped = caller.stopped = True
    trial.go(for_us=9_000_000)
    for name in world.http_proxies_up():
        http_proxy = world.http_proxy(name=name)
        if http_proxy.sessions.open or http_proxy.session_replicas.held:
            replicas = len(http_proxy.session_replicas.held)
            left = f"{len(http_proxy.sessions.open)} sessions and {replicas} session replicas"
            trial.verdict.wrong.append(f"{name} still holds {left}")
