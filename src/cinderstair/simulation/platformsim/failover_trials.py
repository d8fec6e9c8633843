"""Trials in which the lead of a service moves, or ought to."""

from unittest.mock import patch

from ...consensus.lease import Lease
from .platform_world import PlatformWorld

BACK_MS = 20_000
CUTS_MOST = 3


def moved(*, world: PlatformWorld, old: str, service: str = "ledger0", within_ms: int = BACK_MS) -> None:
    """Waits until another backend leads, and every proxy that is there knows it."""
    world.await_that(
        test=lambda: world.primary(service=service).name != old
        and world.primary(service=service).up
        and world.serves(),
        within_ms=within_ms,
        what=f"another than {old} leads {service}",
    )


def holder(*, world: PlatformWorld) -> str:
    """The controller that holds the duty of promotions."""
    return next(
        (
            name
            for name in world.controllers
            if name in world.roles and world.roles[name].controller.service_failover.lease.held
        ),
        world.controllers[0],
    )


def calm_day(world: PlatformWorld) -> None:
    world.advance(for_ms=6_000)


def primary_crash(world: PlatformWorld) -> None:
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    old = world.primary()
    world.crash(backend=old, again_us=world.rng.choice((700_000, 3_000_000, 5_000_000, None)))
    world.advance(for_ms=7_000)
    world.await_that(test=world.serves, within_ms=BACK_MS, what="the service is back")
    world.advance(for_ms=1_000)


def dark_primary(world: PlatformWorld) -> None:
    world.advance(for_ms=world.rng.randrange(1_000, 2_000))
    old = world.primary()
    world.crash(backend=old, dark=True, again_us=world.rng.choice((8_000_000, None)))
    moved(world=world, old=old.name)
    world.advance(for_ms=2_500)


def primary_crash_replica_deaf(world: PlatformWorld) -> None:
    """One copy receives nothing for a while, and the primary crashes meanwhile."""
    world.advance(for_ms=1_000)
    deaf = world.rng.choice(world.replicas())
    deaf.deaf = True
    world.advance(for_ms=world.rng.randrange(300, 1_500))
    old = world.primary()
    world.crash(backend=old, again_us=world.rng.choice((6_000_000, None)))
    world.advance(for_ms=world.rng.randrange(200, 2_500))
    deaf.deaf = False
    moved(world=world, old=old.name)
    world.advance(for_ms=2_500)


def replicas_lag(world: PlatformWorld) -> None:
    """Copies fall far behind in what they have applied, or receive nothing, and then the primary crashes."""
    world.advance(for_ms=1_000)
    for replica in world.replicas():
        replica.lag_us = world.rng.randrange(500_000, 3_000_000)
    for replica in world.replicas(service="ledger1"):
        replica.lag_us = world.rng.randrange(500_000, 3_000_000)
    world.advance(for_ms=3_000)
    deaf = world.rng.choice(world.replicas())
    deaf.deaf = True
    world.advance(for_ms=2_500)
    for replica in world.backends.values():
        replica.lag_us, replica.deaf = 0, False
    old = world.primary()
    world.crash(backend=old, again_us=6_000_000)
    moved(world=world, old=old.name)
    world.advance(for_ms=1_500)


def replica_crash(world: PlatformWorld) -> None:
    world.advance(for_ms=1_200)
    dark = world.rng.random() < 0.5
    world.crash(backend=world.rng.choice(world.replicas()), dark=dark, again_us=4_000_000)
    world.advance(for_ms=8_000)


def release_primary(world: PlatformWorld) -> None:
    world.advance(for_ms=world.rng.randrange(800, 1_600))
    old = world.primary()
    world.release(backend=old)
    moved(world=world, old=old.name, within_ms=8_000)
    world.await_that(test=lambda: not old.up, within_ms=15_000, what="the released primary ends")
    world.advance(for_ms=2_500)


