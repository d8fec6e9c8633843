"""Upgrades daemon by daemon: two versions of the records side by side, forward and back, under work."""

from ..runtime.protocol_versions import PROTOCOL_VERSIONS, ProtocolVersions
from .http_proxy_trials import await_end, await_ready
from .trial import SETTLE_US, Trial

# why: a daemon of the version before is the same code with the older table of kinds and the older shapes
BEFORE = ProtocolVersions(lowest=PROTOCOL_VERSIONS.highest - 1, highest=PROTOCOL_VERSIONS.highest - 1)
UNKNOWN_VERSIONS = ProtocolVersions(lowest=PROTOCOL_VERSIONS.highest + 1, highest=PROTOCOL_VERSIONS.highest + 2)


def turned(*, trial: Trial, name: str, protocol_versions: ProtocolVersions) -> None:
    """One daemon is stopped as its page for operators says, and started in another version."""
    world = trial.world
    world.stop(name=name)
    await_end(world=world, name=name)
    world.versions_by_address[name] = protocol_versions
    world.start(name=name)
    if name in world.http_proxy_names:
        await_ready(world=world, name=name)
    trial.go(for_us=1_500_000)


def spoken(*, trial: Trial) -> set[int]:
    """The versions that the HTTP proxies speak with the daemons that they have asked of late."""
    world = trial.world
    return {
        context.peer_client.version(address=world.records(name=other))
        for name in world.ups()
        for context in [world.contexts[name]]
        for other in (*world.http_proxy_names, *world.register_replica_names)
        if other != name and world.up(name=other)
    }


def upgraded_in_turn(*, trial: Trial) -> None:
    """From the version before to this one in any order, some back again, and a crash in the middle of it."""
    world, rng = trial.world, trial.world.rng
    names = [*world.http_proxy_names, *world.register_replica_names]
    rng.shuffle(names)
    lost = sum(caller.sessions_lost for caller in world.callers)
    if spoken(trial=trial) != {BEFORE.highest}:
        trial.verdict.wrong.append(f"before any upgrade the versions {spoken(trial=trial)} are spoken")
    struck = rng.randrange(2, len(names) - 1)
    for step, name in enumerate(names):
        turned(trial=trial, name=name, protocol_versions=PROTOCOL_VERSIONS)
        if step == struck:
            victim = trial.primary
            trial.fault()
            world.kill(name=victim)
            back = rng.choice(names[:step])
            turned(trial=trial, name=back, protocol_versions=BEFORE)
            trial.go(for_us=SETTLE_US)
            world.start(name=victim)
            trial.go(for_us=4_000_000)
            names.append(back)
    trial.submit(version=2)
    trial.go(for_us=4_000_000)
    if spoken(trial=trial) != {PROTOCOL_VERSIONS.highest}:
        trial.verdict.wrong.append(f"after the upgrade the versions {spoken(trial=trial)} are spoken")
    if sum(caller.sessions_lost for caller in world.callers) != lost:
        trial.verdict.wrong.append("sessions were lost in an upgrade")


def unknown_version(*, trial: Trial) -> None:
    """An HTTP proxy that comes back in a version that nobody here knows is denied, and named once each."""
    world = trial.world
    name = world.rng.choice(world.http_proxy_names)
    trial.fault()
    world.stop(name=name)
    await_end(world=world, name=name)
    world.versions_by_address[name] = UNKNOWN_VERSIONS
    world.start(name=name)
    trial.go(for_us=8_000_000)
    http_proxy = world.http_proxy(name=name)
    if http_proxy.ready.unready() is None:
        trial.verdict.wrong.append(f"{name} serves though nobody understands it")
    logged = {
        address for address, other in world.contexts[name].peer_client.logged_mismatches if other == PROTOCOL_VERSIONS
    }
    seeds = set(world.settings(name=name).seeds)
    if not seeds <= logged or not world.contexts[name].counters.counts.get("records.otherVersion"):
        trial.verdict.wrong.append(f"{name} does not say whom it can't understand: {logged}")
    mismatch = (name, UNKNOWN_VERSIONS)
    heard = [n for n in world.register_replica_names if mismatch in world.contexts[n].peer_client.logged_mismatches]
    if not heard:
        trial.verdict.wrong.append(f"nobody says that {name} can't be understood")
    world.kill(name=name)
    world.versions_by_address[name] = PROTOCOL_VERSIONS
    world.start(name=name)
    await_ready(world=world, name=name)
    trial.go(for_us=4_000_000)
