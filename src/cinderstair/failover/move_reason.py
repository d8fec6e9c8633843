"""Reasons for which an assigned primary must be replaced."""

from enum import Enum


class MoveReason(Enum):
    """The value completes the sentence "<primary> ..." in status texts and log lines."""

    UNKNOWN = "has sent no heartbeat to this controller"
    GONE = "has deregistered or is unreachable"
    SILENT = "does not answer, and its heartbeats are missing"
    EMPTYING = "is draining"
    DEMOTED = "is not a primary"
    UNDECLARED = "is not in the configuration"
    RESTARTED = "was restarted"
    HEARTBEATS_MISSED = "sends no heartbeats"
    MAINTENANCE = "must be drained"

    @property
    def primary_answers(self) -> bool:
        """Whether the primary's process is known to run, so that it can be asked to step down."""
        return self in (MoveReason.EMPTYING, MoveReason.DEMOTED)

    @property
    def primary_lost(self) -> bool:
        """Whether a probe found the primary unreachable or unresponsive."""
        return self in (MoveReason.GONE, MoveReason.SILENT)

    def describe(self, *, primary: str, detail: str = "") -> str:
        """The reason as a clause about `primary`; `detail` names what requested the move, if anything did."""
        return f"{primary} {self.value}" + (f" ({detail})" if detail else "")
