"""Trials of HTTP proxies and clients: kills, freezes, planned stops, overload, and clients that move or vanish."""

from collections import Counter

from . import checks
from .trial import SETTLE_US, Trial
from .world import World


def http_proxy_killed(*, trial: Trial) -> None:
    """An HTTP proxy is killed under load and started again."""
    name = trial.world.rng.choice(trial.world.http_proxy_names)
    trial.fault()
    trial.world.kill(name=name)
    trial.go(for_us=6_000_000)
    trial.world.start(name=name)
    trial.go(for_us=8_000_000)


def http_proxy_frozen(*, trial: Trial) -> None:
    """An HTTP proxy is frozen for longer than its view's lease while a failover happens, and resumes."""
    world, name = trial.world, trial.primary
    frozen = next(n for n in world.http_proxy_names if n != trial.holder)
    trial.fault()
    world.freeze(name=frozen)
    world.kill(name=name)
    trial.go(for_us=9_000_000)
    world.start(name=name)
    world.thaw(name=frozen)
    trial.go(for_us=8_000_000)


def await_end(*, world: World, name: str) -> None:
    """Waits until a process that was told to stop has ended."""
    world.await_that(test=lambda: world.processes[name].dead, within_us=20_000_000, what=f"{name} has stopped")


def await_ready(*, world: World, name: str) -> None:
    """Waits until an HTTP proxy is ready."""

    def ready() -> bool:
        return name in world.roles and world.http_proxy(name=name).ready.unready() is None

    world.await_that(test=ready, within_us=20_000_000, what=f"{name} is ready")


def http_proxy_cut_from_backends(*, trial: Trial) -> None:
    """An HTTP proxy is partitioned from all backends only; by the other proxies' reports they are healthy."""
    world = trial.world
    name = world.rng.choice(world.http_proxy_names)
    trial.fault()
    world.cut(ones=[name], others=world.backend_names())
    trial.go(for_us=9_000_000)
    world.heal()
    trial.go(for_us=SETTLE_US)


def http_proxies_stopped(*, trial: Trial) -> None:
    """Each HTTP proxy in turn is stopped gracefully and started again; no session may be lost."""
    world = trial.world
    trial.fault()
    lost_before = sum(caller.sessions_lost for caller in world.callers)
    for name in world.http_proxy_names:
        world.stop(name=name)
        await_end(world=world, name=name)
        trial.go(for_us=2_000_000)
        world.start(name=name)
        await_ready(world=world, name=name)
        trial.go(for_us=3_000_000)
    lost = sum(caller.sessions_lost for caller in world.callers) - lost_before
    if lost:
        trial.verdict.wrong.append(f"{lost} sessions lost in planned stops")


def http_proxies_drained(*, trial: Trial) -> None:
    """The platform drains each HTTP proxy in turn by request, waits until it has no sessions, and then stops it."""
    world = trial.world
    trial.fault()
    for name in world.http_proxy_names:
        status, _ = world.ask(name=name, method="POST", path="/drain")
        if status != 200:
            trial.verdict.wrong.append(f"POST /drain at {name} returned status {status}")
        empty = world.http_proxy(name=name).sessions.open
        empty_us = world.await_that(test=lambda: not empty, within_us=8_000_000, what=f"{name} has no sessions left")  # noqa: B023
        trial.verdict.note(name="drained", value_us=empty_us)
        trial.go(for_us=500_000)
        world.stop(name=name)
        await_end(world=world, name=name)
        world.start(name=name)
        await_ready(world=world, name=name)
        trial.go(for_us=2_000_000)


def clients_vanish(*, trial: Trial) -> None:
    """Clients die inside transactions; their locks must be released and their writes rolled back."""
    world = trial.world
    for caller in world.callers[:4]:
        caller.vanishes = True
    trial.fault()
    trial.go(for_us=10_000_000)
    for caller in world.callers[:4]:
        caller.vanishes = False
    trial.go(for_us=4_000_000)


