"""The table of trials: each injects a failure under load, and all checkers are applied."""

from collections.abc import Callable
from typing import Any

from .backend_trials import (
    answers_corrupted,
    answers_lost,
    backend_drains,
    backends_replaced,
    heartbeats_lost,
    lagging_replica,
    late_heartbeats,
    slow_backend,
)
from .failover_trials import (
    holder_cut_from_backends,
    holder_killed_in_failover,
    override_under_cut,
    primary_and_replica_lost,
    primary_cut,
    primary_frozen,
    primary_killed,
    primary_outbound_cut,
    promoted_replica_killed,
    promotion_lost,
    replica_not_replicating,
)
from .http_proxy_trials import (
    clients_change_site,
    clients_vanish,
    connection_limit,
    http_proxies_drained,
    http_proxies_stopped,
    http_proxy_cut_from_backends,
    http_proxy_frozen,
    http_proxy_killed,
    overload,
)
from .mixed_trials import chaos, everything_killed, intermittent_freezes, rolling_restart
from .register_trials import (
    configurations,
    register_disk_faults,
    register_majority_lost,
    register_replica_disk_lost,
    register_replicas_restarted,
)
from .session_replica_trials import (
    owner_and_replica_holder,
    owners_cut,
    owners_frozen,
    owners_killed,
    owners_stopped_and_killed,
    replicas_forgotten,
)
from .trial import Verdict, start_trial
from .upgrade_trials import PREVIOUS_VERSIONS, rolling_upgrade, unknown_version
from .window_trials import (
    data_centre_moved,
    data_centre_moved_amid_crashes,
    move_cancelled,
    window_over_everything,
)

TRIALS: dict[str, Callable[..., None]] = {
    each.__name__: each
    for each in (
        primary_killed,
        primary_frozen,
        primary_cut,
        override_under_cut,
        primary_outbound_cut,
        holder_killed_in_failover,
        holder_cut_from_backends,
        promoted_replica_killed,
        replica_not_replicating,
        connection_limit,
        overload,
        clients_change_site,
        data_centre_moved,
        data_centre_moved_amid_crashes,
        window_over_everything,
        move_cancelled,
        backends_replaced,
        everything_killed,
        intermittent_freezes,
        lagging_replica,
        slow_backend,
        primary_and_replica_lost,
        http_proxy_killed,
        http_proxy_frozen,
        http_proxy_cut_from_backends,
        clients_vanish,
        http_proxies_stopped,
        http_proxies_drained,
        register_replicas_restarted,
        register_majority_lost,
        register_disk_faults,
        register_replica_disk_lost,
        answers_lost,
        answers_corrupted,
        promotion_lost,
        backend_drains,
        heartbeats_lost,
        late_heartbeats,
        rolling_restart,
        configurations,
        rolling_upgrade,
        unknown_version,
        owners_killed,
        owners_frozen,
        owners_cut,
        owner_and_replica_holder,
        owners_stopped_and_killed,
        replicas_forgotten,
        chaos,
    )
}


# More changes of session state, for the trials that check it
STATE_CHANGES_MIX = {"append": 0.15, "transaction": 0.1, "primary": 0.1, "live": 0.1, "fresh": 0.15}
# override_under_cut: the violation shows only within a short time at one HTTP proxy, which needs enough clients
OPTIONS: dict[str, dict[str, Any]] = {
    "override_under_cut": {"callers": 24},
    "connection_limit": {"callers": 24, "think_us": 40_000, "cap": 12, "http_proxies": 4},
    "backends_replaced": {"spares": 3},
    "rolling_upgrade": {
        "versions_by_address": {f"{role}-{n}": PREVIOUS_VERSIONS for role in ("stall", "vault") for n in range(5)}
    },
    **dict.fromkeys(
        (
            "owners_killed",
            "owners_frozen",
            "owners_cut",
            "owner_and_replica_holder",
            "owners_stopped_and_killed",
        ),
        {"callers": 16, "mix": STATE_CHANGES_MIX},
    ),
    "replicas_forgotten": {"callers": 16, "mix": STATE_CHANGES_MIX, "changes": {"idle_session_us": 6_000_000}},
    "overload": {"callers": 150, "think_us": 100_000, "cap": 12, "databases": 2},
}


