"""HTTP proxies and their clients: kills, freezes, planned stops, crowds, and clients that move or vanish."""

from collections import Counter

from . import checks
from .trial import SETTLE_US, Trial
from .world import World


def http_proxy_killed(*, trial: Trial) -> None:
    """An HTTP proxy is killed under work and started again."""
    name = trial.world.rng.choice(trial.world.http_proxy_names)
    trial.fault()
    trial.world.kill(name=name)
    trial.go(for_us=6_000_000)
    trial.world.start(name=name)
    trial.go(for_us=8_000_000)


def http_proxy_frozen(*, trial: Trial) -> None:
    """An HTTP proxy stops for longer than its view's lease, while the primary is replaced, and goes on."""
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
    world.await_that(test=lambda: world.processes[name].dead, within_us=20_000_000, what=f"{name} has stopped")


def await_ready(*, world: World, name: str) -> None:
    def ready() -> bool:
        return name in world.roles and world.http_proxy(name=name).ready.unready() is None

    world.await_that(test=ready, within_us=20_000_000, what=f"{name} is ready")


def http_proxy_blind(*, trial: Trial) -> None:
    """An HTTP proxy is cut off from all backends, and from them alone: the others' news call them fit."""
    world = trial.world
    name = world.rng.choice(world.http_proxy_names)
    trial.fault()
    world.cut(ones=[name], others=world.backend_names())
    trial.go(for_us=9_000_000)
    world.heal()
    trial.go(for_us=SETTLE_US)


def http_proxies_stopped(*, trial: Trial) -> None:
    """Every HTTP proxy in turn is stopped in order and started again; no client loses its session."""
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
    """The platform drains each HTTP proxy in turn by its own word, waits until it is empty, and only then ends it."""
    world = trial.world
    trial.fault()
    for name in world.http_proxy_names:
        status, _ = world.ask(name=name, method="POST", path="/drain")
        if status != 200:
            trial.verdict.wrong.append(f"drain: {status}")
        empty = world.http_proxy(name=name).sessions.open
        empty_us = world.await_that(test=lambda: not empty, within_us=8_000_000, what=f"{name} is empty")  # noqa: B023
        trial.verdict.note(name="drained", value_us=empty_us)
        trial.go(for_us=500_000)
        world.stop(name=name)
        await_end(world=world, name=name)
        world.start(name=name)
        await_ready(world=world, name=name)
        trial.go(for_us=2_000_000)


def clients_vanish(*, trial: Trial) -> None:
    """Clients die inside their transactions; what they locked must come free, and nothing of theirs is kept."""
    world = trial.world
    for caller in world.callers[:4]:
        caller.abandons = True
    trial.fault()
    trial.go(for_us=10_000_000)
    for caller in world.callers[:4]:
        caller.abandons = False
    trial.go(for_us=4_000_000)


def kickoff(*, trial: Trial) -> None:
    """A membership of several times what one database can take; another database has its few usual clients."""
    world = trial.world
    for name in world.databases["db0"]:
        world.backend(name=name).service_us = 600_000
    quiet = [caller for caller in world.callers if caller.database == "db1"]
    for caller in quiet[4:]:
        caller.stopped = True
    start_us = world.now_us
    trial.go(for_us=12_000_000)
    membership = [e for e in world.history if e.start_us > start_us and e.end_us and e.database == "db0"]
    calm = [e for e in world.history if e.start_us > start_us and e.end_us and e.database == "db1"]
    rejected = sorted(e.waited_us for e in membership if e.kind == "crowded")
    served = sum(e.outcome == "done" and e.verb in checks.SERVICES[1:] for e in membership)
    if len(rejected) < 300 or served < 100:
        trial.verdict.wrong.append(f"no membership: {served} served, {len(rejected)} denied")
    trial.verdict.note(name="denied after, p90", value_us=rejected[len(rejected) * 90 // 100] if rejected else 0)
    # why: a job given up on is told at once; only one that might still have been served may have waited
    if rejected and rejected[len(rejected) * 90 // 100] > 100_000:
        trial.verdict.wrong.append(f"denials were held back: p90 {rejected[len(rejected) * 90 // 100]} us")
    shares = Counter(e.caller for e in membership if e.outcome == "done" and e.verb in checks.SERVICES[1:])
    # why: nobody in the membership may live at the others' cost
    if shares and max(shares.values()) > 4 * shares.total() // len(shares) + 4:
        trial.verdict.wrong.append(f"one of the membership was served {max(shares.values())} times of {served}")
    calm_spans = sorted(e.end_us - e.start_us for e in calm if e.outcome == "done")
    trial.verdict.note(name="the calm database, p99", value_us=calm_spans[len(calm_spans) * 99 // 100])
    if any(e.kind == "crowded" for e in calm) or calm_spans[len(calm_spans) * 99 // 100] > 200_000:
        trial.verdict.wrong.append("the calm database suffers from the other's membership")
    waiting = max(
        len(p.waiting)
        for n in world.http_proxy_names
        for p in world.http_proxy(name=n).connection_pools.pools.values()
    )
    if waiting > world.http_proxy(name="stall-0").connection_pools.queue_limit:
        trial.verdict.wrong.append(f"{waiting} jobs wait in one queue")
    for name in world.databases["db0"]:
        world.backend(name=name).service_us = 2_000
    trial.fault()
    trial.go(for_us=4_000_000)


def cap_held(*, trial: Trial) -> None:
    """An HTTP proxy goes, its slot is freed, it comes back.

    Backends that would take any number count their channels.
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

    world.await_that(test=grown, within_us=30_000_000, what="the others have the lost one's part")
    trial.go(for_us=3_000_000)
    world.start(name=name)
    trial.go(for_us=8_000_000)
    for each in world.backend_names():
        found = world.backend(name=each).peak_connections
        trial.verdict.count(name="channels at once", value=found)
        if found > world.cap:
            trial.verdict.wrong.append(f"{each} had {found} channels at once, cap {world.cap}")
    if world.http_proxy(name=name).connection_pools.pools[trial.primary].limit == 0:
        trial.verdict.wrong.append(f"{name} got no part of the cap back")


def sites_changed(*, trial: Trial) -> None:
    """Clients go over to another site's HTTP proxies with their sessions, again and again."""
    world = trial.world
    lost = sum(caller.sessions_lost for caller in world.callers)
    for _ in range(6):
        for caller in world.callers:
            caller.move_on()
        trial.go(for_us=2_000_000)
    if sum(caller.sessions_lost for caller in world.callers) != lost:
        trial.verdict.wrong.append("sessions were lost by going to another site")