def overload(*, trial: Trial) -> None:
    """One database gets several times the load that it can serve; another keeps its few clients."""
    world = trial.world
    for name in world.databases["db0"]:
        world.backend(name=name).service_us = 600_000
    db1_callers = [caller for caller in world.callers if caller.database == "db1"]
    for caller in db1_callers[4:]:
        caller.stopped = True
    start_us = world.now_us
    trial.go(for_us=12_000_000)
    overloaded = [e for e in world.history if e.start_us > start_us and e.end_us and e.database == "db0"]
    normal = [e for e in world.history if e.start_us > start_us and e.end_us and e.database == "db1"]
    rejected = sorted(e.waited_us for e in overloaded if e.kind == "crowded")
    served = sum(e.outcome == "done" and e.verb in checks.SERVICES[1:] for e in overloaded)
    if len(rejected) < 300 or served < 100:
        trial.verdict.wrong.append(f"no overload: {served} served, {len(rejected)} rejected")
    trial.verdict.note(name="rejected after, p90", value_us=rejected[len(rejected) * 90 // 100] if rejected else 0)
    # A request that can't be served in time is rejected at once; only one that might have been served may wait
    if rejected and rejected[len(rejected) * 90 // 100] > 100_000:
        trial.verdict.wrong.append(
            f"rejections were late: p90 {rejected[len(rejected) * 90 // 100]} us, bound 100000 us"
        )
    shares = Counter(e.caller for e in overloaded if e.outcome == "done" and e.verb in checks.SERVICES[1:])
    # No client may be served at the expense of the others
    if shares and max(shares.values()) > 4 * shares.total() // len(shares) + 4:
        trial.verdict.wrong.append(
            f"unfair: one of {len(shares)} clients got {max(shares.values())} of {served} operations"
        )
    normal_spans = sorted(e.end_us - e.start_us for e in normal if e.outcome == "done")
    trial.verdict.note(name="database with normal load, p99", value_us=normal_spans[len(normal_spans) * 99 // 100])
    if any(e.kind == "crowded" for e in normal) or normal_spans[len(normal_spans) * 99 // 100] > 200_000:
        trial.verdict.wrong.append("db1 suffers from the overload of db0: rejections, or p99 above 200000 us")
    waiters = max(
        len(p.waiters)
        for n in world.http_proxy_names
        for p in world.http_proxy(name=n).connection_pools.pools.values()
    )
    if waiters > world.http_proxy(name="stall-0").connection_pools.queue_limit:
        trial.verdict.wrong.append(f"{waiters} requests wait in one queue, above its limit")
    for name in world.databases["db0"]:
        world.backend(name=name).service_us = 2_000
    trial.fault()
    trial.go(for_us=4_000_000)


def connection_limit(*, trial: Trial) -> None:
    """An HTTP proxy is killed, its proxy id is reclaimed, and it returns.

    The proxies alone must keep to the connection limits: the backends accept any number and count.
    """
    world = trial.world
    for name in world.backend_names():
        world.backend(name=name).cap = 10_000
        world.backend(name=name).peak_connections = 0
    for name in world.http_proxy_names:
        world.http_proxy(name=name).proxy_id_reclaimer.grace_us = 2_000_000
    name = world.rng.choice([n for n in world.http_proxy_names if n != trial.holder])
    limits = {
        n: world.http_proxy(name=n).connection_pools.pools[trial.primary].limit
        for n in world.http_proxy_names
        if n != name
    }
    world.kill(name=name)
    trial.fault()

    def grown() -> bool:
        return all(
            world.http_proxy(name=n).connection_pools.pools[trial.primary].limit > limit
            for n, limit in limits.items()
        )

    world.await_that(
        test=grown, within_us=30_000_000, what="the other HTTP proxies have taken over the connection share"
    )
    trial.go(for_us=3_000_000)
    world.start(name=name)
    trial.go(for_us=8_000_000)
    for each in world.backend_names():
        found = world.backend(name=each).peak_connections
        trial.verdict.count(name="connections at once", value=found)
        if found > world.cap:
            trial.verdict.wrong.append(f"{each} had {found} connections at once, limit {world.cap}")
    if world.http_proxy(name=name).connection_pools.pools[trial.primary].limit == 0:
        trial.verdict.wrong.append(f"{name} got no share of the connection limit after its return")


def clients_change_site(*, trial: Trial) -> None:
    """Clients switch repeatedly to another site's HTTP proxies and keep their sessions."""
    world = trial.world
    lost = sum(caller.sessions_lost for caller in world.callers)
    for _ in range(6):
        for caller in world.callers:
            caller.switch_http_proxy()
        trial.go(for_us=2_000_000)
    if sum(caller.sessions_lost for caller in world.callers) != lost:
        trial.verdict.wrong.append("sessions were lost when clients changed their site")
