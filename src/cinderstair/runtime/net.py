"""The network interface that the other packages depend on: messages between processes, and HTTP."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from expression import Result

from .errors import CinderstairError
from .http_request import HttpRequest
from .http_response import HttpResponse

RecordHandler = Callable[[bytes], Awaitable[bytes]]
"""Returns the response to a request; raises ValueError if the request is malformed."""

HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]
"""Returns the response to an HTTP request."""


class Connection(Protocol):
    """A client's HTTP/1.1 connection. It sends each request once and never retries."""

    @property
    def open(self) -> bool:
        """Whether the connection can still send requests."""
        ...

    async def send_request(self, *, request: HttpRequest, wait_us: int) -> Result[HttpResponse, CinderstairError]:
        """Send a request and wait for its response; one request at a time.

        :param wait_us: how long to wait, in microseconds.
        :returns: the response, whatever its status. Errors: REQUEST_NOT_SENT if the server has seen nothing of the
            request; NO_RESPONSE if it may have handled it.
        """
        ...

    def expire_in_flight(self) -> None:
        """Make the request in flight time out now, with the error NO_RESPONSE; no effect without one."""
        ...

    def close(self) -> None:
        """Close the connection; a request in flight fails."""
        ...


class Net(Protocol):
    """One process's network. Addresses are texts such as 127.0.0.1:7101."""

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        """Send a message to another process and wait for its response.

        :param wait_us: how long to wait, in microseconds.
        :returns: the response, or the error NO_RESPONSE if none came.
        """
        ...

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        """Respond to messages that arrive at this address.

        :raises OSError: if the address can't be bound.
        """
        ...

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]:
        """Open an HTTP connection.

        :param wait_us: how long to wait, in microseconds.
        :returns: the connection, or the error REQUEST_NOT_SENT.
        """
        ...

    async def serve(self, *, address: str, handler: HttpHandler) -> None:
        """Serve HTTP at this address.

        :raises OSError: if the address can't be bound.
        """
        ...

    async def stop_accepting_http(self) -> None:
        """Accept no new HTTP connections; requests on open ones are still served."""
        ...

    async def close(self) -> None:
        """Close all connections and listening sockets."""
        ...
