"""Trials of rolling upgrades and downgrades under load, with two record protocol versions side by side."""

from ..runtime.protocol_versions import PROTOCOL_VERSIONS, ProtocolVersions
from .http_proxy_trials import await_end, await_ready
from .trial import SETTLE_US, Trial

# A daemon of the previous version is the same code, limited to the older message types and layouts
PREVIOUS_VERSIONS = ProtocolVersions(lowest=PROTOCOL_VERSIONS.highest - 1, highest=PROTOCOL_VERSIONS.highest - 1)
UNKNOWN_VERSIONS = ProtocolVersions(lowest=PROTOCOL_VERSIONS.highest + 1, highest=PROTOCOL_VERSIONS.highest + 2)


def restart_in_version(*, trial: Trial, name: str, protocol_versions: ProtocolVersions) -> None:
    """Stops a daemon gracefully and starts it with another range of protocol versions."""
    world = trial.world
    world.stop(name=name)
    await_end(world=world, name=name)
    world.versions_by_address[name] = protocol_versions
    world.start(name=name)
    if name in world.http_proxy_names:
        await_ready(world=world, name=name)
    trial.go(for_us=1_500_000)


def versions_in_use(*, trial: Trial) -> set[int]:
    """Returns the protocol versions that HTTP proxies use with the other daemons."""
    world = trial.world
    return {
        context.peer_client.version(address=world.records(name=other))
        for name in world.http_proxies_up()
        for context in [world.contexts[name]]
        for other in (*world.http_proxy_names, *world.register_replica_names)
        if other != name and world.up(name=other)
    }


def rolling_upgrade(*, trial: Trial) -> None:
    """Upgrades all daemons in random order, with a killed primary and one downgrade in between."""
    world, rng = trial.world, trial.world.rng
    names = [*world.http_proxy_names, *world.register_replica_names]
    rng.shuffle(names)
    lost = sum(caller.sessions_lost for caller in world.callers)
    if versions_in_use(trial=trial) != {PREVIOUS_VERSIONS.highest}:
        trial.verdict.wrong.append(
            f"protocol versions before the upgrade: {versions_in_use(trial=trial)}, not {PREVIOUS_VERSIONS.highest}"
        )
    crash_step = rng.randrange(2, len(names) - 1)
    for step, name in enumerate(names):
        restart_in_version(trial=trial, name=name, protocol_versions=PROTOCOL_VERSIONS)
        if step == crash_step:
            primary = trial.primary
            trial.fault()
            world.kill(name=primary)
            downgraded = rng.choice(names[:step])
            restart_in_version(trial=trial, name=downgraded, protocol_versions=PREVIOUS_VERSIONS)
            trial.go(for_us=SETTLE_US)
            world.start(name=primary)
            trial.go(for_us=4_000_000)
            names.append(downgraded)
    trial.submit(version=2)
    trial.go(for_us=4_000_000)
    if versions_in_use(trial=trial) != {PROTOCOL_VERSIONS.highest}:
        trial.verdict.wrong.append(
            f"protocol versions after the upgrade: {versions_in_use(trial=trial)}, not {PROTOCOL_VERSIONS.highest}"
        )
    if sum(caller.sessions_lost for caller in world.callers) != lost:
        trial.verdict.wrong.append("sessions were lost in an upgrade")


def unknown_version(*, trial: Trial) -> None:
    """An HTTP proxy restarts with versions that no peer supports: it isn't ready, and both sides log the mismatch."""
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
        trial.verdict.wrong.append(f"{name} is ready though no peer supports its protocol versions")
    logged = {
        address for address, other in world.contexts[name].peer_client.logged_mismatches if other == PROTOCOL_VERSIONS
    }
    seeds = set(world.settings(name=name).seeds)
    if not seeds <= logged or not world.contexts[name].counters.counts.get("records.otherVersion"):
        trial.verdict.wrong.append(f"{name} logged version mismatches only with {logged}, expected {seeds}")
    mismatch = (name, UNKNOWN_VERSIONS)
    reporters = [
        n for n in world.register_replica_names if mismatch in world.contexts[n].peer_client.logged_mismatches
    ]
    if not reporters:
        trial.verdict.wrong.append(f"no register replica logged the version mismatch with {name}")
    world.kill(name=name)
    world.versions_by_address[name] = PROTOCOL_VERSIONS
    world.start(name=name)
    await_ready(world=world, name=name)
    trial.go(for_us=4_000_000)
