"""A client's HTTP connection to a backend, over httpcore."""

import asyncio
import socket
import struct

import httpcore
from expression import Error, Ok, Result

from .errors import CinderstairError, ErrorCode
from .http_request import HttpRequest
from .http_response import HttpResponse

FIRST_ERROR_STATUS = 400

# The value of SO_LINGER, on with 0 s, that makes close() send a reset and discard what has not been sent.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class HttpConnection:
    """An open connection; see ``net.Connection``. httpcore's own pool would retry requests, so it is not used.

    :param address: the backend's address, as host:port.
    :param connection: the httpcore connection over the stream.
    :param stream: the connected stream.
    """

    def __init__(
        self, *, address: str, connection: httpcore.AsyncHTTP11Connection, stream: httpcore.AsyncNetworkStream
    ) -> None:
        self.address = address
        self.stream = stream
        self.connection = connection
        self._closed = False
        self._close_task: asyncio.Task[None] | None = None
        self._timeout: asyncio.Timeout | None = None

    @property
    def open(self) -> bool:
        """Whether the connection can still send requests."""
        return not self._closed and not self.connection.is_closed() and not self.connection.has_expired()

    async def send_request(self, *, request: HttpRequest, wait_us: int) -> Result[HttpResponse, CinderstairError]:
        """Send a request and wait for its response; see ``net.Connection``."""
        # Nothing has been written yet, so the backend can't have seen the request.
        if not self.open:
            self.close()
            return Error(
                CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=f"{self.address}: connection is closed")
            )
        try:
            async with asyncio.timeout(wait_us / 1_000_000) as self._timeout:
                return Ok(await self._exchange(request=request))
        except (TimeoutError, OSError, RuntimeError, httpcore.ConnectError) as error:
            return self._request_failed(error=error)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return self._request_failed(error=error)
        except httpcore.ConnectionNotAvailable as error:
            self.close()
            return Error(CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=f"{self.address}: {error!r}"))
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self._timeout = None

    async def _exchange(self, *, request: HttpRequest) -> HttpResponse:
        response = await self.connection.handle_async_request(self._encode(request=request))
        body = await response.aread()
        await response.aclose()
        # Only error responses carry information in their headers, such as Retry-After.
        is_error = response.status >= FIRST_ERROR_STATUS
        headers = {key.decode().title(): value.decode() for key, value in response.headers} if is_error else {}
        return HttpResponse(status=response.status, body=body, headers=headers)

    def _encode(self, *, request: HttpRequest) -> httpcore.Request:
        headers = [
            ("Host", self.address),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(request.body))),
        ]
        url = f"http://{self.address}{request.path}"
        return httpcore.Request(request.method, url, headers=headers, content=request.body)

    def _request_failed(self, *, error: Exception) -> Result[HttpResponse, CinderstairError]:
        sock = self.stream.get_extra_info("socket")
        # Reset the connection: what is still in the send buffer must not reach the backend after the caller has been
        # told that the request failed.
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()
        # Bytes may have been sent, so only a response could have told whether the backend handled the request.
        return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{self.address}: {type(error).__name__}"))

    def expire_in_flight(self) -> None:
        """Make the request in flight, if there is one, time out now."""
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        """Close the connection in the background; a request in flight fails."""
        if not self._closed:
            self._closed = True
            self._close_task = asyncio.get_running_loop().create_task(self._close())

    async def _close(self) -> None:
        try:
            await self.connection.aclose()
        except (OSError, RuntimeError, httpcore.NetworkError):
            pass
