"""Trials in which the shard map changes under traffic."""

from collections.abc import Callable
from contextlib import ExitStack
from unittest.mock import AsyncMock, patch

from ...config.shard_map import ShardMap
from ...failover.shard_map_coordinator import ShardMapCoordinator
from ...failover.shard_state import SHARDS_KEY, ShardPhase
from ...pooler.relayed_view import LEASE_US, RelayedView
from ...runtime.errors import ErrorCode
from .platform_world import PlatformWorld

MOVING = ("ledger0-self", "ledger0-primary")
TARGET = "ledger1"
MOVED_MS = 6_000


def propose(*, world: PlatformWorld, version: int = 1, percent: int = 51, at: int = 0) -> str:
    """Puts a map to the proxies by one controller; an empty text where it was taken."""
    for database in MOVING:
        world.referee.shard.watch(database=database, source="ledger0", target=TARGET, now_us=world.now_us)
        world.referee.route.allow(database=database, service=TARGET)
    wanted = ShardMap(version=version, placements=dict.fromkeys(MOVING, TARGET), agree_percent=percent)
    coordinator = world.roles[world.controllers[at]].controller.shards
    result = world.run(work=coordinator.propose(wanted=wanted))
    return "" if result.is_ok() else str(result.error.code.value)


def held(*, world: PlatformWorld, name: str) -> int:
    """The version of the map that a proxy acts on."""
    return int(world.roles[name].proxy.router.shards.applied.current.version)


def all_hold(*, world: PlatformWorld, version: int, names: list[str] | None = None) -> bool:
    return all(held(world=world, name=name) == version for name in names or world.proxies if name in world.roles)


