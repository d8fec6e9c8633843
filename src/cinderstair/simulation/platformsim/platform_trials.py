"""The table of trials on the simulated platform, and the function that runs one."""

from collections.abc import Callable
from typing import NamedTuple

from ...pooler.link_limits import CONTROL_LINKS
from . import (
    config_trials,
    confirming_replica_trials,
    control_fault_mix,
    control_trials,
    controller_loss_trials,
    failover_trials,
    few_links_trials,
    forgotten_replica_trials,
    lost_log_trials,
    machine_trials,
    mixed_trials,
    renamed_primary_trials,
    shard_trials,
)
from .oracle import DRAIN_US
from .platform_trial_result import PlatformTrialResult
from .platform_world import PAUSES_US, PlatformWorld
from .repository import add_adapter_to_path
from .stream_fabric import REGION_US

ALWAYS_REQUIRED = ("WIRE", "UNASKED", "ROUTE", "MIXED", "PINNED", "TWICE", "STALE", "CONFIG")
FAILOVER = ("LOST", "ONE")
LONG_DRAIN_US = 12_000_000


class Trial(NamedTuple):
    """A trial and its workload; `required_rules` must have been checked, besides ALWAYS_REQUIRED."""

    play: Callable[[PlatformWorld], None]
    required_rules: tuple[str, ...] = ()
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
    suffix: str = ""


def with_both_workloads(*, play: Callable[[PlatformWorld], None]) -> tuple[Trial, Trial]:
    """The trial with many short reads and writes, and the same with mostly transactions."""
    match = Trial(play, ("SHARD",), clients=18, think_us=90_000, transaction_share=0.1, suffix="_short_operations")
    rush = Trial(play, ("SHARD",), clients=18, write_share=0.6, transaction_share=0.7, suffix="_transactions")
    return match, rush


