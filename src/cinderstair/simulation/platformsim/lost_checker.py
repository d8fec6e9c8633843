"""What was acknowledged is not lost, and answers are not dropped at a planned stop."""

from .checker import Checker
from .log_entry import LogEntry


class LostChecker(Checker):
    """Commits at promotions, and answers."""

    rule = "LOST"

    def __init__(self) -> None:
        super().__init__()
        self.promotions = 0
        self.answers = 0

    def promoted(self, *, backend: str, lost: list[LogEntry], chances: int) -> None:
        """Called when a backend takes the lead; an acknowledgement that is still on its way counts too."""
        self.promotions += 1
        self.chances += chances
        for entry in lost:
            if entry.acked_us is not None:
                self.breach(what=f"{backend} leads without {entry.term}.{entry.number}, acknowledged")

    def acked(self, *, entry: LogEntry) -> None:
        """An acknowledgement reaches a client."""
        if entry.cut and not entry.late:
            self.breach(what=f"{entry.term}.{entry.number} is acknowledged and was cut back")

    def answered(self, *, whole: bool, what: str) -> None:
        self.answers += 1
        self.judge(fine=whole, what=what)
