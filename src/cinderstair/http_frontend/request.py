"""A client's request as it passes through the filter chain."""

from dataclasses import dataclass, field
from typing import Any

from ..runtime.http_request import HttpRequest
from .session import Session

# ten minutes: the largest accepted `timeLeftUs`
MAX_TIME_LEFT_US = 600_000_000


@dataclass(kw_only=True)
class Request:
    """An HTTP request and what the filters have found out about it.

    `verb` is the operation named by path and method, `session_id` and `name` are parts of the path, `body` is the
    parsed JSON object, `until_us` the client's deadline on the local clock, and `kind` the statement's kind.
    """

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
        """Microseconds until the client's deadline; negative after it."""
        return self.until_us - now_us

    @property
    def bound(self) -> Session:
        """The session; for filters after `SessionFilter`.

        :raises LookupError: where no session has been found.
        """
        if self.session is None:
            raise LookupError("no session has been found for this request")
        return self.session
