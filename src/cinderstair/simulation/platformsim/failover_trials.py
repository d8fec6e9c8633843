"""Trials in which a primary is replaced, or must not be."""

from unittest.mock import patch

from ...consensus.lease import Lease
from .platform_world import PlatformWorld

RECOVERY_MS = 20_000
MAX_PARTITIONS = 3


def await_failover(*, world: PlatformWorld, old: str, service: str = "ledger0", within_ms: int = RECOVERY_MS) -> None:
    """Waits until another running backend is primary, and every proxy knows it."""
    world.await_that(
        test=lambda: world.primary(service=service).name != old
        and world.primary(service=service).up
        and world.serves(),
        within_ms=within_ms,
        description=f"another backend than {old} is primary of {service}, and every proxy serves",
    )


def promotion_lease_holder(*, world: PlatformWorld) -> str:
    """The controller that holds the promotion lease, or the first one while no running one does."""
    return next(
        (
            name
            for name in world.controllers
            if name in world.roles and world.roles[name].controller.service_failover.lease.held
        ),
        world.controllers[0],
    )


def calm_day(world: PlatformWorld) -> None:
    """No faults."""
    world.advance(for_ms=6_000)


def primary_crash(world: PlatformWorld) -> None:
    """A primary crashes, and restarts after a while or not at all."""
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    old = world.primary()
    world.crash(backend=old, restart_us=world.rng.choice((700_000, 3_000_000, 5_000_000, None)))
    world.advance(for_ms=7_000)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")
    world.advance(for_ms=1_000)


def primary_unreachable(world: PlatformWorld) -> None:
    """A primary's machine loses power, so its connections get no reset."""
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    old = world.primary()
    world.crash(backend=old, power_loss=True, restart_us=world.rng.choice((8_000_000, None)))
    await_failover(world=world, old=old.name)
    world.advance(for_ms=2_500)


def primary_crash_replication_interrupted(world: PlatformWorld) -> None:
    """Replication to one replica is interrupted while the primary crashes; the other replica must be promoted."""
    world.advance(for_ms=1_000)
    lagging = world.rng.choice(world.replicas())
    lagging.replication_interrupted = True
    world.advance(for_ms=world.rng.randrange(300, 1_500))
    old = world.primary()
    world.crash(backend=old, restart_us=world.rng.choice((6_000_000, None)))
    world.advance(for_ms=world.rng.randrange(200, 2_500))
    lagging.replication_interrupted = False
    await_failover(world=world, old=old.name)
    world.advance(for_ms=2_500)


def replicas_lag(world: PlatformWorld) -> None:
    """Replicas apply their log with a long lag, replication to one is interrupted, then the primary crashes."""
    world.advance(for_ms=1_000)
    for replica in world.replicas():
        replica.lag_us = world.rng.randrange(500_000, 3_000_000)
    for replica in world.replicas(service="ledger1"):
        replica.lag_us = world.rng.randrange(500_000, 3_000_000)
    world.advance(for_ms=3_000)
    lagging = world.rng.choice(world.replicas())
    lagging.replication_interrupted = True
    world.advance(for_ms=2_500)
    for replica in world.backends.values():
        replica.lag_us, replica.replication_interrupted = 0, False
    old = world.primary()
    world.crash(backend=old, restart_us=6_000_000)
    await_failover(world=world, old=old.name)
    world.advance(for_ms=1_500)


def replica_crash(world: PlatformWorld) -> None:
    """A replica crashes or loses power, and restarts."""
    world.advance(for_ms=1_200)
    power_loss = world.rng.random() < 0.5
    world.crash(backend=world.rng.choice(world.replicas()), power_loss=power_loss, restart_us=4_000_000)
    world.advance(for_ms=8_000)


def release_primary(world: PlatformWorld) -> None:
    """A primary is drained and replaced as planned."""
    world.advance(for_ms=world.rng.randrange(800, 1_600))
    old = world.primary()
    world.release(backend=old)
    await_failover(world=world, old=old.name, within_ms=8_000)
    world.await_that(test=lambda: not old.up, within_ms=15_000, description="the released primary has ended")
    world.advance(for_ms=2_500)


