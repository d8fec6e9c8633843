"""A job on its way through the filters."""

from dataclasses import dataclass, field
from typing import Any

from ..runtime.http_request import HttpRequest
from .session import Session

MOST_TIME_LEFT_US = 600_000_000


@dataclass(kw_only=True)
class Request:
    """Filters fill it in as it passes; each may answer instead."""

    http: HttpRequest
    start_us: int
    verb: str = ""
    session_id: str = ""
    name: str = ""
    body: dict[str, Any] = field(default_factory=dict)
    until_us: int = 0
    session: Session | None = None
    kind: str = ""

    def time_left_us(self, *, now_us: int) -> int:
        return self.until_us - now_us

    @property
    def bound(self) -> Session:
        """The session; only filters behind the one that finds it may ask."""
        assert self.session is not None
        return self.session
