"""Trials in which proxies, controllers, or the connections between machines fail."""

from .failover_trials import RECOVERY_MS
from .platform_world import PlatformWorld


def await_serving(*, world: PlatformWorld) -> None:
    """Waits until every proxy is ready and knows all primaries."""
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")


def controller_killed(world: PlatformWorld) -> None:
    """Controllers are killed one after the other, and restart."""
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.controllers, len(world.controllers)):
        world.kill(name=name, restart_us=world.rng.choice((300_000, 2_000_000)))
        world.advance(for_ms=2_800)
    await_serving(world=world)
    world.advance(for_ms=1_000)


def heartbeats_lost(world: PlatformWorld) -> None:
    """All controllers restart while no heartbeat reaches them; proxies reach backends as before."""
    world.advance(for_ms=800)
    world.partition(ones=list(world.backends), others=world.controllers)
    for name in world.controllers:
        world.kill(name=name, restart_us=300_000)
    world.advance(for_ms=4_000)
    world.heal()
    await_serving(world=world)
    world.advance(for_ms=2_000)


def controller_wiped(world: PlatformWorld) -> None:
    """A controller loses power and its disk, restarts at its address, and then another one loses power."""
    world.advance(for_ms=800)
    name = world.rng.choice(world.controllers)
    world.power_off(name=name, wipe=True)
    world.advance(for_ms=3_000)
    world.power_on(name=name)
    world.advance(for_ms=4_000)
    other = next(each for each in world.controllers if each != name)
    world.power_off(name=other)
    world.advance(for_ms=1_500)
    world.power_on(name=other)
    await_serving(world=world)
    world.advance(for_ms=1_500)


def newest_configuration_disk_lost(world: PlatformWorld) -> None:
    """All controllers lose power, and one of the two that hold the newest configuration loses its disk."""
    world.advance(for_ms=1_500)
    wiped, other, behind = world.rng.sample(world.controllers, 3)
    world.partition(ones=[behind], others=[wiped, other])
    task = world.put(body=world.configuration(version=9, extra=("late",)))
    world.await_that(test=task.done, within_ms=8_000, description="a configuration is acknowledged")
    for name in world.controllers:
        world.power_off(name=name, wipe=name == wiped)
    world.heal()
    world.advance(for_ms=1_600)
    for name in world.controllers:
        world.power_on(name=name)
    world.await_that(test=world.serves, within_ms=650, description="every proxy serves")
    world.advance(for_ms=3_000)


def proxies_killed(world: PlatformWorld) -> None:
    """Two proxies are killed one after the other, and restart."""
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 2):
        world.kill(name=name)
        world.advance(for_ms=2_500)
    await_serving(world=world)
    world.advance(for_ms=1_500)


def proxies_frozen(world: PlatformWorld) -> None:
    """Two proxies are frozen one after the other."""
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 2):
        world.freeze(name=name)
        world.advance(for_ms=world.rng.randrange(300, 4_000))
        world.thaw(name=name)
        world.advance(for_ms=1_500)
    await_serving(world=world)
    world.advance(for_ms=1_000)


def proxy_partitioned_beyond_lease(world: PlatformWorld) -> None:
    """A proxy reaches clients and backends, but no controller, for much longer than its view is valid."""
    world.advance(for_ms=1_000)
    world.partition(ones=[world.rng.choice(world.proxies)], others=world.controllers)
    world.advance(for_ms=20_000)
    world.heal()
    await_serving(world=world)
    world.advance(for_ms=2_000)


def proxy_frozen_during_failover(world: PlatformWorld) -> None:
    """A proxy is frozen during a failover, and thaws with an outdated view."""
    world.advance(for_ms=1_000)
    name = world.rng.choice(world.proxies)
    old = world.primary()
    world.crash(backend=old, restart_us=500_000)
    if world.rng.random() < 0.5:
        world.advance(for_ms=world.rng.randrange(1_000))
    world.freeze(name=name)
    world.advance(for_ms=world.rng.randrange(1_500, 5_000))
    world.thaw(name=name)
    await_serving(world=world)
    world.advance(for_ms=3_000)


