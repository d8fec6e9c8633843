"""No write takes effect twice for one try."""

from collections.abc import Iterable

from .checker import Checker
from .log_entry import LogEntry


class TwiceChecker(Checker):
    rule = "TWICE"

    def effects(self, *, entries: Iterable[LogEntry]) -> None:
        """Over all commits that stand."""
        seen: dict[bytes, LogEntry] = {}
        for entry in entries:
            for statement in entry.writes:
                other = seen.setdefault(statement.ident, entry)
                fine = other is entry
                self.judge(fine=fine, what=f"{statement.ident!r} stands in {entry.number} and in {other.number}")
