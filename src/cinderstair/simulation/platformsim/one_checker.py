"""Only one leads: an old primary acknowledges nothing after a promotion has taken effect."""

from .checker import Checker
from .log_entry import LogEntry


class OneChecker(Checker):
    """`chances` are writes that reach an old primary of a service, or commits acknowledged after a promotion."""

    rule = "ONE"

    def acked(self, *, entry: LogEntry, client: str, promoted: bool) -> None:
        if promoted or entry.late:
            self.judge(
                fine=not entry.late, what=f"{client}: {entry.term}.{entry.number} by old primary {entry.backend}"
            )
