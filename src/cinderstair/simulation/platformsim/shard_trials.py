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

MOVED_DATABASES = ("ledger0-self", "ledger0-primary")
TARGET = "ledger1"
MOVED_MS = 6_000


def propose(*, world: PlatformWorld, version: int = 1, percent: int = 51, at: int = 0) -> str:
    """Proposes a map through the controller with index `at`; returns the error code, empty if it was accepted."""
    for database in MOVED_DATABASES:
        world.oracle.shard.watch(database=database, source="ledger0", target=TARGET, now_us=world.now_us)
        world.oracle.route.allow(database=database, service=TARGET)
    wanted = ShardMap(version=version, placements=dict.fromkeys(MOVED_DATABASES, TARGET), agree_percent=percent)
    coordinator = world.roles[world.controllers[at]].controller.shards
    result = world.run(work=coordinator.propose(wanted=wanted))
    return "" if result.is_ok() else str(result.error.code.value)


def applied_version(*, world: PlatformWorld, name: str) -> int:
    """The version of the map that a proxy applies."""
    return int(world.roles[name].proxy.router.shards.applied.current.version)


def all_applied(*, world: PlatformWorld, version: int, names: list[str] | None = None) -> bool:
    return all(
        applied_version(world=world, name=name) == version for name in names or world.proxies if name in world.roles
    )


def await_map(*, world: PlatformWorld, version: int = 1, within_ms: int = MOVED_MS) -> None:
    world.await_that(
        test=lambda: all_applied(world=world, version=version),
        within_ms=within_ms,
        description=f"all proxies apply map {version}",
    )


def shards_short_operations(world: PlatformWorld) -> None:
    """The map changes under many short operations."""
    world.advance(for_ms=2_000)
    assert not propose(world=world)
    await_map(world=world)
    world.advance(for_ms=5_000)
    assert world.oracle.shard.writes_at_target, f"no write was acknowledged at {TARGET}"


