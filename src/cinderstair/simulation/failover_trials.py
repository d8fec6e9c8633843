"""Leads: primaries that die, stop, are cut off or muted, and what follows them."""

import json

from . import checks
from .trial import SERVICE_BOUND_US, SETTLE_US, Trial


def primary_killed(*, trial: Trial) -> None:
    """A primary crashes, and comes back later with what only it had."""
    name = trial.primary
    trial.fault()
    trial.world.kill(name=name)
    trial.go(for_us=SETTLE_US)
    trial.world.start(name=name)
    trial.go(for_us=6_000_000)


def primary_frozen(*, trial: Trial) -> None:
    """A primary stops for longer than every lease and goes on as if nothing had been."""
    name = trial.primary
    trial.fault()
    trial.world.freeze(name=name)
    trial.go(for_us=9_000_000)
    trial.world.thaw(name=name)
    trial.go(for_us=8_000_000)


def primary_cut(*, trial: Trial) -> None:
    """A primary is cut off from all but one HTTP proxy, which reaches it but not the register replicas."""
    world, name = trial.world, trial.primary
    near = next(n for n in world.http_proxy_names if n != trial.holder)
    others = [n for n in world.addresses if n not in (name, near)]
    trial.fault()
    world.cut(ones=[name, near], others=others)
    trial.go(for_us=10_000_000)
    world.heal()
    trial.go(for_us=8_000_000)


def override_under_cut(*, trial: Trial) -> None:
    """An operator moves a lead by hand just as the old primary and one HTTP proxy are cut off together."""
    world, name = trial.world, trial.primary
    near = next(n for n in world.http_proxy_names if n != trial.holder)
    others = [n for n in world.addresses if n not in (name, near)]
    holder, replica = trial.holder, trial.in_sync[0]
    world.roles["platform"].promotion_us = 100_000
    for each in world.http_proxy_names:
        # why: the longer all views last, the longer the cut HTTP proxy goes on reading by its old one
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


def primary_muted(*, trial: Trial) -> None:
    """A primary hears everything and is heard by nobody."""
    world, name = trial.world, trial.primary
    trial.fault()
    world.cut(ones=[name], others=[n for n in world.addresses if n != name], both=False)
    trial.go(for_us=10_000_000)
    world.heal()
    trial.go(for_us=8_000_000)


def holder_killed_too(*, trial: Trial) -> None:
    """A primary crashes, and so does the HTTP proxy that moves the lead, at some moment of the move."""
    world, name, holder = trial.world, trial.primary, trial.holder
    trial.fault()
    world.kill(name=name)
    trial.go(for_us=world.rng.randrange(2_500_000, 6_000_000))
    world.kill(name=holder)
    trial.go(for_us=SETTLE_US)
    world.start(name=holder)
    world.start(name=name)
    trial.go(for_us=6_000_000)


def holder_blind(*, trial: Trial) -> None:
    """The HTTP proxy that moves leads is cut off from all backends alone, for good, and then the primary dies."""
    world, holder = trial.world, trial.holder
    world.cut(ones=[holder], others=world.backend_names())
    trial.go(for_us=world.rng.randrange(0, 3_000_000))
    world.kill(name=trial.primary)
    trial.fault()
    trial.go(for_us=SETTLE_US + 4_000_000)
    world.heal()
    trial.go(for_us=4_000_000)


def candidate_killed_too(*, trial: Trial) -> None:
    """A primary crashes, and then the one that was placed to follow it."""
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


def deaf_replica(*, trial: Trial) -> None:
    """One replica stops receiving; a while later the primary dies."""
    world, name = trial.world, trial.primary
    deaf = trial.in_sync[0]
    world.backend(name=deaf).deaf = True
    trial.go(for_us=world.rng.randrange(200_000, 4_000_000))
    killed_us = world.now_us
    world.kill(name=name)
    trial.go(for_us=9_000_000)
    # why: with one of three left and one deaf nobody is in sync, so writes are denied; reads must be back
    gap_us = checks.gap_us(history=world.history, from_us=killed_us, until_us=world.now_us, verbs=("primary",))
    trial.verdict.note(name="without a primary read", value_us=gap_us, bound_us=SERVICE_BOUND_US)
    trial.fault()
    world.backend(name=deaf).deaf = False
    trial.go(for_us=SETTLE_US)
    world.start(name=name)
    trial.go(for_us=6_000_000)


def promotion_lost(*, trial: Trial) -> None:
    """The platform promotes, and its answer is lost, again and again."""
    world, name = trial.world, trial.primary
    world.network.lose_answers["platform"] = 0.8
    trial.fault()
    world.kill(name=name)
    trial.go(for_us=SETTLE_US)
    world.network.lose_answers.clear()
    world.start(name=name)
    trial.go(for_us=5_000_000)


def primary_and_replica_lost(*, trial: Trial) -> None:
    """The primary and one in-sync replica vanish at once; the other holds everything, and one comes back."""
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