# Cases that the checkers must have seen in every trial (ALWAYS) and in the trial that is there for them (NEEDS)
ALWAYS = (
    "writes checked",
    "primary reads after a commit",
    "live reads after a commit",
    "fresh reads after a commit of the session",
    "session values read",
    "statements compared",
    "responses timed",
    "responses that had to arrive",
    "sessions that had to survive",
    "configuration in force",
    "configuration read back",
)
MOVED = ("commits before a promotion", "services that had to recover", "rejections timed")
IN_FLIGHT = (*MOVED, "writes during a failover")
SILENT = ("backends silent or draining beyond the bound",)
NEWER = ("newer configuration in force",)
SERVED = ("services that had to recover", "ready HTTP proxies that had to serve")
NEEDS: dict[str, tuple[str, ...]] = {
    "primary_killed": MOVED,
    "primary_frozen": (*IN_FLIGHT, *SILENT),
    "primary_cut": IN_FLIGHT,
    "override_under_cut": (*IN_FLIGHT, "old primaries requested after a promotion"),
    "primary_outbound_cut": (*IN_FLIGHT, *SILENT),
    "holder_killed_in_failover": MOVED,
    "holder_cut_from_backends": MOVED,
    "promoted_replica_killed": MOVED,
    "replica_not_replicating": MOVED,
    "primary_and_replica_lost": MOVED,
    "promotion_lost": MOVED,
    "http_proxy_frozen": MOVED,
    "http_proxy_killed": (*SERVED, "sessions taken over"),
    "owners_killed": (*SERVED, "sessions taken over"),
    "owners_frozen": (*SERVED, "sessions taken over"),
    "owners_cut": (*SERVED, "sessions taken over"),
    "owners_stopped_and_killed": (*SERVED, "sessions taken over"),
    "replicas_forgotten": ("session replicas held before the end",),
    "http_proxy_cut_from_backends": (*SERVED, "rejections timed"),
    "http_proxies_stopped": ("rejections with a retry time",),
    "http_proxies_drained": ("rejections with a retry time",),
    "clients_vanish": ("rejected writes",),
    "register_replicas_restarted": NEWER,
    "register_majority_lost": (*SERVED, "rejections with a retry time"),
    "register_disk_faults": NEWER,
    "register_replica_disk_lost": NEWER,
    "configurations": (*NEWER, *SERVED),
    "everything_killed": (*SERVED, *NEWER),
    "answers_lost": ("writes of unknown outcome",),
    "answers_corrupted": ("writes of unknown outcome", *SERVED),
    "backend_drains": (*MOVED, *SILENT),
    "heartbeats_lost": SILENT,
    "late_heartbeats": SILENT,
    "data_centre_moved": (*MOVED, *NEWER, "connections reopened after a window"),
    "move_cancelled": (*SERVED, *NEWER),
    "window_over_everything": (*SERVED, *NEWER),
    "backends_replaced": (*MOVED, *NEWER),
    "rolling_upgrade": (*MOVED, *NEWER),
    "overload": ("rejections with a retry time",),
}


def run_trial(*, name: str, seed: int, **options: Any) -> Verdict:
    """Runs a trial by name; a wait that timed out is reported as a violation."""
    trial = start_trial(seed=seed, **{**OPTIONS.get(name, {}), **options})
    try:
        TRIALS[name](trial=trial)
        verdict = trial.run_checkers()
        verdict.need(names=(*ALWAYS, *NEEDS.get(name, ())))
        return verdict
    except AssertionError as error:
        trial.verdict.wrong.append(str(error))
        return trial.verdict
    finally:
        trial.world.close()
