"""Trials in which the only backends whose logs reach a promotion's fence are lost for good."""

from .failover_trials import RECOVERY_MS
from .platform_world import PlatformWorld

# Share of the runs in which all processes are killed after the loss.
KILLED_SHARE = 0.5
RETURN_US = 7_000_000


def _await_promotion_request(*, world: PlatformWorld) -> None:
    """Waits until a promotion in the first service is requested."""
    world.await_that(
        test=lambda: any(call[1] == "ledger0" for call in world.platform.calls),
        within_ms=RECOVERY_MS,
        description="the platform is asked for a promotion",
        step_ms=5,
    )


def _kill_all(*, world: PlatformWorld) -> None:
    for name in (*world.controllers, *world.proxies):
        world.kill(name=name)


def _end(*, world: PlatformWorld) -> None:
    """Kills all processes or not, lets replicas receive again, and waits until every proxy serves."""
    world.advance(for_ms=world.rng.randrange(3_000))
    for replica in world.replicas():
        replica.replication_interrupted = False
    if world.rng.random() < KILLED_SHARE:
        _kill_all(world=world)
    world.await_that(
        test=lambda: world.primary().up and world.serves(),
        within_ms=RECOVERY_MS,
        description="a running backend is primary, and every proxy serves",
    )
    world.advance(for_ms=3_000)


def stepped_down_primary_lost(world: PlatformWorld) -> None:
    """A leaving primary steps down while its replicas receive nothing, and is lost before it is promoted again."""
    _lose_stepped_down_primary(world=world, restart_us=None)
    _end(world=world)


def stepped_down_primary_returns(world: PlatformWorld) -> None:
    """The same, and the primary returns, still draining."""
    _lose_stepped_down_primary(world=world, restart_us=RETURN_US)
    _end(world=world)


def _lose_stepped_down_primary(*, world: PlatformWorld, restart_us: int | None) -> None:
    world.advance(for_ms=world.rng.randrange(500, 1_500))
    old = world.primary()
    for replica in world.replicas():
        replica.replication_interrupted = True
    world.advance(for_ms=world.rng.randrange(100, 800))
    old.draining = True
    old.on_change()
    _await_promotion_request(world=world)
    world.advance(for_ms=world.rng.randrange(300))
    world.crash(backend=old, restart_us=restart_us)
