"""Trials in which the shard map changes under traffic."""

from ...charter.shard_map import ShardMap
from ...steward.shard_state import ShardPhase
from .platform_world import PlatformWorld

MOVING = ("ledger0-self", "ledger0-primary")
TARGET = "ledger1"
MOVED_MS = 6_000


def propose(*, world: PlatformWorld, version: int = 1, percent: int = 51, at: int = 0) -> str:
    """Puts a map to the booths by one guildhall; an empty text where it was taken."""
    for database in MOVING:
        world.referee.shard.watch(database=database, source="ledger0", target=TARGET)
        world.referee.route.allow(database=database, service=TARGET)
    wanted = ShardMap(version=version, places=dict.fromkeys(MOVING, TARGET), agree_percent=percent)
    duty = world.roles[world.guildhalls[at]].guildhall.shards
    result = world.run(work=duty.propose(wanted=wanted))
    return "" if result.is_ok() else str(result.error.kind.value)


def held(*, world: PlatformWorld, name: str) -> int:
    """The version of the map that a booth acts on."""
    return int(world.roles[name].booth.router.shards.held.current.version)


def all_hold(*, world: PlatformWorld, version: int, names: list[str] | None = None) -> bool:
    return all(held(world=world, name=name) == version for name in names or world.booths if name in world.roles)


def moved(*, world: PlatformWorld, version: int = 1, within_ms: int = MOVED_MS) -> None:
    world.await_that(
        test=lambda: all_hold(world=world, version=version),
        within_ms=within_ms,
        what=f"all booths hold map {version}",
    )


def shards_in_a_match(world: PlatformWorld) -> None:
    """An afternoon's traffic: many short sessions, tables refreshed all the while."""
    world.advance(for_ms=2_000)
    assert not propose(world=world)
    moved(world=world)
    world.advance(for_ms=5_000)
    assert world.referee.shard.at_target, "nothing was written at the new place"


def shards_in_a_rush(world: PlatformWorld) -> None:
    """A month's end: claims and approvals, mostly in transactions."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    moved(world=world)
    world.advance(for_ms=4_000)
    assert world.referee.shard.at_target, "nothing was written at the new place"


def shards_booth_deaf(world: PlatformWorld) -> None:
    """A booth that hears no guildhall while the map changes; it holds the old one, and may not write."""
    world.advance(for_ms=1_000)
    deaf = world.booths[0]
    world.cut(ones=[deaf], others=world.guildhalls)
    world.advance(for_ms=world.luck.randrange(0, 800))
    assert not propose(world=world)
    others = [name for name in world.booths if name != deaf]
    world.await_that(
        test=lambda: all_hold(world=world, version=1, names=others), within_ms=12_000, what="the others hold map 1"
    )
    assert held(world=world, name=deaf) == 0, "a booth that has not heard moved"
    world.advance(for_ms=1_500)
    world.heal()
    moved(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def shards_booth_frozen(world: PlatformWorld) -> None:
    """A booth stands still across the change and wakes with statements in its hands."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.luck.randrange(0, 900))
    world.freeze(name=world.booths[1])
    world.advance(for_ms=world.luck.randrange(3_000, 5_000))
    world.thaw(name=world.booths[1])
    moved(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def shards_booth_disagrees(world: PlatformWorld) -> None:
    """One booth does not agree; the others move, it holds the old map, and moves once it agrees."""
    world.advance(for_ms=1_000)
    other = world.roles[world.booths[2]].booth.router.shards
    fits, other._fits = other._fits, lambda *, state: False
    assert not propose(world=world)
    names = [name for name in world.booths if name != world.booths[2]]
    world.await_that(
        test=lambda: all_hold(world=world, version=1, names=names), within_ms=MOVED_MS, what="the others hold map 1"
    )
    world.advance(for_ms=2_000)
    assert held(world=world, name=world.booths[2]) == 0, "a booth that disagrees moved"
    other._fits = fits
    moved(world=world)
    world.advance(for_ms=1_000)


def shards_too_few(world: PlatformWorld) -> None:
    """All must agree and one does not: nobody moves, and writes go on where they were."""
    world.advance(for_ms=1_000)
    other = world.roles[world.booths[2]].booth.router.shards
    other._fits = lambda *, state: False
    assert not propose(world=world, percent=100)
    world.advance(for_ms=6_000)
    assert all_hold(world=world, version=0), "a map was taken that not enough agreed on"
    assert propose(world=world, version=2) == "versionTaken"


def shards_not_brought(world: PlatformWorld) -> None:
    """The data never comes to the new place: the old map stands again, and writes with it."""
    world.advance(for_ms=1_000)
    world.handover.stuck = True
    assert not propose(world=world)
    duty = world.roles[world.guildhalls[0]].guildhall.shards
    world.await_that(test=lambda: duty.state.phase == ShardPhase.closing, within_ms=4_000, what="the map closes")
    world.await_that(test=lambda: duty.state.phase == ShardPhase.steady, within_ms=15_000, what="the map goes back")
    assert all_hold(world=world, version=0)
    world.advance(for_ms=3_000)


def shards_holder_killed(world: PlatformWorld) -> None:
    """Whoever brings the map in dies in the middle of it; another goes on."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.luck.randrange(100, 1_200))
    for name in world.guildhalls:
        if name in world.roles and world.roles[name].guildhall.shards.lease.held:
            world.kill(name=name)
            break
    moved(world=world, within_ms=20_000)
    world.advance(for_ms=2_000)


def shards_two_operators(world: PlatformWorld) -> None:
    """Two maps at once: one is on its way, the other is told so; older ones are refused later."""
    world.advance(for_ms=1_000)
    first = propose(world=world, version=5)
    assert not first and propose(world=world, version=6, at=1) == "versionTaken"
    assert not propose(world=world, version=5, at=2), "the same map again is no other map"
    moved(world=world, version=5)
    assert propose(world=world, version=4) == "versionOld"
    world.advance(for_ms=2_000)


def shards_with_a_crash(world: PlatformWorld) -> None:
    """The old place's primary crashes while the map changes."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.luck.randrange(0, 1_500))
    world.crash(backend=world.primary(service=world.luck.choice(("ledger0", TARGET))), again_us=3_000_000)
    world.advance(for_ms=6_000)
    world.await_that(test=world.serves, within_ms=20_000, what="the service is back")
    world.advance(for_ms=3_000)
