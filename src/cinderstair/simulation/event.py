"""One client operation and its outcome, as recorded in the history."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(kw_only=True)
class Event:
    """Times are those of the simulation's own clock, which differs from all machines' clocks.

    `outcome` is the response's, or unanswered, unreached (no connection) or cutOff (uncommitted, response lost).
    """

    caller: str
    # The client's own name of the session; the session token may change during its life
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
    # Retry time of the response body and header; None and empty where missing
    retry_after_us: int | None = None
    retry_after_s: str = ""
    # Start of the last request; a transaction has several, and its outcome is that of the last one
    last_us: int = 0

    @property
    def waited_us(self) -> int:
        """Returns how long the last request took."""
        return self.end_us - (self.last_us or self.start_us)
