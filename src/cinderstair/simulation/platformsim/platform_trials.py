"""All trials on the simulated platform, and how one is run."""

from collections.abc import Callable
from typing import NamedTuple

from ...pooler.link_limits import CONTROL_LINKS
from . import (
    config_trials,
    control_mix,
    control_trials,
    failover_trials,
    few_links_trials,
    machine_trials,
    mixed_trials,
    shard_trials,
    succession_trials,
)
from .platform_verdict import PlatformVerdict
from .platform_world import PAUSES_US, PlatformWorld
from .referee import DRAIN_US
from .repository import see_adapter
from .stream_fabric import REGION_US

ALWAYS = ("WIRE", "UNASKED", "ROUTE", "MIXED", "PINNED", "TWICE", "STALE", "CONFIG")
MOVE = ("LOST", "ONE")


class Trial(NamedTuple):
    """`needs` are the rules beyond the usual ones that must have had a chance to be broken."""

    play: Callable[[PlatformWorld], None]
    needs: tuple[str, ...] = ()
    waits_for: int = 1
    clients: int = 9
    think_us: int = 280_000
    transaction_share: float = 0.3
    proxies: int = 3
    services: int = 2
    max_links: int = 60
    region_us: int = REGION_US
    drain_us: int = DRAIN_US
    write_share: float = 0.4
    pauses_us: tuple[int, ...] = PAUSES_US
    shape: str = ""


def in_both_shapes(*, play: Callable[[PlatformWorld], None]) -> tuple[Trial, Trial]:
    """A match afternoon: many small writes and reads. A month's end: mostly transactions."""
    match = Trial(play, ("SHARD",), clients=18, think_us=90_000, transaction_share=0.1, shape="_in_a_match")
    rush = Trial(play, ("SHARD",), clients=18, write_share=0.6, transaction_share=0.7, shape="_in_a_rush")
    return match, rush