def leaving_primary_crash(world: PlatformWorld) -> None:
    """A primary says that it leaves, and crashes before anybody has taken its place."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    old.emptying = True
    old.on_change()
    world.advance(for_ms=world.rng.randrange(20, 1_200))
    world.crash(backend=old, dark=world.rng.random() < 0.5, again_us=None)
    moved(world=world, old=old.name, within_ms=12_000)
    world.advance(for_ms=2_500)


def release_primary_replicas_deaf(world: PlatformWorld) -> None:
    """A primary is to be replaced while no copy receives anything, or while one copy is dark."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    replicas = world.replicas()
    dark = world.rng.random() < 0.5
    if dark:
        world.crash(backend=world.rng.choice(replicas), dark=True, again_us=6_000_000)
    else:
        for replica in replicas:
            replica.deaf = True
    world.advance(for_ms=world.rng.randrange(100, 800))
    world.release(backend=old)
    world.advance(for_ms=world.rng.randrange(500, 3_000))
    for replica in replicas:
        replica.deaf = False
    moved(world=world, old=old.name, within_ms=12_000)
    world.advance(for_ms=3_000)


def release_primary_soon(world: PlatformWorld) -> None:
    """A primary that has little time to leave, while its copies are dark for longer than that."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    for replica in world.replicas():
        world.crash(backend=replica, dark=True, again_us=5_000_000)
    world.advance(for_ms=300)
    world.release(backend=old)
    moved(world=world, old=old.name)
    world.advance(for_ms=3_000)


def release_primary_alone(world: PlatformWorld) -> None:
    """A primary leaves while its copies are dark, and ends before they are back; its log passes to a new backend."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old = world.primary()
    for replica in world.replicas():
        world.crash(backend=replica, dark=True, again_us=10_000_000)
    world.advance(for_ms=300)
    world.release(backend=old)
    moved(world=world, old=old.name)
    world.advance(for_ms=5_000)


def release_both(world: PlatformWorld) -> None:
    """A primary and a copy are to be replaced at about the same time."""
    world.advance(for_ms=world.rng.randrange(300, 1_300))
    old, replica = world.primary(), world.rng.choice(world.replicas())
    first, second = world.rng.sample((old, replica), 2)
    world.release(backend=first)
    world.advance(for_ms=world.rng.randrange(0, 1_500))
    world.release(backend=second)
    moved(world=world, old=old.name, within_ms=12_000)
    world.await_that(test=lambda: not old.up and not replica.up, within_ms=15_000, what="both end")
    world.advance(for_ms=2_500)
    world.await_that(test=world.serves, within_ms=BACK_MS, what="the service is back")


def release_both_far(world: PlatformWorld) -> None:
    """The same where a journey between regions takes 40 to 60 ms each way, so that a stop takes long."""
    release_both(world)


def release_replicas(world: PlatformWorld) -> None:
    world.advance(for_ms=world.rng.randrange(800, 1_600))
    old, other = world.rng.choice(world.replicas()), world.rng.choice(world.replicas(service="ledger1"))
    world.release(backend=old)
    world.release(backend=other)
    world.await_that(test=lambda: not old.up and not other.up, within_ms=15_000, what="the released copies end")
    world.advance(for_ms=2_500)


def holder_killed(world: PlatformWorld) -> None:
    """Whoever holds the duty dies in the middle of a move, at one of several moments."""
    world.advance(for_ms=world.rng.randrange(500, 1_500))
    old = world.primary()
    moment = world.rng.choice(("examining", "fencing", "moving", "promoting", "leading"))
    service = world.services["ledger0"]
    if world.rng.random() < 0.3:
        world.release(backend=old)
    else:
        # why: it comes back only when the move is surely over, since one that is back may rightly lead on
        world.crash(backend=old, again_us=world.rng.choice((12_000_000, None)))

    def come() -> bool:
        name = holder(world=world)
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
    while not come() and world.now_us < until_us:
        world.advance(for_ms=5)
    name = holder(world=world)
    if world.rng.random() < 0.5:
        world.kill(name=name, again_us=world.rng.choice((600_000, 4_000_000)))
        moved(world=world, old=old.name)
    else:
        world.freeze(name=name)
        world.advance(for_ms=world.rng.randrange(1_500, 6_000))
        world.thaw(name=name)
        moved(world=world, old=old.name)
    world.advance(for_ms=3_000)


