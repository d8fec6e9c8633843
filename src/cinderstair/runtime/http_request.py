"""An HTTP request, received by a server or sent to a backend."""

from dataclasses import dataclass, field
from typing import Any


class ClientConnection:
    """The client connection that a request arrived on; equal objects represent the same connection.

    This base class represents a connection that has already ended.
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
    :ivar client_connection: the connection that the request arrived on; None for a request to a backend.
    """

    method: str
    path: str
    body: bytes = b""
    query: dict[str, str] = field(default_factory=dict)
    client_connection: Any = None
