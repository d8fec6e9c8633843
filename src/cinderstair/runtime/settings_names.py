"""The old names of settings, which this version still accepts and the next one will reject."""

from types import MappingProxyType
from typing import Any, NamedTuple

NEW_NAME_BY_OLD = MappingProxyType(
    {
        "foundingVaults": "founding_replicas",
        "logLevel": "log_level",
        "drainWaitUs": "drain_wait_us",
        "queueMost": "queue_limit",
        "idleTransactionUs": "idle_transaction_us",
        "idleSessionUs": "idle_session_us",
        "mostVaults": "max_voters",
        "mayFound": "may_found",
        "catchUpUs": "catch_up_us",
        "leaveWithinUs": "leave_within_us",
        "probeEveryUs": "probe_every_us",
        "underWayUs": "in_flight_us",
    }
)
"""The new name of a setting by its old one."""


class Renaming(NamedTuple):
    """An old name of a setting, and the new one."""

    old: str
    new: str


class RenamedValues(NamedTuple):
    """Values of settings by their new names.

    :ivar values: the values; names that are neither old nor new are kept as they are.
    :ivar old_names: the old names that were used, in the order of ``NEW_NAME_BY_OLD``.
    :ivar conflict: a setting that was given under both its names; None if there is none.
    """

    values: dict[str, Any]
    old_names: tuple[Renaming, ...]
    conflict: Renaming | None

    def spelling(self, *, name: str) -> str:
        """Return the name as it was given: the old one if that was used, else the name itself."""
        return next((renaming.old for renaming in self.old_names if renaming.new == name), name)


def rename_old_names(*, values: dict[str, Any]) -> RenamedValues:
    """Replace the old names among the keys by the new ones."""
    old_names = tuple(Renaming(old, new) for old, new in NEW_NAME_BY_OLD.items() if old in values)
    return RenamedValues(
        values={NEW_NAME_BY_OLD.get(name, name): value for name, value in values.items()},
        old_names=old_names,
        conflict=next((renaming for renaming in old_names if renaming.new in values), None),
    )
