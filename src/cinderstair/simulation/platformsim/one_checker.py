"""ONE: one primary per service, so a replaced primary acknowledges nothing once a promotion took effect."""

from .checker import Checker
from .log_entry import LogEntry


class OneChecker(Checker):
    """`checks` counts commits acknowledged by a replaced primary, or after any promotion of the service."""

    rule = "ONE"

    def acked(self, *, entry: LogEntry, client: str, promoted: bool) -> None:
        """An acknowledgement reaches a client; `promoted` if the service had a promotion before."""
        if promoted or entry.by_old_primary:
            self.check(
                holds=not entry.by_old_primary,
                description=f"{client}: commit {entry.term}.{entry.number} is acknowledged "
                f"by replaced primary {entry.backend}",
            )