def moved(*, world: PlatformWorld, version: int = 1, within_ms: int = MOVED_MS) -> None:
    world.await_that(
        test=lambda: all_hold(world=world, version=version),
        within_ms=within_ms,
        what=f"all proxies hold map {version}",
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


def shards_proxy_deaf(world: PlatformWorld) -> None:
    """A proxy that hears no controller while the map changes; it holds the old one, and may not write."""
    world.advance(for_ms=1_000)
    deaf = world.proxies[0]
    world.cut(ones=[deaf], others=world.controllers)
    world.advance(for_ms=world.rng.randrange(0, 800))
    assert not propose(world=world)
    others = [name for name in world.proxies if name != deaf]
    world.await_that(
        test=lambda: all_hold(world=world, version=1, names=others), within_ms=12_000, what="the others hold map 1"
    )
    assert held(world=world, name=deaf) == 0, "a proxy that has not heard moved"
    world.advance(for_ms=1_500)
    world.heal()
    moved(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def shards_proxy_frozen(world: PlatformWorld) -> None:
    """A proxy stands still across the change and wakes with statements in its hands."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.rng.randrange(0, 900))
    world.freeze(name=world.proxies[1])
    world.advance(for_ms=world.rng.randrange(3_000, 5_000))
    world.thaw(name=world.proxies[1])
    moved(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def shards_proxy_disagrees(world: PlatformWorld) -> None:
    """One proxy does not agree; the others move, it holds the old map, and moves once it agrees."""
    world.advance(for_ms=1_000)
    other = world.roles[world.proxies[2]].proxy.router.shards
    fits, other._applicable = other._applicable, lambda *, state: False
    assert not propose(world=world)
    names = [name for name in world.proxies if name != world.proxies[2]]
    world.await_that(
        test=lambda: all_hold(world=world, version=1, names=names), within_ms=MOVED_MS, what="the others hold map 1"
    )
    world.advance(for_ms=2_000)
    assert held(world=world, name=world.proxies[2]) == 0, "a proxy that disagrees moved"
    other._applicable = fits
    moved(world=world)
    world.advance(for_ms=1_000)


def shards_too_few(world: PlatformWorld) -> None:
    """All must agree and one does not: nobody moves, and writes go on where they were."""
    world.advance(for_ms=1_000)
    other = world.roles[world.proxies[2]].proxy.router.shards
    other._applicable = lambda *, state: False
    assert not propose(world=world, percent=100)
    world.advance(for_ms=6_000)
    assert all_hold(world=world, version=0), "a map was taken that not enough agreed on"
    assert propose(world=world, version=2) == "versionTaken"


def shards_not_brought(world: PlatformWorld) -> None:
    """The data never comes to the new place: the old map stands again, and writes with it."""
    world.advance(for_ms=1_000)
    world.handover.stuck = True
    assert not propose(world=world)
    coordinator = world.roles[world.controllers[0]].controller.shards
    world.await_that(
        test=lambda: coordinator.state.phase == ShardPhase.closing, within_ms=4_000, what="the map closes"
    )
    world.await_that(
        test=lambda: coordinator.state.phase == ShardPhase.steady, within_ms=15_000, what="the map goes back"
    )
    assert all_hold(world=world, version=0)
    world.advance(for_ms=3_000)


def shards_holder_killed(world: PlatformWorld) -> None:
    """Whoever brings the map in dies in the middle of it; another goes on."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.rng.randrange(100, 1_200))
    for name in world.controllers:
        if name in world.roles and world.roles[name].controller.shards.lease.held:
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
    world.advance(for_ms=world.rng.randrange(0, 1_500))
    world.crash(backend=world.primary(service=world.rng.choice(("ledger0", TARGET))), again_us=3_000_000)
    world.advance(for_ms=6_000)
    world.await_that(test=world.serves, within_ms=20_000, what="the service is back")
    world.advance(for_ms=3_000)


def shards_slow_handover(world: PlatformWorld) -> None:
    """Whoever brings the data takes its time to answer, so that another may hold the duty by then."""
    world.advance(for_ms=500)
    world.handover.takes_us = world.rng.randrange(50_000, 150_000)
    assert not propose(world=world)
    moved(world=world)
    world.advance(for_ms=2_500)
    assert all_hold(world=world, version=1), "a map that was taken over went back by itself"


def coordinator_of(*, world: PlatformWorld) -> ShardMapCoordinator:
    """The shard map coordinator of a controller that runs; its view tells how far the change has come."""
    coordinator: ShardMapCoordinator = world.roles[
        next(name for name in world.controllers if name in world.roles)
    ].controller.shards
    return coordinator


def await_phase(*, world: PlatformWorld, phase: ShardPhase) -> None:
    """Until some controller knows of this phase of the change, or that it is over."""

    def come() -> bool:
        states = [world.roles[name].controller.shards.state for name in world.controllers if name in world.roles]
        return any(state.phase == phase and state.proposal for state in states)

    world.await_that(test=come, within_ms=6_000, what=f"the map is {phase.name}")


def holder(*, world: PlatformWorld) -> str:
    names = [name for name in world.controllers if name in world.roles]
    return next((name for name in names if world.roles[name].controller.shards.lease.held), names[0])


def shards_proxy_killed(world: PlatformWorld) -> None:
    """A proxy is killed in the middle, in whatever phase, and starts again from nothing."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=world.rng.choice((ShardPhase.proposed, ShardPhase.closing)))
    world.advance(for_ms=world.rng.randrange(0, 300))
    world.kill(name=world.proxies[0], again_us=world.rng.choice((100_000, 600_000, 2_500_000)))
    moved(world=world, within_ms=14_000)
    world.advance(for_ms=1_500)


def shards_proxy_cut_one_way(world: PlatformWorld) -> None:
    """What a proxy asks reaches the controllers and no answer comes back, or it hears of nothing it asked for."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=world.rng.choice((ShardPhase.proposed, ShardPhase.closing)))
    ones, others = [world.proxies[0]], world.controllers
    if world.rng.random() < 0.5:
        ones, others = others, ones
    world.cut(ones=ones, others=others, both=False)
    world.await_that(test=lambda: bool(world.referee.shard.moved_us), within_ms=12_000, what="all is brought over")
    world.advance(for_ms=1_000)
    world.heal()
    moved(world=world, within_ms=10_000)
    world.advance(for_ms=1_000)


def shards_proxy_late(world: PlatformWorld) -> None:
    """All that a proxy sends and hears is late by as much as a question may be."""
    world.advance(for_ms=500)
    world.note(name=world.proxies[0], for_us=None)
    world.network.lags_us[world.proxies[0]] = world.rng.randrange(100_000, 180_000)
    assert not propose(world=world)
    moved(world=world, within_ms=14_000)
    world.advance(for_ms=1_000)


def shards_proxy_old(world: PlatformWorld) -> None:
    """A proxy that can't read the word, as of an older version or for a broken map: it holds the old one."""
    world.advance(for_ms=500)
    old = world.proxies[1]
    view = world.roles[old].proxy.view
    world.note(name=old, for_us=None)

    def apply(*, key: str, value: bytes) -> None:
        if key == SHARDS_KEY:
            raise ValueError("a word of another version")
        RelayedView._apply(view, key=key, value=value)

    with patch.object(view, "_apply", apply):
        assert not propose(world=world)
        others = [name for name in world.proxies if name != old]
        world.await_that(
            test=lambda: all_hold(world=world, version=1, names=others), within_ms=14_000, what="the others move"
        )
        world.advance(for_ms=1_500)
        assert held(world=world, name=old) == 0, "a proxy that could not read the map moved"
    moved(world=world, within_ms=6_000)
    world.advance(for_ms=1_000)


def shards_register_replica_lost(world: PlatformWorld) -> None:
    """One register replica of three is gone with its disk while the map closes."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=ShardPhase.closing)
    world.power_off(name=world.rng.choice(world.controllers), wipe=True)
    moved(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def shards_register_replica_restarted(world: PlatformWorld) -> None:
    """One register replica ends while the map closes, and comes back with its disk."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=ShardPhase.closing)
    name = world.rng.choice(world.controllers)
    world.power_off(name=name)
    world.advance(for_ms=world.rng.randrange(50, 1_500))
    world.power_on(name=name)
    moved(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def holder_killed_in(*, world: PlatformWorld, phase: ShardPhase) -> None:
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=phase)
    world.advance(for_ms=world.rng.randrange(0, 200))
    world.kill(name=holder(world=world))
    moved(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def shards_holder_killed_proposed(world: PlatformWorld) -> None:
    """The duty's holder dies while proxies are asked."""
    holder_killed_in(world=world, phase=ShardPhase.proposed)


def shards_holder_killed_closing(world: PlatformWorld) -> None:
    """The duty's holder dies while nobody writes."""
    holder_killed_in(world=world, phase=ShardPhase.closing)


def shards_holder_killed_steady(world: PlatformWorld) -> None:
    """The duty's holder dies with its last step, of which few have heard."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=ShardPhase.closing)
    world.await_that(test=lambda: bool(world.referee.shard.moved_us), within_ms=9_000, what="all is brought over")
    world.kill(name=holder(world=world))
    moved(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def shards_second_begun(world: PlatformWorld) -> None:
    """A second change is begun in each phase of the first, and once more when that is over."""
    world.advance(for_ms=500)
    assert not propose(world=world, version=3)
    for phase in (ShardPhase.proposed, ShardPhase.closing):
        await_phase(world=world, phase=phase)
        assert propose(world=world, version=8, at=1) == "versionTaken"
    moved(world=world, version=3)
    assert not propose(world=world, version=8, at=2), "the first is over, and a second may begin"
    moved(world=world, version=8)
    world.advance(for_ms=1_000)


def abandoned_in(*, world: PlatformWorld, phase: ShardPhase) -> None:
    """Given up, then put again as the very same map, which moves."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=phase)
    world.advance(for_ms=world.rng.randrange(0, 250))
    coordinator = coordinator_of(world=world)
    result = world.run(work=coordinator.abandon(version=1))
    if result.is_error():
        # why: it may have been taken over just before, and then nobody can give it up any more
        assert phase == ShardPhase.closing and result.error.code == ErrorCode.VERSION_OLD, result.error
        moved(world=world)
        return
    world.referee.shard.withdrawn()
    assert all_hold(world=world, version=0), "a map that was given up was taken over"
    world.advance(for_ms=world.rng.randrange(0, 600))
    assert not propose(world=world, at=1)
    moved(world=world, within_ms=14_000)
    assert world.run(work=coordinator.abandon(version=1)).error.code == ErrorCode.VERSION_OLD
    world.advance(for_ms=1_000)


def shards_abandoned_proposed(world: PlatformWorld) -> None:
    """An operator gives a change up while proxies are asked."""
    abandoned_in(world=world, phase=ShardPhase.proposed)


def shards_abandoned_closing(world: PlatformWorld) -> None:
    """An operator gives a change up while nobody writes."""
    abandoned_in(world=world, phase=ShardPhase.closing)


def shards_new_place_crash(world: PlatformWorld) -> None:
    """The new place's primary crashes when it holds everything, right before the proxies may write there."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    world.await_that(
        test=lambda: len(world.referee.shard.moved_us) == len(MOVING), within_ms=9_000, what="all is brought over"
    )
    world.crash(backend=world.primary(service=TARGET), again_us=3_000_000)
    world.advance(for_ms=4_000)
    world.await_that(test=world.serves, within_ms=20_000, what="the service is back")
    moved(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def lies_held_up(*, world: PlatformWorld, proxy: str, backend: str) -> bool:
    """Whether a write or commit of a database that moves lies unsent, or unheard, on the way to a backend."""
    referee = world.referee
    lines = [
        line.split(b" ")
        for end in world.fabric.ends.get(proxy, {})
        if end.peer.host == backend
        for segment in end.outbox
        for line in segment.data.split(b"\r\n")
        if line.startswith(b"ASK ")
    ]
    statement = [referee.statement.get(fields[1]) for fields in lines]
    return any(
        each is not None
        and each.attempt.database in referee.shard.moves
        and (each.kind == "commit" or (each.kind == "write" and each.alone))
        for each in statement
    )


def await_held_up(*, world: PlatformWorld, proxy: str, backend: str) -> None:
    world.await_that(
        test=lambda: lies_held_up(world=world, proxy=proxy, backend=backend),
        within_ms=1_000,
        what="a write lies held up",
    )


def held_up(
    *, world: PlatformWorld, also_deaf: bool = False, then: Callable[[str], None] = lambda name: None
) -> None:
    """What one proxy sends to the old place just before it closes lies in a cut until after the switch."""
    world.advance(for_ms=1_000)
    proxy, old = world.proxies[0], world.primary(service="ledger0").name
    coordinators = [world.roles[name].controller.shards for name in world.controllers]
    assert not propose(world=world)
    with ExitStack() as stack:
        # why: what is to lie held up must leave right before the closing, so the closing waits for it
        for coordinator in coordinators:
            stack.enter_context(patch.object(coordinator, "_count_agreement", AsyncMock()))
        world.advance(for_ms=2_300)
        if not also_deaf:
            world.cut(ones=[proxy], others=[old])
            await_held_up(world=world, proxy=proxy, backend=old)
    if also_deaf:
        world.cut(ones=[proxy], others=world.controllers)
        view = world.roles[proxy].proxy.view
        lapses_us = LEASE_US - world.rng.randrange(150_000, 250_000)
        world.await_that(
            test=lambda: view.ctx.now_us() >= view.as_of_us + lapses_us,
            within_ms=2_000,
            what="its view nearly lapses",
        )
        world.cut(ones=[proxy], others=[old])
        await_held_up(world=world, proxy=proxy, backend=old)
    world.await_that(
        test=lambda: coordinators[0].state.phase == ShardPhase.closing, within_ms=4_000, what="it closes"
    )
    then(proxy)
    world.await_that(test=lambda: bool(world.referee.shard.moved_us), within_ms=9_000, what="all is brought over")
    world.advance(for_ms=world.rng.randrange(50, 400))
    world.heal()
    world.advance(for_ms=3_000)


def shards_commit_held_up(world: PlatformWorld) -> None:
    """A proxy in touch whose way to the old place is cut, and only that."""
    held_up(world=world)
    moved(world=world)


def shards_commit_held_up_deaf(world: PlatformWorld) -> None:
    """The same at a proxy that hears of no closing, and whose clients wait for long."""
    world.put(body=world.configuration(version=9, give_up_ms=2_400))
    world.advance(for_ms=1_500)
    held_up(world=world, also_deaf=True)
    moved(world=world)


def shards_long_transaction(world: PlatformWorld) -> None:
    """A proxy that hears of nothing, with transactions that began long before the change and end after it."""
    world.advance(for_ms=2_000)
    deaf = world.proxies[0]
    world.cut(ones=[deaf], others=world.controllers)
    world.advance(for_ms=world.rng.randrange(0, 300))
    assert not propose(world=world)
    world.await_that(test=lambda: bool(world.referee.shard.moved_us), within_ms=15_000, what="all is brought over")
    world.advance(for_ms=3_000)
    world.heal()
    moved(world=world, within_ms=10_000)


def shards_commit_held_up_frozen(world: PlatformWorld) -> None:
    """The same at a proxy that then stands still, so that only its machine can give the bytes up."""
    held_up(world=world, then=lambda name: world.freeze(name=name))
    world.thaw(name=world.proxies[0])
    moved(world=world, within_ms=10_000)


def shards_commit_held_up_killed(world: PlatformWorld) -> None:
    """The same at a proxy that is then killed, so that its machine alone is left to send them."""
    held_up(world=world, then=lambda name: world.kill(name=name))
    moved(world=world, within_ms=10_000)


SHAPED = (
    shards_proxy_killed,
    shards_proxy_cut_one_way,
    shards_proxy_late,
    shards_proxy_old,
    shards_register_replica_lost,
    shards_register_replica_restarted,
    shards_holder_killed_proposed,
    shards_holder_killed_closing,
    shards_holder_killed_steady,
    shards_second_begun,
    shards_abandoned_proposed,
    shards_abandoned_closing,
    shards_new_place_crash,
)