def draining_primary_crash(world: PlatformWorld) -> None:
    """A primary announces draining, and crashes before another backend is promoted."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    old.draining = True
    old.on_change()
    world.advance(for_ms=world.rng.randrange(20, 1_200))
    world.crash(backend=old, power_loss=world.rng.random() < 0.5, restart_us=None)
    await_failover(world=world, old=old.name, within_ms=12_000)
    world.advance(for_ms=2_500)


def release_primary_replication_interrupted(world: PlatformWorld) -> None:
    """A primary is drained while replication is interrupted, or while one replica has no power."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    replicas = world.replicas()
    power_loss = world.rng.random() < 0.5
    if power_loss:
        world.crash(backend=world.rng.choice(replicas), power_loss=True, restart_us=6_000_000)
    else:
        for replica in replicas:
            replica.replication_interrupted = True
    world.advance(for_ms=world.rng.randrange(100, 800))
    world.release(backend=old)
    world.advance(for_ms=world.rng.randrange(500, 3_000))
    for replica in replicas:
        replica.replication_interrupted = False
    await_failover(world=world, old=old.name, within_ms=12_000)
    world.advance(for_ms=3_000)


def release_primary_short_drain(world: PlatformWorld) -> None:
    """A primary is drained with a short drain time, while its replicas have no power for longer than that."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    for replica in world.replicas():
        world.crash(backend=replica, power_loss=True, restart_us=5_000_000)
    world.advance(for_ms=300)
    world.release(backend=old)
    await_failover(world=world, old=old.name)
    world.advance(for_ms=3_000)


def release_primary_without_replicas(world: PlatformWorld) -> None:
    """A primary drains and ends while its replicas have no power; a new backend takes over its log."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    for replica in world.replicas():
        world.crash(backend=replica, power_loss=True, restart_us=10_000_000)
    world.advance(for_ms=300)
    world.release(backend=old)
    await_failover(world=world, old=old.name)
    world.advance(for_ms=5_000)


def release_primary_and_replica(world: PlatformWorld) -> None:
    """A primary and a replica are drained at about the same time."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old, replica = world.primary(), world.rng.choice(world.replicas())
    first, second = world.rng.sample((old, replica), 2)
    world.release(backend=first)
    world.advance(for_ms=world.rng.randrange(0, 1_500))
    world.release(backend=second)
    await_failover(world=world, old=old.name, within_ms=12_000)
    world.await_that(
        test=lambda: not old.up and not replica.up,
        within_ms=15_000,
        description="the primary and the replica have ended",
    )
    world.advance(for_ms=2_500)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")


def release_primary_and_replica_far_regions(world: PlatformWorld) -> None:
    """The same with 40 to 60 ms one way between regions, so that draining takes long."""
    release_primary_and_replica(world)


def release_replicas(world: PlatformWorld) -> None:
    """A replica of each service is drained and replaced as planned."""
    world.advance(for_ms=world.rng.randrange(800, 1_600))
    old, other = world.rng.choice(world.replicas()), world.rng.choice(world.replicas(service="ledger1"))
    world.release(backend=old)
    world.release(backend=other)
    world.await_that(
        test=lambda: not old.up and not other.up, within_ms=15_000, description="the released replicas have ended"
    )
    world.advance(for_ms=2_500)


def lease_holder_killed(world: PlatformWorld) -> None:
    """The promotion lease's holder is killed or frozen at a random stage of a failover."""
    world.advance(for_ms=world.rng.randrange(500, 1_500))
    old = world.primary()
    moment = world.rng.choice(("examining", "fencing", "moving", "promoting", "leading"))
    service = world.services["ledger0"]
    if world.rng.random() < 0.3:
        world.release(backend=old)
    else:
        # restarts only after the failover, since a primary that is back in time may stay primary
        world.crash(backend=old, restart_us=world.rng.choice((12_000_000, None)))

    def reached() -> bool:
        name = promotion_lease_holder(world=world)
        service_failover = world.roles[name].controller.service_failover if name in world.roles else None
        assignment = None if service_failover is None else service_failover.primaries.get("ledger0")
        return {
            "examining": service_failover is not None
            and bool(service_failover.monitor.suspects_us or service_failover.active),
            "fencing": any(each.paused for each in service.backends.values()),
            "moving": assignment is not None and assignment.state == 2,
            "promoting": any(call[1] == "ledger0" for call in world.platform.calls),
            "leading": service.term > 1,
        }[moment]

    until_us = world.now_us + 12_000_000
    while not reached() and world.now_us < until_us:
        world.advance(for_ms=5)
    name = promotion_lease_holder(world=world)
    if world.rng.random() < 0.5:
        world.kill(name=name, restart_us=world.rng.choice((600_000, 4_000_000)))
        await_failover(world=world, old=old.name)
    else:
        world.freeze(name=name)
        world.advance(for_ms=world.rng.randrange(1_500, 6_000))
        world.thaw(name=name)
        await_failover(world=world, old=old.name)
    world.advance(for_ms=3_000)


