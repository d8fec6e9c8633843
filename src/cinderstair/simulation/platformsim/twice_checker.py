"""TWICE: no write takes effect twice in one attempt."""

from collections.abc import Iterable

from .checker import Checker
from .log_entry import LogEntry


class TwiceChecker(Checker):
    """Looks for statement ids that are committed in two entries."""

    rule = "TWICE"

    def effects(self, *, entries: Iterable[LogEntry]) -> None:
        """Checks all commits of a service's last log."""
        seen: dict[bytes, LogEntry] = {}
        for entry in entries:
            for statement in entry.writes:
                other = seen.setdefault(statement.ident, entry)
                holds = other is entry
                self.check(
                    holds=holds,
                    description=f"{statement.ident!r} is committed in entries {other.number} and {entry.number}",
                )
