"""Trials in which controllers restart and have not heard of the replica with the newest commits in a failover."""

from .failover_trials import RECOVERY_MS, await_failover
from .platform_world import PlatformWorld
from .stand_in_backend import StandInBackend

# By then the next lease holder has confirmed the assignments.
LEASE_MS = 3_000
PARTITION_MS = 5_000


def _only_complete_replica(*, world: PlatformWorld) -> StandInBackend:
    """Stops replication to all replicas but one, and returns that one."""
    world.advance(for_ms=world.rng.randrange(800, 1_600))
    complete, *others = world.rng.sample(world.replicas(), len(world.replicas()))
    for other in others:
        other.replication_interrupted = True
    world.advance(for_ms=1_500)
    return complete


def _kill_controllers(*, world: PlatformWorld) -> None:
    """Kills all controllers at once, and waits until one of the next ones decides on primaries."""
    for name in list(world.controllers):
        world.kill(name=name)
    world.advance(for_ms=LEASE_MS + world.rng.randrange(1_000))


def _deregister(*, world: PlatformWorld, backend: StandInBackend) -> None:
    """Lets a backend leave with a deregistration first, and waits until that is acknowledged; it serves on."""
    world.release(backend=backend, deregister_first=True)
    world.await_that(
        test=lambda: backend.name in world.oracle.drain.acked_us,
        within_ms=RECOVERY_MS,
        description="the deregistration is acknowledged",
        step_ms=5,
    )


def _crash_primary(*, world: PlatformWorld, restart_us: int | None = None) -> StandInBackend:
    old = world.primary()
    world.crash(backend=old, restart_us=restart_us)
    world.advance(for_ms=world.rng.randrange(1_500, 3_000))
    return old


def _end(*, world: PlatformWorld, old: StandInBackend) -> None:
    """Waits until a running backend is primary: another one than before, or the one before once it has returned."""
    world.await_that(
        test=lambda: world.services["ledger0"].term > 1 and world.primary().up and world.serves(),
        within_ms=RECOVERY_MS,
        description=f"a running backend has replaced {old.name}, and every proxy serves",
    )
    for replica in world.replicas():
        replica.replication_interrupted = False
    world.advance(for_ms=3_000)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")


def controllers_killed_replica_silent(world: PlatformWorld) -> None:
    """The heartbeats of the complete replica are late from the controllers' restart until the primary has crashed."""
    complete = _only_complete_replica(world=world)
    world.senders[complete.name].silent = True
    _kill_controllers(world=world)
    old = _crash_primary(world=world)
    world.senders[complete.name].silent = False
    _end(world=world, old=old)


def controllers_killed_replica_down(world: PlatformWorld) -> None:
    """The complete replica is down from the controllers' restart until the primary has crashed."""
    complete = _only_complete_replica(world=world)
    world.crash(backend=complete, restart_us=None)
    _kill_controllers(world=world)
    old = _crash_primary(world=world)
    world.start_backend(backend=complete)
    _end(world=world, old=old)


def controllers_killed_replica_leaves(world: PlatformWorld) -> None:
    """The complete replica has deregistered before the controllers' restart, and serves on.

    The primary returns with its log, since the replica takes its own along.
    """
    complete = _only_complete_replica(world=world)
    _deregister(world=world, backend=complete)
    _kill_controllers(world=world)
    old = _crash_primary(world=world, restart_us=6_000_000)
    _end(world=world, old=old)


def controllers_killed_replica_leaves_primary_partitioned(world: PlatformWorld) -> None:
    """A replica has deregistered before the controllers' restart; the primary is partitioned from them alone.

    The leaving replica serves on, and would confirm commits of the old primary unless it is paused as well.
    """
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    old = world.primary()
    _deregister(world=world, backend=world.rng.choice(world.replicas()))
    world.advance(for_ms=300)
    _kill_controllers(world=world)
    world.partition(ones=[old.name], others=world.controllers)
    world.advance(for_ms=PARTITION_MS)
    world.heal()
    world.advance(for_ms=3_000)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")


def controllers_killed_primary_leaves(world: PlatformWorld) -> None:
    """The primary has deregistered before the controllers' restart, and serves on longer than it may be used."""
    world.advance(for_ms=world.rng.randrange(800, 1_600))
    old = world.primary()
    _deregister(world=world, backend=old)
    for name in list(world.controllers):
        world.kill(name=name)
    await_failover(world=world, old=old.name)
    world.advance(for_ms=world.oracle.drain.drain_us // 1_000 + 3_000)
