"""A request on its way through the filters."""

from dataclasses import dataclass, field
from typing import Any

from ..runtime.http_request import HttpRequest
from .session import Session

# ten minutes, of `timeLeftUs`
MAX_TIME_LEFT_US = 600_000_000


@dataclass(kw_only=True)
class Request:
    """Filters fill it in as it passes; each may answer instead.

    `verb` is what the path and the method ask for, `session_id` and `name` the path's parts, `body` the parsed JSON
    object, `until_us` when the client gives up, and `kind` the statement's kind.
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
        """Microseconds until the client gives up; negative after that."""
        return self.until_us - now_us

    @property
    def bound(self) -> Session:
        """The session; only filters behind the one that finds it may ask.

        :raises LookupError: where no session has been found.
        """
        if self.session is None:
            raise LookupError("no session has been found for this request")
        return self.session