TRIALS: dict[str, Trial] = {
    trial.play.__name__ + trial.suffix: trial
    for trial in (
        Trial(failover_trials.calm_day),
        Trial(failover_trials.primary_crash),
        Trial(failover_trials.primary_unreachable, FAILOVER),
        Trial(failover_trials.primary_crash_replication_interrupted, FAILOVER),
        Trial(failover_trials.replicas_lag, FAILOVER),
        Trial(failover_trials.replica_crash),
        Trial(failover_trials.release_primary, ("LOST", "ONE", "DRAIN")),
        Trial(failover_trials.draining_primary_crash, ("LOST",)),
        Trial(failover_trials.release_primary_replication_interrupted, ("LOST",)),
        Trial(failover_trials.release_primary_short_drain, drain_us=2_500_000),
        Trial(failover_trials.release_primary_without_replicas),
        Trial(failover_trials.release_primary_and_replica, ("LOST", "DRAIN")),
        Trial(failover_trials.release_primary_and_replica_far_regions, ("LOST", "DRAIN"), region_us=40_000),
        Trial(failover_trials.release_replicas, ("DRAIN",)),
        Trial(failover_trials.lease_holder_killed, FAILOVER),
        Trial(failover_trials.two_lease_holders, FAILOVER),
        Trial(failover_trials.proxy_partitioned, FAILOVER),
        Trial(failover_trials.proxy_partitioned_unconfirmed_commits, ("ONE", "REFUSED"), waits_for=0),
        Trial(failover_trials.primary_partitioned),
        Trial(failover_trials.primary_partitioned_from_proxies, clients=18, proxies=6),
        Trial(failover_trials.silent_primary_other_links_probed, clients=24, proxies=4, services=5, think_us=700_000),
        Trial(failover_trials.primary_crash_behind_detours, FAILOVER, clients=18, proxies=6),
        Trial(failover_trials.platform_unavailable, (*FAILOVER, "REFUSED")),
        Trial(failover_trials.far_regions, region_us=75_000),
        Trial(failover_trials.candidate_crash, (*FAILOVER, "REFUSED")),
        Trial(confirming_replica_trials.replica_joins_during_failover, FAILOVER, clients=18, think_us=90_000),
        Trial(confirming_replica_trials.replica_joins_before_failover, FAILOVER, clients=18, think_us=90_000),
        Trial(confirming_replica_trials.paused_replica_restarts, FAILOVER, clients=18, think_us=90_000),
        Trial(confirming_replica_trials.unheard_replica_at_primary_crash, FAILOVER, clients=18, think_us=90_000),
        Trial(forgotten_replica_trials.controllers_killed_replica_silent, FAILOVER),
        Trial(forgotten_replica_trials.controllers_killed_replica_down, FAILOVER),
        Trial(forgotten_replica_trials.controllers_killed_replica_leaves, FAILOVER),
        Trial(
            forgotten_replica_trials.controllers_killed_replica_leaves_primary_partitioned,
            FAILOVER,
            clients=18,
            think_us=90_000,
            drain_us=LONG_DRAIN_US,
        ),
        Trial(forgotten_replica_trials.controllers_killed_primary_leaves, ("LOST", "DRAIN")),
        Trial(lost_log_trials.stepped_down_primary_lost, FAILOVER),
        Trial(lost_log_trials.stepped_down_primary_returns, FAILOVER),
        Trial(renamed_primary_trials.primary_returns_renamed),
        Trial(renamed_primary_trials.primary_returns_renamed_replica_down),
        Trial(renamed_primary_trials.primary_returns_renamed_repeatedly),
        Trial(renamed_primary_trials.primary_returns_renamed_controllers_killed),
        Trial(machine_trials.controller_killed),
        Trial(machine_trials.heartbeats_lost),
        Trial(machine_trials.controller_wiped),
        Trial(machine_trials.newest_configuration_disk_lost),
        Trial(machine_trials.proxies_killed),
        Trial(machine_trials.proxies_frozen),
        Trial(machine_trials.proxy_partitioned_beyond_lease, clients=18),
        Trial(machine_trials.proxy_frozen_during_failover),
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
        Trial(control_trials.controller_partitioned, ("DRAIN",)),
        Trial(control_trials.configurations_conflicting),
        Trial(control_trials.configurations_concurrent),
        Trial(controller_loss_trials.replaced_then_wiped),
        Trial(controller_loss_trials.replaced_three_times),
        Trial(controller_loss_trials.wiped_three_times),
        Trial(controller_loss_trials.partitioned_then_lost),
        Trial(controller_loss_trials.random_losses),
        Trial(control_fault_mix.control_faults_mixed),
        Trial(control_fault_mix.control_faults_mixed_power_loss, ("RECOVER",)),
        Trial(mixed_trials.mixed_faults),
        *(
            Trial(play, required_rules, clients=18, proxies=6, max_links=9)
            for play, required_rules in (
                (few_links_trials.few_links_calm, ("CAP",)),
                (few_links_trials.few_links_killed, ("CAP",)),
                (few_links_trials.few_links_frozen, ("CAP",)),
                (few_links_trials.few_links_frozen_during_failover, ("CAP",)),
                (few_links_trials.few_links_stopped, ("CAP", "LOST")),
                (few_links_trials.few_links_promoted, ("CAP", *FAILOVER)),
                (few_links_trials.few_links_released, ("CAP", "LOST")),
                (few_links_trials.few_links_all_killed, ("CAP",)),
                (few_links_trials.few_links_old_primary, ("CAP", *FAILOVER)),
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
        Trial(shard_trials.shards_short_operations, ("SHARD",), clients=24, think_us=90_000),
        Trial(shard_trials.shards_transactions, ("SHARD",), clients=18, transaction_share=0.7),
        Trial(shard_trials.shards_proxy_partitioned, ("SHARD",)),
        Trial(shard_trials.shards_proxy_frozen, ("SHARD",)),
        Trial(shard_trials.shards_proxy_disagrees, ("SHARD",)),
        Trial(shard_trials.shards_too_few_agree, ("SHARD",)),
        Trial(shard_trials.shards_handover_stuck, ("SHARD",)),
        Trial(shard_trials.shards_lease_holder_killed, ("SHARD",)),
        Trial(shard_trials.shards_two_operators, ("SHARD",)),
        Trial(shard_trials.shards_primary_crash, ("SHARD",)),
        Trial(shard_trials.shards_slow_handover, ("SHARD",)),
        *(trial for play in shard_trials.WORKLOAD_TRIALS for trial in with_both_workloads(play=play)),
        Trial(
            shard_trials.shards_long_transaction,
            ("SHARD",),
            clients=24,
            write_share=0.8,
            transaction_share=0.8,
            pauses_us=(0, 1_800_000),
        ),
        Trial(
            shard_trials.shards_commit_delayed,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
        Trial(
            shard_trials.shards_commit_delayed_partitioned,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
        Trial(
            shard_trials.shards_commit_delayed_frozen,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
        Trial(
            shard_trials.shards_commit_delayed_killed,
            ("SHARD",),
            clients=24,
            think_us=30_000,
            write_share=0.9,
            transaction_share=0.0,
        ),
    )
}


def result_of(*, world: PlatformWorld, required_rules: tuple[str, ...]) -> PlatformTrialResult:
    """Collects breaches, errors, rules that were never checked, and measurements."""
    oracle = world.oracle
    checks = oracle.checks
    wrong = [*oracle.breaches, *(f"error: {each}" for each in world.errors)]
    wrong += [f"{name} halted: {reason}" for name, reason in world.halted.items()]
    wrong += [f"rule {rule} was never checked" for rule in (*ALWAYS_REQUIRED, *required_rules) if not checks[rule]]
    if not world.served:
        wrong.append("no operation was served")
    figures = {
        **oracle.shard.figures(),
        "full": oracle.full_refusals,
        "misled": oracle.wrong_host_refusals,
        "promotions": len(world.platform.calls),
        "dials": world.fabric.connects,
        "opened": oracle.cap.opened,
        "held": oracle.cap.max_held,
        "entered_ms": max(world.voters_restored_us, default=0) // 1_000,
        "config_ms": max(world.operator.took_us, default=0) // 1_000,
    }
    return PlatformTrialResult(
        wrong=wrong,
        checks=checks,
        served=world.served,
        attempted=world.attempted,
        answers=oracle.answers,
        figures=figures,
    )


def run_trial(*, name: str, seed: int, log_level: int = 50, clients: int | None = None) -> PlatformTrialResult:
    """Runs a trial of TRIALS; `clients` overrides its number of clients. A failed wait or assert ends it early."""
    add_adapter_to_path()
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
        # with fewer links than proxies, the first limits take effect only after the last proxy has its id and place
        world.advance(for_ms=3_000 if trial.proxies > trial.max_links - CONTROL_LINKS else 0)
        count = trial.clients if clients is None else clients
        world.clients_begin(
            count=count,
            think_us=trial.think_us,
            transaction_share=trial.transaction_share,
            write_share=trial.write_share,
            pauses_us=trial.pauses_us,
        )
        # LOST checks nothing before the first acknowledged commits
        world.await_that(
            test=lambda: not count or all(len(service.acked) > 2 for service in world.services.values()),
            within_ms=10_000,
            description="commits are acknowledged",
        )
        trial.play(world)
        world.end()
        return result_of(world=world, required_rules=trial.required_rules)
    except AssertionError as error:
        result = result_of(world=world, required_rules=())
        result.wrong.append(f"aborted: {error}")
        return result
    finally:
        world.close()