def proxies_stopped(world: PlatformWorld) -> None:
    """Proxies are stopped with SIGTERM one after the other, with many requests in flight."""
    for backend in world.backends.values():
        backend.slowdown = 30
    world.advance(for_ms=1_000)
    for name in world.rng.sample(world.proxies, 2):
        world.stop(name=name)
        world.advance(for_ms=6_600)
    await_serving(world=world)
    world.advance(for_ms=1_000)


def controllers_stopped(world: PlatformWorld) -> None:
    """Controllers are stopped with SIGTERM one after the other."""
    world.advance(for_ms=1_000)
    for name in world.controllers[:2]:
        world.stop(name=name)
        world.advance(for_ms=4_500)
    await_serving(world=world)
    world.advance(for_ms=1_000)


def crash_after_acknowledgement(*, world: PlatformWorld, power_loss: bool) -> None:
    """All machines fail right after a configuration was acknowledged, and restart."""
    world.advance(for_ms=2_500)
    task = world.put(body=world.configuration(version=9, extra=("late",)))
    world.await_that(test=task.done, within_ms=8_000, description="a configuration is acknowledged")
    machines = [*world.controllers, *world.proxies]
    for name in machines:
        if power_loss:
            world.power_off(name=name)
        else:
            world.kill(name=name, restart_us=world.rng.randrange(300_000, 900_000))
    if power_loss:
        world.advance(for_ms=world.rng.randrange(500, 3_000))
        for name in machines:
            world.power_on(name=name)
    else:
        world.advance(for_ms=1_000)
    world.oracle.recover.restarted_us = world.now_us
    world.advance(for_ms=8_500)


def all_killed(world: PlatformWorld) -> None:
    """All processes are killed at once."""
    crash_after_acknowledgement(world=world, power_loss=False)


def all_powered_off(world: PlatformWorld) -> None:
    """All machines lose power at once."""
    crash_after_acknowledgement(world=world, power_loss=True)


def answers_lost(world: PlatformWorld) -> None:
    """Backends execute statements, but some answers are lost."""
    for backend in world.backends.values():
        world.begin_disruption(name=backend.name, for_us=7_000_000)
    world.advance(for_ms=500)
    world.primary().lost_answer_share = 0.08
    world.primary(service="ledger1").lost_answer_share = 0.03
    world.advance(for_ms=6_000)
    for backend in world.backends.values():
        backend.lost_answer_share = 0.0
    world.advance(for_ms=2_000)


def backends_slow(world: PlatformWorld) -> None:
    """A primary and a replica of another service are slow, and some reads fail."""
    world.advance(for_ms=500)
    world.primary().slowdown = 25
    replica = world.rng.choice(world.replicas(service="ledger1"))
    replica.slowdown, replica.failed_read_share = 60, 0.2
    world.advance(for_ms=6_000)
    for backend in world.backends.values():
        backend.slowdown, backend.failed_read_share = 1, 0.0
    await_serving(world=world)
    world.advance(for_ms=1_500)


def connections_refused(world: PlatformWorld) -> None:
    """Two proxies' connections to a primary and a replica are refused, while the other proxies connect."""
    world.advance(for_ms=800)
    primary, replica = world.primary(), world.rng.choice(world.replicas(service="ledger1"))
    for proxy in world.rng.sample(world.proxies, 2):
        world.begin_disruption(name=proxy, for_us=4_000_000)
        world.fabric.refusing |= {(proxy, primary.name), (proxy, replica.name)}
        world.fabric.reset(host=proxy)
    world.advance(for_ms=4_000)
    world.fabric.refusing.clear()
    world.advance(for_ms=2_500)
    await_serving(world=world)


def connections_reset(world: PlatformWorld) -> None:
    """All connections of random machines are reset."""
    world.advance(for_ms=800)
    for _ in range(8):
        world.reset(name=world.rng.choice([*world.proxies, *world.controllers, *world.backends]))
        world.advance(for_ms=world.rng.randrange(200, 1_200))
    await_serving(world=world)
    world.advance(for_ms=800)
