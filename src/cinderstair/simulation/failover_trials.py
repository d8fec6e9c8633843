"""Trials of failover: the primary is killed, frozen or partitioned, alone or with the controller or a replica."""

import json

from . import checks
from .trial import SERVICE_BOUND_US, SETTLE_US, Trial


def primary_killed(*, trial: Trial) -> None:
    """The primary is killed and returns later with commits that only it has."""
    name = trial.primary
    trial.fault()
    trial.world.kill(name=name)
    trial.go(for_us=SETTLE_US)
    trial.world.start(name=name)
    trial.go(for_us=6_000_000)


def primary_frozen(*, trial: Trial) -> None:
    """The primary is frozen for longer than every lease, and resumes."""
    name = trial.primary
    trial.fault()
    trial.world.freeze(name=name)
    trial.go(for_us=9_000_000)
    trial.world.thaw(name=name)
    trial.go(for_us=8_000_000)


def primary_cut(*, trial: Trial) -> None:
    """The primary and one HTTP proxy are partitioned together from all others, the register replicas included."""
    world, name = trial.world, trial.primary
    near = next(n for n in world.http_proxy_names if n != trial.holder)
    others = [n for n in world.addresses if n not in (name, near)]
    trial.fault()
    world.cut(ones=[name, near], others=others)
    trial.go(for_us=10_000_000)
    world.heal()
    trial.go(for_us=8_000_000)


def override_under_cut(*, trial: Trial) -> None:
    """An operator overrides the primary just after it was partitioned together with one HTTP proxy."""
    world, name = trial.world, trial.primary
    near = next(n for n in world.http_proxy_names if n != trial.holder)
    others = [n for n in world.addresses if n not in (name, near)]
    holder, replica = trial.holder, trial.in_sync[0]
    world.roles["platform"].promotion_us = 100_000
    for each in world.http_proxy_names:
        # Long view leases let the partitioned HTTP proxy serve longer by its old view
        world.http_proxy(name=each).view.lease_us = 2_500_000
    for caller in world.callers:
        caller.think_us = 60_000
    trial.go(for_us=500_000)
    world.cut(ones=[name, near], others=others)
    trial.fault()
    body = json.dumps({"database": "db0", "backend": replica, "iAcceptLoss": True}).encode()
    status, _ = world.ask(name=holder, method="POST", path="/v1/override", body=body)
    if status != 200:
        trial.verdict.wrong.append(f"override: {status}")
    trial.go(for_us=6_000_000)
    world.heal()
    trial.go(for_us=8_000_000)


def primary_outbound_cut(*, trial: Trial) -> None:
    """All outbound traffic of the primary is lost; it still receives."""
    world, name = trial.world, trial.primary
    trial.fault()
    world.cut(ones=[name], others=[n for n in world.addresses if n != name], both=False)
    trial.go(for_us=10_000_000)
    world.heal()
    trial.go(for_us=8_000_000)


def holder_killed_in_failover(*, trial: Trial) -> None:
    """The primary is killed, and during the failover the HTTP proxy that runs it."""
    world, name, holder = trial.world, trial.primary, trial.holder
    trial.fault()
    world.kill(name=name)
    trial.go(for_us=world.rng.randrange(2_500_000, 6_000_000))
    world.kill(name=holder)
    trial.go(for_us=SETTLE_US)
    world.start(name=holder)
    world.start(name=name)
    trial.go(for_us=6_000_000)


def holder_cut_from_backends(*, trial: Trial) -> None:
    """The failover lease holder is partitioned from all backends, for the whole trial; then the primary is killed."""
    world, holder = trial.world, trial.holder
    world.cut(ones=[holder], others=world.backend_names())
    trial.go(for_us=world.rng.randrange(0, 3_000_000))
    world.kill(name=trial.primary)
    trial.fault()
    trial.go(for_us=SETTLE_US + 4_000_000)
    world.heal()
    trial.go(for_us=4_000_000)


def promoted_replica_killed(*, trial: Trial) -> None:
    """The primary is killed, and then the replica that was promoted."""
    world, name = trial.world, trial.primary
    world.kill(name=name)
    trial.go(for_us=world.rng.randrange(3_000_000, 6_500_000))
    second = trial.primary
    trial.fault()
    if second != name:
        world.kill(name=second)
    trial.go(for_us=4_000_000)
    world.start(name=name)
    trial.go(for_us=SETTLE_US)
    if second != name:
        world.start(name=second)
    trial.go(for_us=6_000_000)


def replica_not_replicating(*, trial: Trial) -> None:
    """One replica stops replicating; later the primary is killed."""
    world, name = trial.world, trial.primary
    stalled = trial.in_sync[0]
    world.backend(name=stalled).replication_paused = True
    trial.go(for_us=world.rng.randrange(200_000, 4_000_000))
    killed_us = world.now_us
    world.kill(name=name)
    trial.go(for_us=9_000_000)
    # The one healthy backend has no in-sync replica, so writes are rejected, but reads must be served
    gap_us = checks.gap_us(history=world.history, from_us=killed_us, until_us=world.now_us, verbs=("primary",))
    trial.verdict.note(name="without a primary read", value_us=gap_us, bound_us=SERVICE_BOUND_US)
    trial.fault()
    world.backend(name=stalled).replication_paused = False
    trial.go(for_us=SETTLE_US)
    world.start(name=name)
    trial.go(for_us=6_000_000)


def promotion_lost(*, trial: Trial) -> None:
    """The platform promotes, but most of its responses are lost."""
    world, name = trial.world, trial.primary
    world.network.lose_answers["platform"] = 0.8
    trial.fault()
    world.kill(name=name)
    trial.go(for_us=SETTLE_US)
    world.network.lose_answers.clear()
    world.start(name=name)
    trial.go(for_us=5_000_000)


def primary_and_replica_lost(*, trial: Trial) -> None:
    """The primary and one in-sync replica are killed at once; the other has all commits, and both return later."""
    world, name = trial.world, trial.primary
    replica = world.rng.choice(trial.in_sync)
    killed_us = world.now_us
    world.kill(name=name)
    world.kill(name=replica)
    trial.go(for_us=9_000_000)
    gap_us = checks.gap_us(history=world.history, from_us=killed_us, until_us=world.now_us, verbs=("primary",))
    trial.verdict.note(name="without a primary read", value_us=gap_us, bound_us=SERVICE_BOUND_US)
    trial.fault()
    world.start(name=replica)
    trial.go(for_us=SETTLE_US)
    world.start(name=name)
    trial.go(for_us=6_000_000)
