"""Bugs in the record of each service's backends; see `seeded_bugs`."""

from typing import Any
from unittest.mock import patch

from ...failover.replica_records import ReplicaRecords

Patches = list[Any]


def unheard_replicas_uncounted() -> Patches:
    """A fence counts only the replicas that the lease holder has heard of since it started."""
    return [patch.object(ReplicaRecords, "unheard", lambda self, *, service: [])]


def departures_unrecorded() -> Patches:
    """A deregistration is acknowledged although only the controllers' memory holds it."""

    async def acknowledge(self: Any, *, announcement: Any) -> bool:
        return True

    return [
        patch.object(ReplicaRecords, "record_departure", acknowledge),
        patch.object(ReplicaRecords, "update", lambda self, **named: None),
    ]
