"""One explicit httpcore connection to a backend."""

import asyncio
import socket
import struct

import httpcore
from expression import Error, Ok, Result

from .errors import CinderstairError, ErrorCode
from .http_request import HttpRequest
from .http_response import HttpResponse


class HttpConnection:
    """A connection that we open, use for one job at a time, and close; it never sends anything twice."""

    def __init__(
        self, *, address: str, connection: httpcore.AsyncHTTP11Connection, stream: httpcore.AsyncNetworkStream
    ) -> None:
        self.address = address
        self.stream = stream
        self.connection = connection
        self.broken = False
        self.closing: asyncio.Task[None] | None = None
        self.limit: asyncio.Timeout | None = None

    @property
    def open(self) -> bool:
        return not self.broken and not self.connection.is_closed() and not self.connection.has_expired()

    async def send_request(self, *, request: HttpRequest, wait_us: int) -> Result[HttpResponse, CinderstairError]:
        # why: a channel known dead before anything was written proves that the backend saw nothing
        if not self.open:
            self.close()
            return Error(CinderstairError(code=ErrorCode.WIRE_UNSENT, reason=f"{self.address}: channel closed"))
        outgoing = httpcore.Request(
            request.method,
            f"http://{self.address}{request.path}",
            headers=[
                ("Host", self.address),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(request.body))),
            ],
            content=request.body,
        )
        try:
            async with asyncio.timeout(wait_us / 1_000_000) as self.limit:
                response = await self.connection.handle_async_request(outgoing)
                body = await response.aread()
                await response.aclose()
        except (TimeoutError, OSError, RuntimeError, httpcore.ConnectError) as error:
            return self._lost(error=error)
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as error:
            return self._lost(error=error)
        except httpcore.ConnectionNotAvailable as error:
            self.close()
            return Error(CinderstairError(code=ErrorCode.WIRE_UNSENT, reason=f"{self.address}: {error!r}"))
        except asyncio.CancelledError:
            self.close()
            raise
        finally:
            self.limit = None
        # why: of an answer's headers only a denial's say anything that its body does not
        headers = {} if response.status < 400 else {k.decode().title(): v.decode() for k, v in response.headers}
        return Ok(HttpResponse(status=response.status, body=body, headers=headers))

    def _lost(self, *, error: Exception) -> Result[HttpResponse, CinderstairError]:
        sock = self.stream.get_extra_info("socket")
        # why: what a cut holds up must not reach the backend long after the job was given up
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close()
        # why: once bytes may have left, only an answer tells what happened to the job
        return Error(CinderstairError(code=ErrorCode.WIRE_UNSURE, reason=f"{self.address}: {type(error).__name__}"))

    def give_up(self) -> None:
        # why: between jobs there is no wait to end
        if self.limit is not None and not self.limit.expired():
            self.limit.reschedule(asyncio.get_running_loop().time())

    def close(self) -> None:
        if not self.broken:
            self.broken = True
            self.closing = asyncio.get_running_loop().create_task(self._close())

    async def _close(self) -> None:
        try:
            await self.connection.aclose()
        except (OSError, RuntimeError, httpcore.NetworkError):
            pass