def two_lease_holders(world: PlatformWorld) -> None:
    """Every controller believes that it holds every lease, so that failovers compete."""
    with patch.object(Lease, "held", property(lambda self: True)):
        world.advance(for_ms=1_500)
        old = world.primary()
        if world.rng.random() < 0.5:
            world.release(backend=old)
        else:
            world.crash(backend=old, restart_us=6_000_000)
        await_failover(world=world, old=old.name)
        world.advance(for_ms=2_000)
        other = world.primary(service="ledger1")
        world.crash(backend=other, power_loss=True, restart_us=8_000_000)
        await_failover(world=world, old=other.name, service="ledger1")
        world.advance(for_ms=2_000)


def proxy_partitioned(world: PlatformWorld) -> None:
    """A proxy reaches backends and clients, but no controller, during a failover."""
    world.advance(for_ms=1_000)
    proxy = world.rng.choice(world.proxies)
    world.partition(ones=[proxy], others=world.controllers)
    world.advance(for_ms=world.rng.randrange(0, 1_500))
    old = world.primary()
    if world.rng.random() < 0.5:
        world.release(backend=old)
    else:
        world.partition(ones=[old.name], others=[*world.controllers, *(b for b in world.proxies if b != proxy)])
    world.await_that(
        test=lambda: world.primary() is not old, within_ms=RECOVERY_MS, description="another backend is primary"
    )
    world.advance(for_ms=2_500)
    world.heal()
    world.advance(for_ms=3_000)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")


def proxy_partitioned_unconfirmed_commits(world: PlatformWorld) -> None:
    """The same where commits wait for no replica, so that a replaced primary could acknowledge by itself."""
    world.advance(for_ms=1_000)
    proxy = world.rng.choice(world.proxies)
    old = world.primary()
    world.partition(ones=[proxy], others=world.controllers)
    world.partition(ones=[old.name], others=[*world.controllers, *(name for name in world.proxies if name != proxy)])
    world.partition(ones=[old.name], others=[each.name for each in world.replicas()])
    world.await_that(
        test=lambda: world.primary() is not old, within_ms=RECOVERY_MS, description="another backend is primary"
    )
    world.advance(for_ms=2_500)
    world.heal()
    world.advance(for_ms=2_000)
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")


def primary_partitioned(world: PlatformWorld) -> None:
    """A primary is partitioned from its replicas, the controllers, or its replicas and some proxies."""
    world.advance(for_ms=1_200)
    old = world.primary()
    variant = world.rng.randrange(3)
    if variant == 0:
        world.partition(ones=[old.name], others=[each.name for each in world.replicas()])
    elif variant == 1:
        world.partition(ones=[old.name], others=world.controllers)
    else:
        world.partition(ones=[old.name], others=[*world.proxies[:2], *(each.name for each in world.replicas())])
    world.advance(for_ms=7_000)
    world.heal()
    world.await_that(test=world.serves, within_ms=RECOVERY_MS, description="every proxy serves")
    world.advance(for_ms=2_500)


def far_regions(world: PlatformWorld) -> None:
    """Primaries crash in two regions, with 75 to 110 ms one way between regions."""
    for service in world.services:
        old = world.primary(service=service)
        world.crash(backend=old, restart_us=4_000_000)
        await_failover(world=world, old=old.name, service=service)
        world.advance(for_ms=3_000)


