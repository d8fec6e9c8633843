"""All trials by name: each brings one failure about under work, and all checkers look on."""

from collections.abc import Callable
from typing import Any

from .backend_trials import (
    answers_garbled,
    answers_lost,
    backend_empties,
    backends_replaced,
    heartbeats_lost,
    lagging_replica,
    late_heartbeats,
    slow_backend,
)
from .failover_trials import (
    candidate_killed_too,
    deaf_replica,
    holder_blind,
    holder_killed_too,
    override_under_cut,
    primary_and_replica_lost,
    primary_cut,
    primary_frozen,
    primary_killed,
    primary_muted,
    promotion_lost,
)
from .http_proxy_trials import (
    cap_held,
    clients_vanish,
    http_proxies_drained,
    http_proxies_stopped,
    http_proxy_blind,
    http_proxy_frozen,
    http_proxy_killed,
    kickoff,
    sites_changed,
)
from .mixed_trials import chaos, everything_killed, restarts_in_turn, stuttering
from .register_trials import (
    configurations,
    register_replica_disks,
    register_replica_wiped,
    register_replicas_gone,
    register_replicas_turned,
)
from .session_replica_trials import (
    owner_and_second,
    owners_cut,
    owners_frozen,
    owners_killed,
    owners_stopped_and_killed,
    replicas_forgotten,
)
from .trial import Verdict, begun
from .upgrade_trials import BEFORE, unknown_version, upgraded_in_turn
from .window_trials import (
    data_centre_moved,
    data_centre_moved_amid_crashes,
    move_cancelled,
    whole_data_centre_held_back,
)

TRIALS: dict[str, Callable[..., None]] = {
    each.__name__: each
    for each in (
        primary_killed,
        primary_frozen,
        primary_cut,
        override_under_cut,
        primary_muted,
        holder_killed_too,
        holder_blind,
        candidate_killed_too,
        deaf_replica,
        cap_held,
        kickoff,
        sites_changed,
        data_centre_moved,
        data_centre_moved_amid_crashes,
        whole_data_centre_held_back,
        move_cancelled,
        backends_replaced,
        everything_killed,
        stuttering,
        lagging_replica,
        slow_backend,
        primary_and_replica_lost,
        http_proxy_killed,
        http_proxy_frozen,
        http_proxy_blind,
        clients_vanish,
        http_proxies_stopped,
        http_proxies_drained,
        register_replicas_turned,
        register_replicas_gone,
        register_replica_disks,
        register_replica_wiped,
        answers_lost,
        answers_garbled,
        promotion_lost,
        backend_empties,
        heartbeats_lost,
        late_heartbeats,
        restarts_in_turn,
        configurations,
        upgraded_in_turn,
        unknown_version,
        owners_killed,
        owners_frozen,
        owners_cut,
        owner_and_second,
        owners_stopped_and_killed,
        replicas_forgotten,
        chaos,
    )
}


# why: these look at what sessions keep, so much of that has to change
CHANGING = {"append": 0.15, "transaction": 0.1, "primary": 0.1, "live": 0.1, "fresh": 0.15}
# why: what this trial looks for shows in a short span at one HTTP proxy, so that HTTP proxy needs enough clients
OPTIONS: dict[str, dict[str, Any]] = {
    "override_under_cut": {"callers": 24},
    "cap_held": {"callers": 24, "think_us": 40_000, "cap": 12, "http_proxies": 4},
    "backends_replaced": {"spares": 3},
    "upgraded_in_turn": {
        "versions_by_address": {f"{role}-{n}": BEFORE for role in ("stall", "vault") for n in range(5)}
    },
    **dict.fromkeys(
        ("owners_killed", "owners_frozen", "owners_cut", "owner_and_second", "owners_stopped_and_killed"),
        {"callers": 16, "mix": CHANGING},
    ),
    "replicas_forgotten": {"callers": 16, "mix": CHANGING, "changes": {"idle_session_us": 6_000_000}},
    "kickoff": {"callers": 150, "think_us": 100_000, "cap": 12, "databases": 2},
}


# why: what every trial's checkers must have had before their eyes, and what each trial is there for
ALWAYS = (
    "writes looked for",
    "primary reads after a commit",
    "live reads after a commit",
    "fresh reads after an own commit",
    "values shown",
    "statements compared",
    "answers timed",
    "answers that had to come",
    "sessions that had to last",
    "configuration in force",
    "configuration read back",
)
MOVED = ("commits before a promotion", "services that had to come back", "denials timed")
IN_FLIGHT = (*MOVED, "writes while a lead moved")
SILENT = ("backends silent or emptying for long",)
NEWER = ("newer configuration in force",)
SERVED = ("services that had to come back", "HTTP proxies called ready that had to serve")
NEEDS: dict[str, tuple[str, ...]] = {
    "primary_killed": MOVED,
    "primary_frozen": (*IN_FLIGHT, *SILENT),
    "primary_cut": IN_FLIGHT,
    "override_under_cut": (*IN_FLIGHT, "old primaries asked after a promotion"),
    "primary_muted": (*IN_FLIGHT, *SILENT),
    "holder_killed_too": MOVED,
    "holder_blind": MOVED,
    "candidate_killed_too": MOVED,
    "deaf_replica": MOVED,
    "primary_and_replica_lost": MOVED,
    "promotion_lost": MOVED,
    "http_proxy_frozen": MOVED,
    "http_proxy_killed": (*SERVED, "sessions taken over"),
    "owners_killed": (*SERVED, "sessions taken over"),
    "owners_frozen": (*SERVED, "sessions taken over"),
    "owners_cut": (*SERVED, "sessions taken over"),
    "owners_stopped_and_killed": (*SERVED, "sessions taken over"),
    "replicas_forgotten": ("copies held before the end",),
    "http_proxy_blind": (*SERVED, "denials timed"),
    "http_proxies_stopped": ("denials with when to come back",),
    "http_proxies_drained": ("denials with when to come back",),
    "clients_vanish": ("denied writes",),
    "register_replicas_turned": NEWER,
    "register_replicas_gone": (*SERVED, "denials with when to come back"),
    "register_replica_disks": NEWER,
    "register_replica_wiped": NEWER,
    "configurations": (*NEWER, *SERVED),
    "everything_killed": (*SERVED, *NEWER),
    "answers_lost": ("unsure writes",),
    "answers_garbled": ("unsure writes", *SERVED),
    "backend_empties": (*MOVED, *SILENT),
    "heartbeats_lost": SILENT,
    "late_heartbeats": SILENT,
    "data_centre_moved": (*MOVED, *NEWER, "channels opened again after a window"),
    "move_cancelled": (*SERVED, *NEWER),
    "whole_data_centre_held_back": (*SERVED, *NEWER),
    "backends_replaced": (*MOVED, *NEWER),
    "upgraded_in_turn": (*MOVED, *NEWER),
    "kickoff": ("denials with when to come back",),
}


def run_trial(*, name: str, seed: int, **options: Any) -> Verdict:
    trial = begun(seed=seed, **{**OPTIONS.get(name, {}), **options})
    try:
        TRIALS[name](trial=trial)
        verdict = trial.judge()
        verdict.need(names=(*ALWAYS, *NEEDS.get(name, ())))
        return verdict
    except AssertionError as error:
        trial.verdict.wrong.append(str(error))
        return trial.verdict
    finally:
        trial.world.close()
