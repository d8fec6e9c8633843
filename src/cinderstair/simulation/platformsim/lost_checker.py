"""LOST: no acknowledged commit is lost, and no answer is dropped at a planned stop."""

from .checker import Checker
from .log_entry import LogEntry


class LostChecker(Checker):
    """Counts the promotions and the answers that were checked."""

    rule = "LOST"

    def __init__(self) -> None:
        super().__init__()
        self.promotions = 0
        self.answers = 0

    def promoted(self, *, backend: str, lost: list[LogEntry], checks: int) -> None:
        """A backend became primary; `lost` are the commits that its log lacks.

        An acknowledgement that is still on its way to the client is checked when it arrives, see `acked`.
        """
        self.promotions += 1
        self.checks += checks
        for entry in lost:
            if entry.acked_us is not None:
                self.breach(
                    description=f"{backend} was promoted without acknowledged commit {entry.term}.{entry.number}"
                )

    def acked(self, *, entry: LogEntry) -> None:
        """An acknowledgement reaches a client."""
        if entry.truncated and not entry.by_old_primary:
            self.breach(
                description=f"commit {entry.term}.{entry.number} is acknowledged after a promotion truncated it"
            )

    def answered(self, *, complete: bool, description: str) -> None:
        """A request at a time of a planned stop got its whole answer, or none."""
        self.answers += 1
        self.check(holds=complete, description=description)
