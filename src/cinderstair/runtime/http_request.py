"""A job as it comes in at an HTTP edge, or goes out to a backend."""

from dataclasses import dataclass, field
from typing import Any


class Line:
    """The connection a job came in on, as far as a server needs to know it: who it is, and whether it ended."""

    @property
    def closed(self) -> bool:
        return True


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    method: str
    path: str
    body: bytes = b""
    query: dict[str, str] = field(default_factory=dict)
    line: Any = None
