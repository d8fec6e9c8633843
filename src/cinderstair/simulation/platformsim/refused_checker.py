"""What was promised not to be kept is not kept."""

from collections.abc import Iterable

from .checker import Checker
from .log_entry import LogEntry


class RefusedChecker(Checker):
    """`chances` are tries with a write sent that were given such a promise."""

    rule = "REFUSED"

    def effects(self, *, entries: Iterable[LogEntry]) -> None:
        for entry in entries:
            for statement in entry.writes:
                if statement.attempt.promises:
                    self.breach(what=f"{statement.ident!r} was promised {statement.attempt.promises} and is kept")
