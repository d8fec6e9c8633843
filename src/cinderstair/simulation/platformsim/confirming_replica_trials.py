"""Trials in which replicas begin to confirm commits of a primary while it is being replaced."""

from .failover_trials import RECOVERY_MS, await_failover
from .platform_world import PlatformWorld
from .stand_in_backend import StandInBackend

# Upper bound of the time between the first pause and the fault; a promotion has taken effect by then.
MAX_DELAY_MS = 900
# Upper bound of the time between a primary's crash and the first heartbeat of a replica that started before it.
MAX_HEARTBEAT_DELAY_MS = 4_000


def _await_pause(*, world: PlatformWorld) -> None:
    world.await_that(
        test=lambda: any(each.paused for each in world.replicas()),
        within_ms=RECOVERY_MS,
        description="a replica is paused",
        step_ms=5,
    )


def _partition_primary(*, world: PlatformWorld) -> StandInBackend:
    """Partitions a primary from all controllers, while proxies and replicas reach it."""
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    old = world.primary()
    world.partition(ones=[old.name], others=world.controllers)
    return old


def _end(*, world: PlatformWorld, old: StandInBackend) -> None:
    await_failover(world=world, old=old.name)
    world.advance(for_ms=3_000)
    world.heal()
    world.advance(for_ms=3_000)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")


def replica_joins_during_failover(world: PlatformWorld) -> None:
    """A replica starts after the others were paused; it confirms commits before a controller can pause it."""
    old = _partition_primary(world=world)
    _await_pause(world=world)
    world.advance(for_ms=world.rng.randrange(MAX_DELAY_MS))
    world.add_replica()
    _end(world=world, old=old)


def replica_joins_before_failover(world: PlatformWorld) -> None:
    """A replica starts shortly before the failover, which may not know it yet; the others don't replicate."""
    old = _partition_primary(world=world)
    for replica in world.replicas():
        replica.replication_interrupted = True
    world.advance(for_ms=world.rng.randrange(1_200))
    world.add_replica()
    _end(world=world, old=old)


def unheard_replica_at_primary_crash(world: PlatformWorld) -> None:
    """The only replica that receives a primary's log is not known to any controller when the primary crashes."""
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    old = world.primary()
    replicas = world.replicas()
    for replica in replicas:
        replica.replication_interrupted = True
    joined = world.add_replica()
    sender = world.senders[joined.name]
    sender.silent = True
    world.await_that(
        test=lambda: joined.received >= old.received, within_ms=3_000, description="the replica has the primary's log"
    )
    world.advance(for_ms=world.rng.randrange(1_000))
    world.crash(backend=old, restart_us=world.rng.choice((7_000_000, None)))
    world.advance(for_ms=world.rng.randrange(1_500, MAX_HEARTBEAT_DELAY_MS))
    sender.silent = False
    sender.changed.set()
    for replica in replicas:
        replica.replication_interrupted = False
    await_failover(world=world, old=old.name)
    world.advance(for_ms=3_000)


def paused_replica_restarts(world: PlatformWorld) -> None:
    """A paused replica crashes and restarts, which ends its pause."""
    old = _partition_primary(world=world)
    _await_pause(world=world)
    world.advance(for_ms=world.rng.randrange(200))
    paused = [each for each in world.replicas() if each.paused]
    if paused:
        restart_us = world.rng.choice((50_000, 300_000))
        world.crash(backend=world.rng.choice(paused), restart_us=restart_us)
    _end(world=world, old=old)
