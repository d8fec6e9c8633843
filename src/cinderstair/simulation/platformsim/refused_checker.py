"""REFUSED: a write that was refused as certainly not executed is not committed."""

from collections.abc import Iterable

from .checker import Checker
from .log_entry import LogEntry


class RefusedChecker(Checker):
    """`checks` counts attempts with a write that received such an error code."""

    rule = "REFUSED"

    def effects(self, *, entries: Iterable[LogEntry]) -> None:
        """Checks all commits of a service's last log."""
        for entry in entries:
            for statement in entry.writes:
                if statement.attempt.not_executed_codes:
                    self.breach(
                        description=f"{statement.ident!r} was refused with {statement.attempt.not_executed_codes}, "
                        "but is committed"
                    )
