"""One thing a caller asked for, and what it was told."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(kw_only=True)
class Event:
    """Times are the world's own, which no machine of the system can see."""

    caller: str
    session: str
    verb: str
    key: str
    startUs: int
    tokens: tuple[str, ...] = ()
    endUs: int = 0
    outcome: str = "unanswered"
    kind: str = ""
    rows: list[Any] = field(default_factory=list)
    stall: str = ""
    timeLeftUs: int = 0
