"""Trials of several failures at once or in sequence."""

from .trial import SETTLE_US, Trial


def rolling_restart(*, trial: Trial) -> None:
    """Every machine but the platform is killed and started, one after another in random order."""
    world = trial.world
    names = [n for n in world.addresses if n != "platform"]
    world.rng.shuffle(names)
    trial.fault()
    for name in names:
        world.kill(name=name)
        trial.go(for_us=1_000_000)
        world.start(name=name)
        trial.go(for_us=3_500_000)
    trial.go(for_us=8_000_000)


def everything_killed(*, trial: Trial) -> None:
    """Every machine but the platform is killed at once and started again."""
    world = trial.world
    for version in (2, 3):
        trial.submit(version=version)
    names = [name for name in world.addresses if name != "platform"]
    for name in names:
        world.kill(name=name)
    world.advance(for_us=2_000_000)
    trial.fault()
    for name in names:
        world.start(name=name)
    trial.go(for_us=SETTLE_US)


def intermittent_freezes(*, trial: Trial) -> None:
    """An HTTP proxy, the primary and a register replica are frozen in turn, for 300 ms each."""
    world = trial.world
    names = (world.rng.choice(world.http_proxy_names), trial.primary, world.rng.choice(world.register_replica_names))
    for step in range(24):
        name = names[step % 3]
        world.freeze(name=name)
        trial.go(for_us=300_000)
        world.thaw(name=name)
        trial.go(for_us=100_000)
    trial.fault()
    trial.go(for_us=6_000_000)


def chaos(*, trial: Trial) -> None:
    """Four random failures in sequence, one at a time: kill, freeze, full or one-way partition."""
    world, rng = trial.world, trial.world.rng
    for _ in range(4):
        name = rng.choice([*world.backend_names(), *world.http_proxy_names, *world.register_replica_names])
        how = rng.choice(["kill", "freeze", "isolate", "mute"])
        if how == "kill":
            world.kill(name=name)
        elif how == "freeze":
            world.freeze(name=name)
        elif how == "isolate":
            world.isolate(name=name)
        else:
            others = [other for other in world.addresses if other != name]
            world.cut(ones=[name], others=others, both=rng.random() < 0.5)
        trial.go(for_us=rng.randrange(500_000, 9_000_000))
        if how == "kill":
            world.start(name=name)
        elif how == "freeze":
            world.thaw(name=name)
        world.heal()
        trial.go(for_us=rng.randrange(1_000_000, 9_000_000))
    trial.fault()
    trial.go(for_us=SETTLE_US)