def shards_transactions(world: PlatformWorld) -> None:
    """The map changes under traffic that is mostly transactions."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    await_map(world=world)
    world.advance(for_ms=4_000)
    assert world.oracle.shard.writes_at_target, f"no write was acknowledged at {TARGET}"


def shards_proxy_partitioned(world: PlatformWorld) -> None:
    """A proxy reaches no controller while the map changes: it keeps the old map, and must not write."""
    world.advance(for_ms=1_000)
    partitioned = world.proxies[0]
    world.partition(ones=[partitioned], others=world.controllers)
    world.advance(for_ms=world.rng.randrange(0, 800))
    assert not propose(world=world)
    others = [name for name in world.proxies if name != partitioned]
    world.await_that(
        test=lambda: all_applied(world=world, version=1, names=others),
        within_ms=12_000,
        description="the other proxies apply map 1",
    )
    assert applied_version(world=world, name=partitioned) == 0, "a partitioned proxy applied the new map"
    world.advance(for_ms=1_500)
    world.heal()
    await_map(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def shards_proxy_frozen(world: PlatformWorld) -> None:
    """A proxy is frozen during the change, and thaws with statements in flight."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.rng.randrange(0, 900))
    world.freeze(name=world.proxies[1])
    world.advance(for_ms=world.rng.randrange(3_000, 5_000))
    world.thaw(name=world.proxies[1])
    await_map(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def shards_proxy_disagrees(world: PlatformWorld) -> None:
    """One proxy does not agree: the others apply the map, and it follows once it agrees."""
    world.advance(for_ms=1_000)
    other = world.roles[world.proxies[2]].proxy.router.shards
    applicable, other._applicable = other._applicable, lambda *, state: False
    assert not propose(world=world)
    names = [name for name in world.proxies if name != world.proxies[2]]
    world.await_that(
        test=lambda: all_applied(world=world, version=1, names=names),
        within_ms=MOVED_MS,
        description="the other proxies apply map 1",
    )
    world.advance(for_ms=2_000)
    assert applied_version(world=world, name=world.proxies[2]) == 0, "a proxy that does not agree applied the new map"
    other._applicable = applicable
    await_map(world=world)
    world.advance(for_ms=1_000)


def shards_too_few_agree(world: PlatformWorld) -> None:
    """All proxies must agree and one does not: the old map stays, and writes go on."""
    world.advance(for_ms=1_000)
    other = world.roles[world.proxies[2]].proxy.router.shards
    other._applicable = lambda *, state: False
    assert not propose(world=world, percent=100)
    world.advance(for_ms=6_000)
    assert all_applied(world=world, version=0), "a map was applied although too few proxies agreed"
    assert propose(world=world, version=2) == "versionTaken"


def shards_handover_stuck(world: PlatformWorld) -> None:
    """The handover never completes: the change is rolled back, and writes go on at the old service."""
    world.advance(for_ms=1_000)
    world.handover.stuck = True
    assert not propose(world=world)
    coordinator = world.roles[world.controllers[0]].controller.shards
    world.await_that(
        test=lambda: coordinator.state.phase == ShardPhase.closing,
        within_ms=4_000,
        description="the change is in its closing phase",
    )
    world.await_that(
        test=lambda: coordinator.state.phase == ShardPhase.steady,
        within_ms=15_000,
        description="the change is rolled back",
    )
    assert all_applied(world=world, version=0)
    world.advance(for_ms=3_000)


def shards_lease_holder_killed(world: PlatformWorld) -> None:
    """The controller that holds the shard map lease is killed during a change; another one continues."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.rng.randrange(100, 1_200))
    for name in world.controllers:
        if name in world.roles and world.roles[name].controller.shards.lease.held:
            world.kill(name=name)
            break
    await_map(world=world, within_ms=20_000)
    world.advance(for_ms=2_000)


def shards_two_operators(world: PlatformWorld) -> None:
    """A second map is refused during a change, the same map is accepted again, and an older one refused later."""
    world.advance(for_ms=1_000)
    first = propose(world=world, version=5)
    assert not first and propose(world=world, version=6, at=1) == "versionTaken"
    assert not propose(world=world, version=5, at=2), "the map under way was refused when proposed again"
    await_map(world=world, version=5)
    assert propose(world=world, version=4) == "versionOld"
    world.advance(for_ms=2_000)


def shards_primary_crash(world: PlatformWorld) -> None:
    """The primary of the old or the new service crashes while the map changes."""
    world.advance(for_ms=1_000)
    assert not propose(world=world)
    world.advance(for_ms=world.rng.randrange(0, 1_500))
    world.crash(backend=world.primary(service=world.rng.choice(("ledger0", TARGET))), restart_us=3_000_000)
    world.advance(for_ms=6_000)
    world.await_that(test=world.serves, within_ms=20_000, description="every proxy serves")
    world.advance(for_ms=3_000)


def shards_slow_handover(world: PlatformWorld) -> None:
    """The handover answers slowly, so that another controller may hold the lease by then."""
    world.advance(for_ms=500)
    world.handover.duration_us = world.rng.randrange(50_000, 150_000)
    assert not propose(world=world)
    await_map(world=world)
    world.advance(for_ms=2_500)
    assert all_applied(world=world, version=1), "a map in force was rolled back"


def coordinator_of(*, world: PlatformWorld) -> ShardMapCoordinator:
    """The shard map coordinator of the first running controller; its view holds the change's phase."""
    coordinator: ShardMapCoordinator = world.roles[
        next(name for name in world.controllers if name in world.roles)
    ].controller.shards
    return coordinator


def await_phase(*, world: PlatformWorld, phase: ShardPhase) -> None:
    """Waits until some controller knows of this phase of a change."""

    def reached() -> bool:
        states = [world.roles[name].controller.shards.state for name in world.controllers if name in world.roles]
        return any(state.phase == phase and state.proposal for state in states)

    world.await_that(test=reached, within_ms=6_000, description=f"the change is in phase {phase.name}")


def coordinator_holder(*, world: PlatformWorld) -> str:
    """The controller that holds the shard map lease, or the first running one."""
    names = [name for name in world.controllers if name in world.roles]
    return next((name for name in names if world.roles[name].controller.shards.lease.held), names[0])


def shards_proxy_killed(world: PlatformWorld) -> None:
    """A proxy is killed in the proposed or closing phase, and restarts without state."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=world.rng.choice((ShardPhase.proposed, ShardPhase.closing)))
    world.advance(for_ms=world.rng.randrange(0, 300))
    world.kill(name=world.proxies[0], restart_us=world.rng.choice((100_000, 600_000, 2_500_000)))
    await_map(world=world, within_ms=14_000)
    world.advance(for_ms=1_500)


def shards_proxy_partitioned_one_way(world: PlatformWorld) -> None:
    """A proxy is partitioned from the controllers in one direction: its requests are lost, or all answers."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=world.rng.choice((ShardPhase.proposed, ShardPhase.closing)))
    ones, others = [world.proxies[0]], world.controllers
    if world.rng.random() < 0.5:
        ones, others = others, ones
    world.partition(ones=ones, others=others, both=False)
    world.await_that(
        test=lambda: bool(world.oracle.shard.handed_over_us),
        within_ms=12_000,
        description="a database is handed over",
    )
    world.advance(for_ms=1_000)
    world.heal()
    await_map(world=world, within_ms=10_000)
    world.advance(for_ms=1_000)


def shards_proxy_slow_network(world: PlatformWorld) -> None:
    """A proxy's network is nearly as slow as the request timeout allows."""
    world.advance(for_ms=500)
    world.begin_disruption(name=world.proxies[0], for_us=None)
    world.network.lags_us[world.proxies[0]] = world.rng.randrange(100_000, 180_000)
    assert not propose(world=world)
    await_map(world=world, within_ms=14_000)
    world.advance(for_ms=1_000)


def shards_proxy_incompatible(world: PlatformWorld) -> None:
    """A proxy can't read the new state, like one of an older version: it keeps the old map."""
    world.advance(for_ms=500)
    old = world.proxies[1]
    view = world.roles[old].proxy.view
    world.begin_disruption(name=old, for_us=None)

    def apply(*, key: str, value: bytes) -> None:
        if key == SHARDS_KEY:
            raise ValueError("a shard state of another version")
        RelayedView._apply(view, key=key, value=value)

    with patch.object(view, "_apply", apply):
        assert not propose(world=world)
        others = [name for name in world.proxies if name != old]
        world.await_that(
            test=lambda: all_applied(world=world, version=1, names=others),
            within_ms=14_000,
            description="the other proxies apply map 1",
        )
        world.advance(for_ms=1_500)
        assert applied_version(world=world, name=old) == 0, "a proxy that could not read the map applied it"
    await_map(world=world, within_ms=6_000)
    world.advance(for_ms=1_000)


def shards_register_replica_lost(world: PlatformWorld) -> None:
    """One register replica of three is lost with its disk in the closing phase."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=ShardPhase.closing)
    world.power_off(name=world.rng.choice(world.controllers), wipe=True)
    await_map(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def shards_register_replica_restarted(world: PlatformWorld) -> None:
    """One register replica loses power in the closing phase, and returns with its disk."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=ShardPhase.closing)
    name = world.rng.choice(world.controllers)
    world.power_off(name=name)
    world.advance(for_ms=world.rng.randrange(50, 1_500))
    world.power_on(name=name)
    await_map(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def kill_holder_during(*, world: PlatformWorld, phase: ShardPhase) -> None:
    """Kills the shard map lease's holder in this phase; another controller must complete the change."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=phase)
    world.advance(for_ms=world.rng.randrange(0, 200))
    world.kill(name=coordinator_holder(world=world))
    await_map(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def shards_lease_holder_killed_proposed(world: PlatformWorld) -> None:
    """The lease holder is killed while proxies are asked to agree."""
    kill_holder_during(world=world, phase=ShardPhase.proposed)


def shards_lease_holder_killed_closing(world: PlatformWorld) -> None:
    """The lease holder is killed while writes are paused."""
    kill_holder_during(world=world, phase=ShardPhase.closing)


def shards_lease_holder_killed_steady(world: PlatformWorld) -> None:
    """The lease holder is killed with its last step, which only some machines know of."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=ShardPhase.closing)
    world.await_that(
        test=lambda: bool(world.oracle.shard.handed_over_us), within_ms=9_000, description="a database is handed over"
    )
    world.kill(name=coordinator_holder(world=world))
    await_map(world=world, within_ms=20_000)
    world.advance(for_ms=1_500)


def shards_second_proposal(world: PlatformWorld) -> None:
    """A second map is refused in each phase of a change, and accepted once that is complete."""
    world.advance(for_ms=500)
    assert not propose(world=world, version=3)
    for phase in (ShardPhase.proposed, ShardPhase.closing):
        await_phase(world=world, phase=phase)
        assert propose(world=world, version=8, at=1) == "versionTaken"
    await_map(world=world, version=3)
    assert not propose(world=world, version=8, at=2), "a second map was refused after the first change was complete"
    await_map(world=world, version=8)
    world.advance(for_ms=1_000)


def abandon_during(*, world: PlatformWorld, phase: ShardPhase) -> None:
    """An operator abandons a change in this phase, then proposes the same map again, which must complete."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    await_phase(world=world, phase=phase)
    world.advance(for_ms=world.rng.randrange(0, 250))
    coordinator = coordinator_of(world=world)
    result = world.run(work=coordinator.abandon(version=1))
    if result.is_error():
        # a change that was completed just before can't be abandoned
        assert phase == ShardPhase.closing and result.error.code == ErrorCode.VERSION_OLD, result.error
        await_map(world=world)
        return
    world.oracle.shard.withdrawn()
    assert all_applied(world=world, version=0), "an abandoned map was applied"
    world.advance(for_ms=world.rng.randrange(0, 600))
    assert not propose(world=world, at=1)
    await_map(world=world, within_ms=14_000)
    assert world.run(work=coordinator.abandon(version=1)).error.code == ErrorCode.VERSION_OLD
    world.advance(for_ms=1_000)


def shards_abandoned_proposed(world: PlatformWorld) -> None:
    """A change is abandoned while proxies are asked to agree."""
    abandon_during(world=world, phase=ShardPhase.proposed)


def shards_abandoned_closing(world: PlatformWorld) -> None:
    """A change is abandoned while writes are paused."""
    abandon_during(world=world, phase=ShardPhase.closing)


def shards_target_crash(world: PlatformWorld) -> None:
    """The new service's primary crashes after the handover, right before proxies may write there."""
    world.advance(for_ms=500)
    assert not propose(world=world)
    world.await_that(
        test=lambda: len(world.oracle.shard.handed_over_us) == len(MOVED_DATABASES),
        within_ms=9_000,
        description="a database is handed over",
    )
    world.crash(backend=world.primary(service=TARGET), restart_us=3_000_000)
    world.advance(for_ms=4_000)
    world.await_that(test=world.serves, within_ms=20_000, description="every proxy serves")
    await_map(world=world, within_ms=10_000)
    world.advance(for_ms=1_500)


def write_in_transit(*, world: PlatformWorld, proxy: str, backend: str) -> bool:
    """Whether a write or commit of a moving database is unacknowledged on the way from a proxy to a backend."""
    oracle = world.oracle
    lines = [
        line.split(b" ")
        for end in world.fabric.ends.get(proxy, {})
        if end.peer.host == backend
        for segment in end.outbox
        for line in segment.data.split(b"\r\n")
        if line.startswith(b"ASK ")
    ]
    statements = [oracle.statements.get(fields[1]) for fields in lines]
    return any(
        each is not None
        and each.attempt.database in oracle.shard.moves
        and (each.kind == "commit" or (each.kind == "write" and each.autocommit))
        for each in statements
    )


def await_write_in_transit(*, world: PlatformWorld, proxy: str, backend: str) -> None:
    """Waits for up to a second until a write is in transit."""
    world.await_that(
        test=lambda: write_in_transit(world=world, proxy=proxy, backend=backend),
        within_ms=1_000,
        description=f"a write from {proxy} to {backend} is in transit",
    )


def delay_last_write(
    *, world: PlatformWorld, also_partitioned: bool = False, then: Callable[[str], None] = lambda name: None
) -> None:
    """A partition holds a proxy's last writes to the old service up until after the handover.

    With `also_partitioned` the proxy is partitioned from the controllers first, and its view has nearly lapsed.
    """
    world.advance(for_ms=1_000)
    proxy, old = world.proxies[0], world.primary(service="ledger0").name
    coordinators = [world.roles[name].controller.shards for name in world.controllers]
    assert not propose(world=world)
    with ExitStack() as stack:
        # hold the closing phase back, so that the delayed writes are sent right before it
        for coordinator in coordinators:
            stack.enter_context(patch.object(coordinator, "_count_agreement", AsyncMock()))
        world.advance(for_ms=2_300)
        if not also_partitioned:
            world.partition(ones=[proxy], others=[old])
            await_write_in_transit(world=world, proxy=proxy, backend=old)
    if also_partitioned:
        world.partition(ones=[proxy], others=world.controllers)
        view = world.roles[proxy].proxy.view
        lapses_us = LEASE_US - world.rng.randrange(150_000, 250_000)
        world.await_that(
            test=lambda: view.ctx.now_us() >= view.as_of_us + lapses_us,
            within_ms=2_000,
            description=f"the view of {proxy} nearly lapses",
        )
        world.partition(ones=[proxy], others=[old])
        await_write_in_transit(world=world, proxy=proxy, backend=old)
    world.await_that(
        test=lambda: coordinators[0].state.phase == ShardPhase.closing,
        within_ms=4_000,
        description="the change is in its closing phase",
    )
    then(proxy)
    world.await_that(
        test=lambda: bool(world.oracle.shard.handed_over_us), within_ms=9_000, description="a database is handed over"
    )
    world.advance(for_ms=world.rng.randrange(50, 400))
    world.heal()
    world.advance(for_ms=3_000)


def shards_commit_delayed(world: PlatformWorld) -> None:
    """A proxy is partitioned from the old service's primary alone."""
    delay_last_write(world=world)
    await_map(world=world)


def shards_commit_delayed_partitioned(world: PlatformWorld) -> None:
    """The same at a proxy that also reaches no controller, with clients that wait for 2.4 s."""
    world.put(body=world.configuration(version=9, give_up_ms=2_400))
    world.advance(for_ms=1_500)
    delay_last_write(world=world, also_partitioned=True)
    await_map(world=world)


def shards_long_transaction(world: PlatformWorld) -> None:
    """A proxy reaches no controller, and has transactions that begin before the change and end after it."""
    world.advance(for_ms=2_000)
    partitioned = world.proxies[0]
    world.partition(ones=[partitioned], others=world.controllers)
    world.advance(for_ms=world.rng.randrange(0, 300))
    assert not propose(world=world)
    world.await_that(
        test=lambda: bool(world.oracle.shard.handed_over_us),
        within_ms=15_000,
        description="a database is handed over",
    )
    world.advance(for_ms=3_000)
    world.heal()
    await_map(world=world, within_ms=10_000)


def shards_commit_delayed_frozen(world: PlatformWorld) -> None:
    """The same at a proxy that is then frozen, so that only its kernel can drop the bytes (TCP_USER_TIMEOUT)."""
    delay_last_write(world=world, then=lambda name: world.freeze(name=name))
    world.thaw(name=world.proxies[0])
    await_map(world=world, within_ms=10_000)


def shards_commit_delayed_killed(world: PlatformWorld) -> None:
    """The same at a proxy that is then killed, so that only its kernel could still send the bytes."""
    delay_last_write(world=world, then=lambda name: world.kill(name=name))
    await_map(world=world, within_ms=10_000)


WORKLOAD_TRIALS = (
    shards_proxy_killed,
    shards_proxy_partitioned_one_way,
    shards_proxy_slow_network,
    shards_proxy_incompatible,
    shards_register_replica_lost,
    shards_register_replica_restarted,
    shards_lease_holder_killed_proposed,
    shards_lease_holder_killed_closing,
    shards_lease_holder_killed_steady,
    shards_second_proposal,
    shards_abandoned_proposed,
    shards_abandoned_closing,
    shards_target_crash,
)
