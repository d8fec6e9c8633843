"""The failures that a day is made of: all that the users say fails, each against whom it hurts most."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace

from .day import Day
from .window_trials import window

Undo = Callable[[], None]
Strike = Callable[..., Undo | None]
RESYNC_US = 9_000_000
CONTROLLER_US = 14_000_000


def nothing() -> None:
    """Nothing has to be undone."""


# ---- backends


def backend_killed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    day.world.kill(name=name)
    return lambda: day.world.start(name=name)


def backend_frozen(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    day.world.freeze(name=name)
    return lambda: day.world.thaw(name=name)


def backend_cut(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    others = [other for other in day.world.addresses if other != name]
    day.world.cut(ones=[name], others=others, both=rng.random() < 0.5)
    return lambda: day.world.mend(name=name)


def backend_slow(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None
    day.world.backend(name=name).service_us = 100_000
    return lambda: setattr(day.world.backend(name=name), "service_us", 2_000)


def replica_deaf(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US, primary=False)
    if not name:
        return None
    day.world.backend(name=name).deaf = True
    return lambda: setattr(day.world.backend(name=name), "deaf", False)


def replica_lags(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.backend(rng=rng, for_us=length_us, primary=False)
    if not name:
        return None
    day.world.backend(name=name).apply_us = 3_000_000
    return lambda: setattr(day.world.backend(name=name), "apply_us", 5_000)


def backend_empties(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.backend(rng=rng, for_us=length_us + RESYNC_US)
    if not name:
        return None

    def say(path: str) -> None:
        day.world.ask(name=name, method="POST", path=path, body=b"{}")

    say("/empty")
    return lambda: say("/refill")


def backend_replaced(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """In order, or because it is gone for good; either way a blank one takes its place."""
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
    day.world.listed[database] = [spare if each == name else each for each in day.world.listed[database]]
    day.submit(rng=rng)
    return lambda: day.world.kill(name=name)


def answers_lost(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.trial.primary_of(database=rng.choice(list(day.world.databases)))
    day.world.network.lose_answers[name] = 0.1
    return lambda: day.world.network.lose_answers.__setitem__(name, 0.0)


def promotions_lost(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    day.world.network.lose_answers["platform"] = 0.7
    return lambda: day.world.network.lose_answers.__setitem__("platform", 0.0)


# ---- HTTP proxies and clients


def http_proxy_killed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.http_proxy(rng=rng, for_us=length_us + 3_000_000)
    if not name:
        return None
    day.world.kill(name=name)
    return lambda: day.world.start(name=name)


def http_proxy_frozen(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.http_proxy(rng=rng, for_us=length_us + 3_000_000)
    if not name:
        return None
    day.world.freeze(name=name)
    return lambda: day.world.thaw(name=name)


def http_proxy_cut(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Cut off from all register replicas, from all backends, or from everyone; its clients still reach it."""
    name = day.http_proxy(rng=rng, for_us=length_us + 3_000_000)
    if not name:
        return None
    everyone = [other for other in day.world.addresses if other != name]
    day.world.cut(
        ones=[name], others=rng.choice([everyone, day.world.register_replica_names, day.world.backend_names()])
    )
    return lambda: day.world.mend(name=name)


