"""Bugs in the record of each service's backends, and in what a fence counts; see `seeded_bugs`."""

from dataclasses import replace
from typing import Any
from unittest.mock import patch

from ...failover import primary_replacement
from ...failover.promotion import Promotion
from ...failover.replica_fencing import PAUSE_WAIT_US, ReplicaFencing
from ...failover.replica_records import ReplicaRecords
from ...failover.successor_check import SuccessorCheck
from ...runtime.position import START

Patches = list[Any]


def unheard_replicas_uncounted() -> Patches:
    """A fence counts only the replicas that the lease holder has heard of since it started.

    What proxies have acknowledged shows that the successor lacks commits, so that is ignored as well.
    """
    return [*_unheard_uncounted(), *commits_before_pause_ignored()]


def _unheard_uncounted() -> Patches:
    return [patch.object(ReplicaRecords, "unheard", lambda self, *, service: [])]


def departures_unrecorded() -> Patches:
    """A deregistration is acknowledged although only the controllers' memory holds it."""

    async def acknowledge(self: Any, *, announcement: Any) -> bool:
        return True

    return [
        patch.object(ReplicaRecords, "record_departure", acknowledge),
        patch.object(ReplicaRecords, "update", lambda self, **named: True),
    ]


def departed_replicas_forgotten() -> Patches:
    """Departures are kept in memory alone, and acknowledged commits that the successor lacks are not looked for."""

    async def no_primary(self: Any, **named: Any) -> None:
        return None

    return [
        *_unheard_uncounted(),
        *departures_unrecorded(),
        patch.object(SuccessorCheck, "_lacks_commits", lambda self, **named: False),
        patch.object(SuccessorCheck, "_returned_primary", no_primary),
    ]


def commits_before_pause_ignored() -> Patches:
    """Commits acknowledged before the replicas were paused are taken to be in a paused log."""
    lacks_commits = SuccessorCheck._lacks_commits

    def after_pause_only(self: Any, *, service: Any, acknowledged: Any, fence: Any) -> bool:
        without = replace(acknowledged, least=START)
        return lacks_commits(self, service=service, acknowledged=without, fence=fence)

    return [patch.object(SuccessorCheck, "_lacks_commits", after_pause_only)]


def fence_never_withdrawn() -> Patches:
    """A fence stays in force although the only backends with the log up to it are lost."""

    async def wait(self: Any, **named: Any) -> None:
        return None

    return [patch.object(Promotion, "_withdraw_fence", wait)]


def returned_primary_waited_for() -> Patches:
    """A primary that is back under another name counts as a replica, which can't be paused while it is primary."""

    async def none_found(**named: Any) -> None:
        return None

    async def pause(self: Any, *, replica: Any, term: int) -> Any:
        return await self.failover.control.pause(backend=replica, term=term, wait_us=PAUSE_WAIT_US)

    return [
        patch.object(primary_replacement, "successor_at_same_address", none_found),
        patch.object(ReplicaFencing, "_pause_one", pause),
    ]
