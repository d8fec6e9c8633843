"""The kinds of faults that are injected into a day.

Each function picks a machine, injects the fault and returns its undo, or None if it must be skipped because too many
machines are already faulty.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from .day import Day
from .window_trials import window

Undo = Callable[[], None]
FaultInjector = Callable[..., Undo | None]
RESYNC_US = 9_000_000
WINDOW_MARGIN_US = 14_000_000


def no_undo() -> None:
    """The undo of a fault that ends by itself."""


# ---- backends


def backend_killed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Kills a backend and restarts it."""
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    day.world.kill(name=name)
    return lambda: day.world.start(name=name)


def backend_frozen(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Freezes a backend."""
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    day.world.freeze(name=name)
    return lambda: day.world.thaw(name=name)


def backend_cut(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Partitions a backend from all others, half of the time only outbound."""
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    others = [other for other in day.world.addresses if other != name]
    day.world.cut(ones=[name], others=others, both=rng.random() < 0.5)
    return lambda: day.world.mend(name=name)


def backend_slow(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Raises the service time of a backend from 2 ms to 100 ms."""
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    day.world.backend(name=name).service_us = 100_000
    return lambda: setattr(day.world.backend(name=name), "service_us", 2_000)


def replica_not_replicating(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Stops the replication of a replica."""
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US, primary=False)
    if not name:
        return None
    day.world.backend(name=name).replication_paused = True
    return lambda: setattr(day.world.backend(name=name), "replication_paused", False)


def replica_lags(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Delays the apply of a replica by 3 s."""
    name = day.backend(rng=rng, for_us=length_us, primary=False)
    if not name:
        return None
    day.world.backend(name=name).apply_us = 3_000_000
    return lambda: setattr(day.world.backend(name=name), "apply_us", 5_000)


def backend_drains(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Lets a backend report that it drains."""
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None

    def say(path: str) -> None:
        day.world.ask(name=name, method="POST", path=path, body=b"{}")

    say("/empty")
    return lambda: say("/refill")


def backend_replaced(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Replaces a backend by an empty spare; half of the time it is killed first."""
    name = day.backend(rng=rng, for_us=length_us + 3 * RESYNC_US)
    if not name:
        return None
    database = day.world.database_of(name=name)
    spare = next((n for n in day.world.databases[database] if n not in day.used), "")
    if not spare:
        return None
    day.used.add(spare)
    if rng.random() < 0.5:
        day.world.kill(name=name)
    day.world.configured[database] = [spare if each == name else each for each in day.world.configured[database]]
    day.submit(rng=rng)
    return lambda: day.world.kill(name=name)


def answers_lost(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Loses a tenth of a primary's responses."""
    name = day.trial.primary_of(database=rng.choice(list(day.world.databases)))
    day.world.network.lose_answers[name] = 0.1
    return lambda: day.world.network.lose_answers.__setitem__(name, 0.0)


def promotions_lost(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Loses 70 % of the platform's responses."""
    day.world.network.lose_answers["platform"] = 0.7
    return lambda: day.world.network.lose_answers.__setitem__("platform", 0.0)


# ---- HTTP proxies and clients


def http_proxy_killed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Kills an HTTP proxy and restarts it."""
    name = day.http_proxy(rng=rng, for_us=length_us + 3_000_000)
    if not name:
        return None
    day.world.kill(name=name)
    return lambda: day.world.start(name=name)


def http_proxy_frozen(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Freezes an HTTP proxy."""
    name = day.http_proxy(rng=rng, for_us=length_us + 3_000_000)
    if not name:
        return None
    day.world.freeze(name=name)
    return lambda: day.world.thaw(name=name)


def http_proxy_cut(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Partitions an HTTP proxy from all register replicas, all backends, or everyone; its clients still reach it."""
    name = day.http_proxy(rng=rng, for_us=length_us + 3_000_000)
    if not name:
        return None
    everyone = [other for other in day.world.addresses if other != name]
    day.world.cut(
        ones=[name], others=rng.choice([everyone, day.world.register_replica_names, day.world.backend_names()])
    )
    return lambda: day.world.mend(name=name)


def http_proxy_stopped(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Stops an HTTP proxy gracefully, half of the time after a drain request, and starts it later."""
    name = day.http_proxy(rng=rng, for_us=length_us + 12_000_000)
    if not name:
        return None
    if rng.random() < 0.5:
        day.world.ask(name=name, method="POST", path="/drain")
    day.world.stop(name=name)

    def restart() -> None:
        # It may still wait for its last clients; it must have ended before its name is used again
        day.world.await_that(
            test=lambda: day.world.processes[name].dead, within_us=12_000_000, what=f"{name} has ended"
        )
        day.world.start(name=name)

    return restart


def settings_changed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Changes the queue limit of all running HTTP proxies."""
    for name in day.world.http_proxies_up():
        http_proxy = day.world.http_proxy(name=name)
        http_proxy.update_settings(settings=replace(http_proxy.settings, queue_limit=rng.randrange(100, 300)))
    return no_undo


def clients_switch_http_proxy(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Moves a fifth of the clients to another HTTP proxy."""
    for caller in rng.sample(day.world.callers, len(day.world.callers) // 5):
        if not caller.once:
            caller.switch_http_proxy()
    return no_undo


def connections_reset(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Resets a quarter of the connections to backends."""
    backends = set(day.world.backend_names())
    connections = [connection for connection in day.world.network.connections if connection.server.name in backends]
    for connection in rng.sample(connections, len(connections) // 4):
        connection.reset()
    return no_undo


def load_spike(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Raises the request rate of one database's clients sixfold."""
    database = rng.choice(list(day.world.databases))
    mine = [caller for caller in day.world.callers if caller.database == database and not caller.once]
    for caller in mine:
        caller.think_us //= 6

    def slow_down() -> None:
        for caller in mine:
            caller.think_us *= 6

    return slow_down


# ---- register replicas and operators


def register_replica_killed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Kills a register replica and restarts it."""
    name = day.register_replica(rng=rng, for_us=length_us + 5_000_000)
    if not name:
        return None
    day.world.kill(name=name)
    return lambda: day.world.start(name=name)


def register_replica_frozen(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Freezes a register replica."""
    name = day.register_replica(rng=rng, for_us=length_us + 5_000_000)
    if not name:
        return None
    day.world.freeze(name=name)
    return lambda: day.world.thaw(name=name)


def register_replica_torn_write(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Tears a register replica's next write, which halts it, and restarts it."""
    name = day.register_replica(rng=rng, for_us=length_us + 5_000_000)
    if not name:
        return None
    day.world.disks[name].tear_next = True
    day.submit(rng=rng)

    def restart() -> None:
        day.world.disks[name].tear_next = False
        if name in day.world.halted:
            del day.world.halted[name]
            day.world.start(name=name)

    return restart


def register_replica_disk_lost(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Kills a register replica and erases its disk; it returns empty."""
    name = day.register_replica(rng=rng, for_us=length_us + 15_000_000)
    if not name:
        return None
    day.world.kill(name=name)
    day.world.disks[name].wipe()
    return lambda: day.world.start(name=name)


def concurrent_operators(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Two operators submit the same version at once; then an older and a malformed configuration are submitted."""
    world, version = day.world, day.next()
    bodies = [world.configuration(version=version, stalls={"stall-0": {"hall": each}}) for each in ("old", "new")]

    async def submit_both() -> list[tuple[int, bytes]]:
        names = rng.sample(world.http_proxies_up(), 2)
        asks = [
            world._ask(name=name, method="PUT", path="/v1/configuration", body=body)
            for name, body in zip(names, bodies, strict=True)
        ]
        return list(await asyncio.gather(*asks))

    answers = world.run(work=submit_both())
    for body, (status, answer) in zip(bodies, answers, strict=True):
        day.trial.record_submission(version=version, body=body, status=status, answer=answer)
    if [status for status, _ in answers].count(200) == 2:
        day.trial.verdict.wrong.append(f"two concurrent operators both got version {version} accepted")
    if day.trial.accepted:
        older = max(day.trial.accepted) - 1
        for body in (world.configuration(version=max(1, older), stalls={"x": {"y": "z"}}), b'{"version": 99999, "da'):
            status, _ = world.ask(
                name=rng.choice(world.http_proxies_up()), method="PUT", path="/v1/configuration", body=body
            )
            if status == 200:
                day.trial.verdict.wrong.append(f"accepted an older or malformed configuration: {body[:40]!r}")
    return no_undo


def data_centre_moved(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Submits a window over one backend of each database and two HTTP proxies."""
    world = day.world
    # One window per day: the labels of its machines stay
    if day.windows:
        return None
    data_centre = [rng.choice(world.configured[database]) for database in world.databases]
    day.old = (*data_centre, *rng.sample(world.http_proxy_names, 2))
    windows = [window(world=world, in_us=1_500_000, for_us=WINDOW_MARGIN_US + length_us)]
    day.windows = windows
    day.submit(rng=rng)

    # The window ends by itself, also amid other faults
    return no_undo


INJECTED_FAULTS: dict[str, FaultInjector] = {
    each.__name__: each
    for each in (
        backend_killed,
        backend_frozen,
        backend_cut,
        backend_slow,
        replica_not_replicating,
        replica_lags,
        backend_drains,
        backend_replaced,
        answers_lost,
        promotions_lost,
        http_proxy_killed,
        http_proxy_frozen,
        http_proxy_cut,
        http_proxy_stopped,
        settings_changed,
        clients_switch_http_proxy,
        connections_reset,
        load_spike,
        register_replica_killed,
        register_replica_frozen,
        register_replica_torn_write,
        register_replica_disk_lost,
        concurrent_operators,
        data_centre_moved,
    )
}


def last_injected_fault(*, day: Day, rng: random.Random) -> None:
    """Kills a primary with the failover lease holder, two register replicas, or all machines at once (power loss)."""
    world, kind = day.world, rng.choice(["primary", "register", "power"])
    if kind == "primary":
        world.kill(name=day.trial.primary_of(database=rng.choice(list(world.databases))))
        world.kill(name=day.trial.holder)
    elif kind == "register":
        for name in rng.sample(world.register_replica_names, 2):
            world.kill(name=name)
    else:
        names = [name for name in world.addresses if name != "platform" and not world.processes[name].dead]
        for name in names:
            world.kill(name=name)
        for name in names:
            world.start(name=name)