def http_proxy_stopped(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """A planned stop, by signal or by the platform's word; the machine comes back later."""
    name = day.http_proxy(rng=rng, for_us=length_us + 12_000_000)
    if not name:
        return None
    if rng.random() < 0.5:
        day.world.ask(name=name, method="POST", path="/drain")
    day.world.stop(name=name)

    def again() -> None:
        # why: it may still be waiting for its last clients, and only its own end frees its place
        day.world.await_that(
            test=lambda: day.world.processes[name].dead, within_us=12_000_000, what=f"{name} has ended"
        )
        day.world.start(name=name)

    return again


def settings_changed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    for name in day.world.ups():
        http_proxy = day.world.http_proxy(name=name)
        http_proxy.resettle(settings=replace(http_proxy.settings, queue_limit=rng.randrange(100, 300)))
    return nothing


def clients_move(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    for caller in rng.sample(day.world.callers, len(day.world.callers) // 5):
        if not caller.once:
            caller.move_on()
    return nothing


def channels_reset(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    backends = set(day.world.backend_names())
    connections = [connection for connection in day.world.network.connections if connection.server.name in backends]
    for connection in rng.sample(connections, len(connections) // 4):
        connection.reset()
    return nothing


def membership(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    database = rng.choice(list(day.world.databases))
    mine = [caller for caller in day.world.callers if caller.database == database and not caller.once]
    for caller in mine:
        caller.think_us //= 6

    def calm() -> None:
        for caller in mine:
            caller.think_us *= 6

    return calm


# ---- register replicas and operators


def register_replica_killed(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.register_replica(rng=rng, for_us=length_us + 5_000_000)
    if not name:
        return None
    day.world.kill(name=name)
    return lambda: day.world.start(name=name)


def register_replica_frozen(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.register_replica(rng=rng, for_us=length_us + 5_000_000)
    if not name:
        return None
    day.world.freeze(name=name)
    return lambda: day.world.thaw(name=name)


def register_replica_torn(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    name = day.register_replica(rng=rng, for_us=length_us + 5_000_000)
    if not name:
        return None
    day.world.disks[name].tear_next = True
    day.submit(rng=rng)

    def again() -> None:
        day.world.disks[name].tear_next = False
        if name in day.world.halted:
            del day.world.halted[name]
            day.world.start(name=name)

    return again


def register_replica_blank(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """The disk of a machine is lost; it comes back blank."""
    name = day.register_replica(rng=rng, for_us=length_us + 15_000_000)
    if not name:
        return None
    day.world.kill(name=name)
    day.world.disks[name].wipe()
    return lambda: day.world.start(name=name)


def operators(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """Two at once with the same version, an old one again, and a broken one."""
    world, version = day.world, day.next()
    bodies = [world.configuration(version=version, stalls={"stall-0": {"hall": each}}) for each in ("old", "new")]

    async def both() -> list[tuple[int, bytes]]:
        names = rng.sample(world.ups(), 2)
        asks = [
            world._ask(name=name, method="PUT", path="/v1/configuration", body=body)
            for name, body in zip(names, bodies, strict=True)
        ]
        return list(await asyncio.gather(*asks))

    answers = world.run(work=both())
    for body, (status, answer) in zip(bodies, answers, strict=True):
        day.trial.reported(version=version, body=body, status=status, answer=answer)
    if [status for status, _ in answers].count(200) == 2:
        day.trial.verdict.wrong.append(f"two operators were both told that version {version} stands")
    if day.trial.accepted:
        older = max(day.trial.accepted) - 1
        for body in (world.configuration(version=max(1, older), stalls={"x": {"y": "z"}}), b'{"version": 99999, "da'):
            status, _ = world.ask(name=rng.choice(world.ups()), method="PUT", path="/v1/configuration", body=body)
            if status == 200:
                day.trial.verdict.wrong.append(f"accepted: {body[:40]!r}")
    return nothing


def data_centre_moved(*, day: Day, rng: random.Random, length_us: int) -> Undo | None:
    """A booked window over one backend of each database, leads among them, and two HTTP proxies."""
    world = day.world
    # why: one window a day, since its hall keeps its labels
    if day.windows:
        return None
    data_centre = [rng.choice(world.listed[database]) for database in world.databases]
    day.old = (*data_centre, *rng.sample(world.http_proxy_names, 2))
    booked = [window(world=world, in_us=1_500_000, for_us=CONTROLLER_US + length_us)]
    day.windows = booked
    day.submit(rng=rng)

    # why: the window ends by itself, in the middle of whatever else falls then
    return nothing


INJECTED_FAULTS: dict[str, Strike] = {
    each.__name__: each
    for each in (
        backend_killed,
        backend_frozen,
        backend_cut,
        backend_slow,
        replica_deaf,
        replica_lags,
        backend_empties,
        backend_replaced,
        answers_lost,
        promotions_lost,
        http_proxy_killed,
        http_proxy_frozen,
        http_proxy_cut,
        http_proxy_stopped,
        settings_changed,
        clients_move,
        channels_reset,
        membership,
        register_replica_killed,
        register_replica_frozen,
        register_replica_torn,
        register_replica_blank,
        operators,
        data_centre_moved,
    )
}


def last_injected_fault(*, day: Day, rng: random.Random) -> None:
    """The day's last fault: a primary and the holder of its duty, two register replicas, or every machine at once."""
    world, kind = day.world, rng.choice(["leads", "vaults", "power"])
    if kind == "leads":
        world.kill(name=day.trial.primary_of(database=rng.choice(list(world.databases))))
        world.kill(name=day.trial.holder)
    elif kind == "vaults":
        for name in rng.sample(world.register_replica_names, 2):
            world.kill(name=name)
    else:
        names = [name for name in world.addresses if name != "platform" and not world.processes[name].dead]
        for name in names:
            world.kill(name=name)
        for name in names:
            world.start(name=name)
