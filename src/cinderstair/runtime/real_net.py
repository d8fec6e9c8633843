"""The network of a real process: messages over TCP, an HTTP server (aiohttp) and HTTP clients (httpcore)."""

import asyncio

import httpcore
from aiohttp import web
from expression import Error, Ok, Result

from .counters import Counters
from .errors import CinderstairError, ErrorCode
from .http_connection import HttpConnection
from .http_request import ClientConnection, HttpRequest
from .http_response import HttpResponse
from .net import Connection, HttpHandler, RecordHandler
from .record_transport import RecordTransport, split_address

MAX_BODY_BYTES = 4 * 1024 * 1024
KEEPALIVE_S = 120
SHUTDOWN_S = 2


class TransportConnection(ClientConnection):
    """A client connection, identified by its asyncio transport."""

    def __init__(self, *, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    @property
    def closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self.transport.is_closing()

    def __eq__(self, other: object) -> bool:
        return isinstance(other, TransportConnection) and other.transport is self.transport

    def __hash__(self) -> int:
        return id(self.transport)


class RealNet:
    """Implements ``net.Net`` on real sockets.

    :param counters: passed to ``RecordTransport``.
    """

    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self.transport = RecordTransport(counters=counters)
        self._runners: list[web.AppRunner] = []

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        """Send a message to another process; see ``RecordTransport.request``."""
        return await self.transport.request(address=address, body=body, wait_us=wait_us)

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        """Respond to messages that arrive at this address."""
        await self.transport.listen(address=address, handler=handler)

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]:
        """Open an HTTP connection."""
        host, port = split_address(address=address)
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                stream = await httpcore.AnyIOBackend().connect_tcp(host, port)
        except (TimeoutError, OSError, httpcore.NetworkError, httpcore.TimeoutException) as error:
            return Error(
                CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=f"{address}: {type(error).__name__}")
            )
        origin = httpcore.Origin(scheme=b"http", host=host.encode(), port=port)
        connection = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        return Ok(HttpConnection(address=address, connection=connection, stream=stream))

    async def serve(self, *, address: str, handler: HttpHandler) -> None:
        """Serve HTTP at this address."""
        host, port = split_address(address=address)

        async def handle(request: web.Request) -> web.Response:
            return _encode_response(response=await handler(await _decode_request(request=request)))

        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_route("*", "/{rest:.*}", handle)
        runner = web.AppRunner(app, access_log=None, keepalive_timeout=KEEPALIVE_S)
        await runner.setup()
        await web.TCPSite(runner, host, port, reuse_address=True, shutdown_timeout=SHUTDOWN_S).start()
        self._runners.append(runner)

    async def stop_accepting_http(self) -> None:
        """Close the listening HTTP sockets; open connections are kept."""
        for runner in self._runners:
            for site in list(runner.sites):
                await site.stop()

    async def close(self) -> None:
        """Close all connections and listening sockets."""
        await self.transport.close()
        for runner in self._runners:
            await runner.cleanup()


async def _decode_request(*, request: web.Request) -> HttpRequest:
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        # The handler rejects bodies above the limit with the error code tooLarge, so pass it one that exceeds it.
        body = b"\0" * (MAX_BODY_BYTES + 1)
    # The client may have disconnected already; the base class represents a closed connection.
    client_connection = (
        ClientConnection() if request.transport is None else TransportConnection(transport=request.transport)
    )
    return HttpRequest(
        method=request.method,
        path=request.path,
        body=body,
        query=dict(request.query),
        client_connection=client_connection,
    )


def _encode_response(*, response: HttpResponse) -> web.Response:
    headers = {"Content-Type": "application/json", **response.headers}
    encoded = web.Response(status=response.status, body=response.body, headers=headers)
    if headers.get("Connection") == "close":
        encoded.force_close()
    return encoded
