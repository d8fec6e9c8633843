"""One commit in a stand-in backend's log."""

from dataclasses import dataclass, field

from .client_statement import ClientStatement


@dataclass(eq=False, kw_only=True)
class LogEntry:
    """The same object stands in every log that holds the commit, so logs are compared by identity."""

    term: int
    number: int
    writes: tuple[ClientStatement, ...]
    backend: str
    service: str = ""
    # why: writes that were brought from another service's log stand here too, and are nobody's second effect
    brought: tuple[ClientStatement, ...] = ()
    at_us: int
    # why: what the client saw, which is what promises rest on
    acked_us: int | None = None
    late: bool = False
    cut: bool = False
    confirmers: set[str] = field(default_factory=set)
