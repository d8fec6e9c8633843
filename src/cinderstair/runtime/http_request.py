"""An HTTP request, received by a server or sent to a backend."""

from dataclasses import dataclass, field
from typing import Any


class ClientConnection:
    """The client connection of a request. Two are equal if they stand for the same connection.

    This base class stands for a connection that has ended already.
    """

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return True


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """An HTTP request.

    :ivar method: the method, in upper case.
    :ivar path: the path without the query.
    :ivar query: the parameters of the query.
    :ivar line: the client connection that the request came in on; None if it is sent to a backend.
    """

    method: str
    path: str
    body: bytes = b""
    query: dict[str, str] = field(default_factory=dict)
    client_connection: Any = None