def two_holders(world: PlatformWorld) -> None:
    """Every controller takes itself for the holder of every duty, all the time."""
    with patch.object(Lease, "held", property(lambda self: True)):
        world.advance(for_ms=1_500)
        old = world.primary()
        if world.rng.random() < 0.5:
            world.release(backend=old)
        else:
            world.crash(backend=old, again_us=6_000_000)
        moved(world=world, old=old.name)
        world.advance(for_ms=2_000)
        other = world.primary(service="ledger1")
        world.crash(backend=other, dark=True, again_us=8_000_000)
        moved(world=world, old=other.name, service="ledger1")
        world.advance(for_ms=2_000)


def proxy_cut_off(world: PlatformWorld) -> None:
    """A proxy reaches backends and clients, but no controller, while a lead moves."""
    world.advance(for_ms=1_000)
    proxy = world.rng.choice(world.proxies)
    world.cut(ones=[proxy], others=world.controllers)
    world.advance(for_ms=world.rng.randrange(0, 1_500))
    old = world.primary()
    if world.rng.random() < 0.5:
        world.release(backend=old)
    else:
        world.cut(ones=[old.name], others=[*world.controllers, *(b for b in world.proxies if b != proxy)])
    world.await_that(test=lambda: world.primary() is not old, within_ms=BACK_MS, what="the lead moves")
    world.advance(for_ms=2_500)
    world.heal()
    world.advance(for_ms=3_000)
    world.await_that(test=world.serves, within_ms=BACK_MS, what="the proxy is back")


def proxy_cut_off_unconfirmed(world: PlatformWorld) -> None:
    """As before, where primaries wait for no copy, so that an old one could acknowledge alone."""
    world.advance(for_ms=1_000)
    proxy = world.rng.choice(world.proxies)
    old = world.primary()
    world.cut(ones=[proxy], others=world.controllers)
    world.cut(ones=[old.name], others=[*world.controllers, *(name for name in world.proxies if name != proxy)])
    world.cut(ones=[old.name], others=[each.name for each in world.replicas()])
    world.await_that(test=lambda: world.primary() is not old, within_ms=BACK_MS, what="the lead moves")
    world.advance(for_ms=2_500)
    world.heal()
    world.advance(for_ms=2_000)
    world.await_that(test=world.serves, within_ms=BACK_MS, what="the proxy is back")


def primary_cut(world: PlatformWorld) -> None:
    """A primary is cut off from its copies, from the controllers, or from some proxies, and serves the rest."""
    world.advance(for_ms=1_200)
    old = world.primary()
    way = world.rng.randrange(3)
    if way == 0:
        world.cut(ones=[old.name], others=[each.name for each in world.replicas()])
    elif way == 1:
        world.cut(ones=[old.name], others=world.controllers)
    else:
        world.cut(ones=[old.name], others=[*world.proxies[:2], *(each.name for each in world.replicas())])
    world.advance(for_ms=7_000)
    world.heal()
    world.await_that(test=world.serves, within_ms=BACK_MS, what="the service is back")
    world.advance(for_ms=2_500)


def far_regions(world: PlatformWorld) -> None:
    """A journey between regions takes 75 to 110 ms each way, and primaries crash in two of them."""
    for service in world.services:
        old = world.primary(service=service)
        world.crash(backend=old, again_us=4_000_000)
        moved(world=world, old=old.name, service=service)
        world.advance(for_ms=3_000)


