"""A commit in a stand-in backend's log."""

from dataclasses import dataclass, field

from .client_statement import ClientStatement


@dataclass(eq=False, kw_only=True)
class LogEntry:
    """All logs that hold the commit share this object, so logs are compared by identity.

    `at_us` is when the primary appended it, `acked_us` when its client saw the acknowledgement (None before).
    `by_old_primary` marks a commit appended after a promotion elsewhere, `truncated` one that a promotion removed;
    `confirmers` are the replicas that confirmed it. `copied` are writes that a handover copied from another
    service's log, which count as no second effect.
    """

    term: int
    number: int
    writes: tuple[ClientStatement, ...]
    backend: str
    service: str = ""
    copied: tuple[ClientStatement, ...] = ()
    at_us: int
    acked_us: int | None = None
    by_old_primary: bool = False
    truncated: bool = False
    confirmers: set[str] = field(default_factory=set)