TRIALS: dict[str, Trial] = {
    trial.play.__name__ + trial.shape: trial
    for trial in (
        Trial(failover_trials.calm_day),
        Trial(failover_trials.primary_crash),
        Trial(failover_trials.dark_primary, MOVE),
        Trial(failover_trials.primary_crash_replica_deaf, MOVE),
        Trial(failover_trials.replicas_lag, MOVE),
        Trial(failover_trials.replica_crash),
        Trial(failover_trials.release_primary, ("LOST", "ONE", "DRAIN")),
        Trial(failover_trials.leaving_primary_crash, ("LOST",)),
        Trial(failover_trials.release_primary_replicas_deaf, ("LOST",)),
        Trial(failover_trials.release_primary_soon, drain_us=2_500_000),
        Trial(failover_trials.release_primary_alone),
        Trial(failover_trials.release_both, ("LOST", "DRAIN")),
        Trial(failover_trials.release_both_far, ("LOST", "DRAIN"), region_us=40_000),
        Trial(failover_trials.release_replicas, ("DRAIN",)),
        Trial(failover_trials.holder_killed, MOVE),
        Trial(failover_trials.two_holders, MOVE),
        Trial(failover_trials.proxy_cut_off, MOVE),
        Trial(failover_trials.proxy_cut_off_unconfirmed, ("ONE", "REFUSED"), waits_for=0),
        Trial(failover_trials.primary_cut),
        Trial(failover_trials.primary_cut_from_proxies, clients=18, proxies=6),
        Trial(failover_trials.silence_looked_at, clients=24, proxies=4, services=5, think_us=700_000),
        Trial(failover_trials.primary_dies_behind_detours, MOVE, clients=18, proxies=6),
        Trial(failover_trials.platform_troubled, (*MOVE, "REFUSED")),
        Trial(failover_trials.far_regions, region_us=75_000),
        Trial(failover_trials.candidate_crash, (*MOVE, "REFUSED")),
        Trial(machine_trials.controller_killed),
        Trial(machine_trials.backends_unheard),
        Trial(machine_trials.controller_wiped),
        Trial(machine_trials.newest_on_one),
        Trial(machine_trials.proxies_killed),
        Trial(machine_trials.proxies_frozen),
        Trial(machine_trials.proxy_alone, clients=18),
        Trial(machine_trials.proxy_frozen_in_move),
        Trial(machine_trials.proxies_stopped, ("LOST",)),
        Trial(machine_trials.controllers_stopped, ("LOST",)),
        Trial(machine_trials.all_killed, ("RECOVER",)),
        Trial(machine_trials.all_powered_off, ("RECOVER",)),
        Trial(machine_trials.answers_lost),
        Trial(machine_trials.backends_slow),
        Trial(machine_trials.connections_reset),
        Trial(machine_trials.connections_refused),
        Trial(config_trials.configurations),
        Trial(config_trials.configurations_under_kills),
        Trial(control_trials.cut_off_for_long, ("DRAIN",)),
        Trial(control_trials.orders_race),
        Trial(control_trials.orders_at_once),
        Trial(succession_trials.replaced_then_wiped),
        Trial(succession_trials.replaced_thrice),
        Trial(succession_trials.wiped_thrice),
        Trial(succession_trials.returned_then_lost),
        Trial(succession_trials.drawn_at_random),
        Trial(control_mix.control_mixed),
        Trial(control_mix.control_mixed_closing, ("RECOVER",)),
        Trial(mixed_trials.mixed),
        *(
            Trial(play, needs, clients=18, proxies=6, max_links=9)
            for play, needs in (
                (few_links_trials.few_links_calm, ("CAP",)),
                (few_links_trials.few_links_killed, ("CAP",)),
                (few_links_trials.few_links_frozen, ("CAP",)),
                (few_links_trials.few_links_frozen_in_move, ("CAP",)),
                (few_links_trials.few_links_stopped, ("CAP", "LOST")),
                (few_links_trials.few_links_promoted, ("CAP", *MOVE)),
                (few_links_trials.few_links_released, ("CAP", "LOST")),
                (few_links_trials.few_links_all_killed, ("CAP",)),
                (few_links_trials.few_links_old_primary, ("CAP", *MOVE)),
                (few_links_trials.few_links_ids_change, ("CAP",)),
                (few_links_trials.few_links_mixed, ("CAP",)),
                (few_links_trials.few_links_answers_lost, ("CAP",)),
            )
        ),
        Trial(
            few_links_trials.few_links_shards,
            ("SHARD", "CAP"),
            clients=24,
            think_us=90_000,
            proxies=6,
            max_links=9,
        ),
        Trial(shard_trials.shards_in_a_match, ("SHARD",), clients=24, think_us=90_000),
        Trial(shard_trials.shards_in_a_rush, ("SHARD",), clients=18, transaction_share=0.7),
        Trial(shard_trials.shards_proxy_deaf, ("SHARD",)),
        Trial(shard_trials.shards_proxy_frozen, ("SHARD",)),
        Trial(shard_trials.shards_proxy_disagrees, ("SHARD",)),
        Trial(shard_trials.shards_too_few, ("SHARD",)),
        Trial(shard_trials.shards_not_brought, ("SHARD",)),
        Trial(shard_trials.shards_holder_killed, ("SHARD",)),
        Trial(shard_trials.shards_two_operators, ("SHARD",)),
        Trial(shard_trials.shards_with_a_crash, ("SHARD",)),
        Trial(shard_trials.shards_slow_handover, ("SHARD",)),
        *(trial for play in shard_trials.SHAPED for trial in in_both_shapes(play=play)),
        Trial(
            shard_trials.shards_long_transaction,
            ("SHARD",),
            clients=24,
            write_share=0.8,
            transaction_share=0.8,
            pauses_us=(0, 1_800_000),
        ),
        Trial(
            shard_trials.shards_commit_held_up,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
        Trial(
            shard_trials.shards_commit_held_up_deaf,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
        Trial(
            shard_trials.shards_commit_held_up_frozen,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
        Trial(
            shard_trials.shards_commit_held_up_killed,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
    )
}


def judged(*, world: PlatformWorld, needs: tuple[str, ...]) -> PlatformVerdict:
    referee = world.referee
    chances = referee.chances
    wrong = [*referee.breaches, *(f"error: {each}" for each in world.errors)]
    wrong += [f"{name} halted: {reason}" for name, reason in world.halted.items()]
    wrong += [f"no chance to break {rule}" for rule in (*ALWAYS, *needs) if not chances[rule]]
    if not world.served:
        wrong.append("nothing was served")
    figures = {
        **referee.shard.figures(),
        "full": referee.full,
        "misled": referee.misled,
        "promotions": len(world.platform.calls),
        "dials": world.fabric.dialled,
        "opened": referee.cap.opened,
        "held": referee.cap.most,
        "entered_ms": max(world.entered_us, default=0) // 1_000,
        "config_ms": max(world.operator.took_us, default=0) // 1_000,
    }
    return PlatformVerdict(
        wrong=wrong,
        chances=chances,
        served=world.served,
        owed=world.owed,
        answers=referee.answers,
        figures=figures,
    )


def run_trial(*, name: str, seed: int, log_level: int = 50, clients: int | None = None) -> PlatformVerdict:
    see_adapter()
    trial = TRIALS[name]
    world = PlatformWorld(
        seed=seed,
        waits_for=trial.waits_for,
        proxies=trial.proxies,
        services=trial.services,
        max_links=trial.max_links,
        region_us=trial.region_us,
        drain_us=trial.drain_us,
        log_level=log_level,
    )
    try:
        world.begin()
        # why: what is dealt for the first time is taken a while after the last proxy has its id and its place
        world.advance(for_ms=3_000 if trial.proxies > trial.max_links - CONTROL_LINKS else 0)
        count = trial.clients if clients is None else clients
        world.clients_begin(
            count=count,
            think_us=trial.think_us,
            transaction_share=trial.transaction_share,
            write_share=trial.write_share,
            pauses_us=trial.pauses_us,
        )
        # why: where nothing is acknowledged yet, nothing can be lost
        world.await_that(
            test=lambda: not count or all(len(service.acked) > 2 for service in world.services.values()),
            within_ms=10_000,
            what="commits are acknowledged",
        )
        trial.play(world)
        world.end()
        return judged(world=world, needs=trial.needs)
    except AssertionError as error:
        verdict = judged(world=world, needs=())
        verdict.wrong.append(f"broke off: {error}")
        return verdict
    finally:
        world.close()
