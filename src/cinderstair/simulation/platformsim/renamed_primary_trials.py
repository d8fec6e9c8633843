"""Trials in which a primary crashes, and returns within seconds under a new name at its address with its log."""

from .failover_trials import RECOVERY_MS
from .platform_world import PlatformWorld

# A primary that is gone for less may return before, while or after its replicas are paused.
MAX_GONE_US = 1_500_000


def _crash_and_rename_primary(*, world: PlatformWorld) -> None:
    world.crash_and_rename(
        backend=world.primary(),
        restart_us=world.rng.randrange(50_000, MAX_GONE_US),
        power_loss=world.rng.random() < 0.5,
    )


def _await_primary(*, world: PlatformWorld) -> None:
    """Waits until a running backend is primary, every proxy knows it, and a commit is acknowledged."""
    acknowledged = len(world.services["ledger0"].acked)
    world.await_that(
        test=lambda: world.primary().up and world.serves() and len(world.services["ledger0"].acked) > acknowledged,
        within_ms=RECOVERY_MS,
        description="a running backend is primary, and serves",
    )


def primary_returns_renamed(world: PlatformWorld) -> None:
    """The primary returns under a new name, while all replicas run."""
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    _crash_and_rename_primary(world=world)
    world.advance(for_ms=MAX_GONE_US // 1_000 + 500)
    _await_primary(world=world)
    world.advance(for_ms=2_000)


def primary_returns_renamed_replica_down(world: PlatformWorld) -> None:
    """The primary returns under a new name, while a replica is down."""
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    world.crash(backend=world.rng.choice(world.replicas()), restart_us=4_500_000)
    world.advance(for_ms=1_000)
    _crash_and_rename_primary(world=world)
    world.advance(for_ms=MAX_GONE_US // 1_000 + 500)
    _await_primary(world=world)
    world.advance(for_ms=5_000)


def primary_returns_renamed_repeatedly(world: PlatformWorld) -> None:
    """The primary returns under a new name several times, at times while the last change is under way."""
    for _ in range(3):
        world.advance(for_ms=world.rng.randrange(500, 3_000))
        if world.primary().up:
            _crash_and_rename_primary(world=world)
    world.advance(for_ms=MAX_GONE_US // 1_000 + 500)
    _await_primary(world=world)
    world.advance(for_ms=2_000)


def primary_returns_renamed_controllers_killed(world: PlatformWorld) -> None:
    """All controllers are killed while the primary is gone; nobody remembers the heartbeats of its old name."""
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    _crash_and_rename_primary(world=world)
    world.advance(for_ms=world.rng.randrange(1_500))
    for name in list(world.controllers):
        world.kill(name=name)
    world.advance(for_ms=3_000)
    _await_primary(world=world)
    world.advance(for_ms=2_000)