def platform_troubled(world: PlatformWorld) -> None:
    """The platform's promotion call is down, or slow, while a primary is to be replaced."""
    world.advance(for_ms=1_000)
    old = world.primary()
    world.platform.mode = world.rng.choice(("down", "slow"))
    world.crash(backend=old, again_us=None)
    world.advance(for_ms=world.rng.randrange(3_000, 7_000))
    world.platform.mode = "up"
    moved(world=world, old=old.name)
    world.advance(for_ms=2_000)


def candidate_crash(world: PlatformWorld) -> None:
    """The backend that was named to lead crashes as well; then the first one comes back."""
    world.advance(for_ms=1_000)
    old = world.primary()
    world.crash(backend=old, again_us=6_000_000)
    world.await_that(
        test=lambda: any(call[1] == "ledger0" for call in world.platform.calls), within_ms=BACK_MS, what="a promotion"
    )
    named = world.backends[next(call[2] for call in world.platform.calls if call[1] == "ledger0")]
    world.advance(for_ms=world.rng.randrange(0, 900))
    world.crash(backend=named, again_us=world.rng.choice((2_000_000, 5_000_000)))
    world.advance(for_ms=3_000)
    world.await_that(test=world.serves, within_ms=30_000, what="somebody leads")
    world.advance(for_ms=3_000)


def primary_cut_from_proxies(world: PlatformWorld) -> None:
    """Some proxies can't reach a primary that all others reach: no lead moves, and all is served."""
    world.advance(for_ms=1_500)
    old, promotions = world.primary(), len(world.platform.calls)
    cut = world.rng.sample(world.proxies, len(world.proxies) // 2)
    world.cut(ones=[old.name, world.primary(service="ledger1").name], others=cut)
    # why: until a silence is noticed what was sent into it is lost to its clients
    world.advance(for_ms=2_500)
    served, owed = world.served, world.owed
    world.advance(for_ms=5_000)
    served, owed = world.served - served, world.owed - owed
    assert served >= 0.97 * owed > 0, f"{served} of {owed} served while proxies were cut off from a primary"
    if world.rng.random() < 0.5:
        # why: the proxy that was the way round goes, and another one has to be found
        detours = {
            detour.peer_proxy.name
            for name in cut
            for detour in world.roles[name].proxy.router.detours.detours.values()
        }
        assert detours, "no way round was found"
        world.kill(name=world.rng.choice(sorted(detours)))
        world.advance(for_ms=3_000)
    assert world.primary() is old and len(world.platform.calls) == promotions, "a lead moved"
    world.heal()
    world.advance(for_ms=4_000)
    assert not any(world.roles[name].proxy.router.detours.detours for name in world.proxies if name in world.roles), (
        "a way round outlasted its cut"
    )


def silence_looked_at(world: PlatformWorld) -> None:
    """Proxies with little to do are cut off from all primaries: where one falls silent the others are looked at."""
    world.advance(for_ms=6_000)
    cut, primaries = world.proxies[1:], [world.primary(service=name).name for name in world.services]
    # why: whether a proxy has a primary with nothing under way when another one falls silent is a matter of chance
    for _ in range(CUTS_MOST):
        world.cut(ones=primaries, others=cut)
        world.advance(for_ms=8_000)
        world.heal()
        world.advance(for_ms=4_000)
        doubted = sum(world.contexts[name].counters.counts["links.doubted"] for name in cut)
        if doubted:
            break
    assert doubted, "nobody looked at the other primary where one had fallen silent"


def primary_dies_behind_detours(world: PlatformWorld) -> None:
    """A primary that some proxies reach by way of others dies: nothing acknowledged is lost, nothing lands twice."""
    world.advance(for_ms=1_500)
    old = world.primary()
    world.cut(ones=[old.name], others=world.rng.sample(world.proxies, len(world.proxies) // 2))
    world.advance(for_ms=world.rng.randrange(1_500, 4_000))
    world.crash(backend=old, dark=world.rng.random() < 0.5, again_us=5_000_000)
    moved(world=world, old=old.name)
    world.heal()
    world.advance(for_ms=3_000)
