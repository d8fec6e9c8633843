"""One thing a caller asked for, and what it was told."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(kw_only=True)
class Event:
    """Times are the world's own, which no machine of the system can see."""

    caller: str
    # why: a session's own name among the checkers, since its handle may change while it lives
    session: str
    database: str
    verb: str
    key: str
    start_us: int
    tokens: tuple[str, ...] = ()
    end_us: int = 0
    outcome: str = "unanswered"
    kind: str = ""
    rows: list[Any] = field(default_factory=list)
    http_proxy: str = ""
    time_left_us: int = 0
    # why: when to come back, as the body and the header say it; None where it was not said
    retry_after_us: int | None = None
    retry_after_s: str = ""
    # why: a transaction is several jobs; what it was told, it was told by its last one
    last_us: int = 0

    @property
    def waited_us(self) -> int:
        """How long the last answer took."""
        return self.end_us - (self.last_us or self.start_us)
