"""Why the backend assigned as primary can't stay primary."""

from enum import Enum


class MoveReason(Enum):
    """Each value completes the sentence "<primary> ..." in status texts and log lines."""

    UNKNOWN = "is not known"
    GONE = "is gone"
    SILENT = "is silent"
    EMPTYING = "is emptying"
    DEMOTED = "does not lead"
    UNDECLARED = "is no longer declared"
    RESTARTED = "was restarted"
    QUIET = "is quiet"
    MAINTENANCE = "must leave"

    @property
    def primary_answers(self) -> bool:
        """Whether the primary's process is known to run, so that it can be asked to step down."""
        return self in (MoveReason.EMPTYING, MoveReason.DEMOTED)

    @property
    def primary_lost(self) -> bool:
        """Whether the primary was examined and found unreachable or silent."""
        return self in (MoveReason.GONE, MoveReason.SILENT)

    def describe(self, *, primary: str, detail: str = "") -> str:
        """The reason as a clause about `primary`; `detail` is what asks for the move, if anything does."""
        return f"{primary} {self.value}" + (f" ({detail})" if detail else "")