def platform_unavailable(world: PlatformWorld) -> None:
    """The platform's promotion call fails or is slow when a primary has crashed."""
    world.advance(for_ms=1_000)
    old = world.primary()
    world.platform.mode = world.rng.choice(("down", "slow"))
    world.crash(backend=old, restart_us=None)
    world.advance(for_ms=world.rng.randrange(3_000, 7_000))
    world.platform.mode = "up"
    await_failover(world=world, old=old.name)
    world.advance(for_ms=2_000)


def candidate_crash(world: PlatformWorld) -> None:
    """The backend chosen for promotion crashes as well; then the first primary comes back."""
    world.advance(for_ms=1_000)
    old = world.primary()
    world.crash(backend=old, restart_us=6_000_000)
    world.await_that(
        test=lambda: any(call[1] == "ledger0" for call in world.platform.calls),
        within_ms=RECOVERY_MS,
        description="the platform is asked for a promotion",
    )
    named = world.backends[next(call[2] for call in world.platform.calls if call[1] == "ledger0")]
    world.advance(for_ms=world.rng.randrange(0, 900))
    world.crash(backend=named, restart_us=world.rng.choice((2_000_000, 5_000_000)))
    world.advance(for_ms=3_000)
    world.await_that(test=world.serves, within_ms=30_000, description="every proxy serves")
    world.advance(for_ms=3_000)


def primary_partitioned_from_proxies(world: PlatformWorld) -> None:
    """Some proxies can't reach a primary that all others reach: no failover, and all is served by detours."""
    world.advance(for_ms=1_500)
    old, promotions = world.primary(), len(world.platform.calls)
    partitioned = world.rng.sample(world.proxies, len(world.proxies) // 2)
    world.partition(ones=[old.name, world.primary(service="ledger1").name], others=partitioned)
    # requests sent before the partition is detected fail
    world.advance(for_ms=2_500)
    served, attempted = world.served, world.attempted
    world.advance(for_ms=5_000)
    served, attempted = world.served - served, world.attempted - attempted
    assert served >= 0.97 * attempted > 0, (
        f"{served} of {attempted} operations served while proxies were partitioned from a primary"
    )
    if world.rng.random() < 0.5:
        # kill the proxy that a detour leads through, so that another one must be found
        detours = {
            detour.peer_proxy.name
            for name in partitioned
            for detour in world.roles[name].proxy.router.detours.detours.values()
        }
        assert detours, "no proxy uses a detour"
        world.kill(name=world.rng.choice(sorted(detours)))
        world.advance(for_ms=3_000)
    assert world.primary() is old and len(world.platform.calls) == promotions, "a primary was replaced"
    world.heal()
    world.advance(for_ms=4_000)
    assert not any(world.roles[name].proxy.router.detours.detours for name in world.proxies if name in world.roles), (
        "a detour is still in use after the partition healed"
    )


def silent_primary_other_links_probed(world: PlatformWorld) -> None:
    """Proxies with little traffic are partitioned from all primaries: one timeout makes them probe the others."""
    world.advance(for_ms=6_000)
    partitioned, primaries = world.proxies[1:], [world.primary(service=name).name for name in world.services]
    # a partition shows it only if a proxy has an idle link to one primary when another times out
    for _ in range(MAX_PARTITIONS):
        world.partition(ones=primaries, others=partitioned)
        world.advance(for_ms=8_000)
        world.heal()
        world.advance(for_ms=4_000)
        doubted = sum(world.contexts[name].counters.counts["links.doubted"] for name in partitioned)
        if doubted:
            break
    assert doubted, "no proxy probed its links to other primaries when one timed out"


def primary_crash_behind_detours(world: PlatformWorld) -> None:
    """A primary that some proxies reach by detours crashes: no commit is lost or doubled."""
    world.advance(for_ms=1_500)
    old = world.primary()
    world.partition(ones=[old.name], others=world.rng.sample(world.proxies, len(world.proxies) // 2))
    world.advance(for_ms=world.rng.randrange(1_500, 4_000))
    world.crash(backend=old, power_loss=world.rng.random() < 0.5, restart_us=5_000_000)
    await_failover(world=world, old=old.name)
    world.heal()
    world.advance(for_ms=3_000)
