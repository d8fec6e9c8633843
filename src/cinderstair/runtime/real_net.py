"""The network of real processes: TCP records, an aiohttp server, explicit httpcore connections."""

import asyncio

import httpcore
from aiohttp import web
from expression import Error, Ok, Result

from .counters import Counters
from .errors import CinderstairError, ErrorCode
from .http_connection import HttpConnection
from .http_request import HttpRequest, Line
from .net import Connection, HttpHandler, RecordHandler
from .record_transport import RecordTransport, split_address

MOST_BODY_BYTES = 4 * 1024 * 1024


class RealLine(Line):
    """Tells a server whether the connection that a job came in on has ended."""

    def __init__(self, *, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    @property
    def closed(self) -> bool:
        return self.transport.is_closing()

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RealLine) and other.transport is self.transport

    def __hash__(self) -> int:
        return id(self.transport)


class RealNet:
    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self.transport = RecordTransport(counters=counters)
        self.runners: list[web.AppRunner] = []

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        return await self.transport.request(address=address, body=body, wait_us=wait_us)

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        await self.transport.listen(address=address, handler=handler)

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]:
        host, port = split_address(address=address)
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                stream = await httpcore.AnyIOBackend().connect_tcp(host, port)
        except (TimeoutError, OSError, httpcore.NetworkError, httpcore.TimeoutException) as error:
            return Error(CinderstairError(code=ErrorCode.WIRE_UNSENT, reason=f"{address}: {type(error).__name__}"))
        origin = httpcore.Origin(scheme=b"http", host=host.encode(), port=port)
        connection = httpcore.AsyncHTTP11Connection(origin=origin, stream=stream)
        return Ok(HttpConnection(address=address, connection=connection, stream=stream))

    async def serve(self, *, address: str, handler: HttpHandler) -> None:
        host, port = split_address(address=address)

        async def handle(request: web.Request) -> web.Response:
            try:
                body = await request.read()
            except web.HTTPRequestEntityTooLarge:
                # why: the filters give the closed kind for it, so they are told by a body over their limit
                body = b"\0" * (MOST_BODY_BYTES + 1)
            # why: a request whose connection is already gone still needs a line, one that counts as closed
            line = Line() if request.transport is None else RealLine(transport=request.transport)
            http_request = HttpRequest(
                method=request.method, path=request.path, body=body, query=dict(request.query), line=line
            )
            response = await handler(http_request)
            headers = {"Content-Type": "application/json", **response.headers}
            answered = web.Response(status=response.status, body=response.body, headers=headers)
            if headers.get("Connection") == "close":
                answered.force_close()
            return answered

        app = web.Application(client_max_size=MOST_BODY_BYTES)
        app.router.add_route("*", "/{rest:.*}", handle)
        runner = web.AppRunner(app, access_log=None, keepalive_timeout=120)
        await runner.setup()
        await web.TCPSite(runner, host, port, reuse_address=True, shutdown_timeout=2).start()
        self.runners.append(runner)

    async def refuse(self) -> None:
        for runner in self.runners:
            for site in list(runner.sites):
                await site.stop()

    async def close(self) -> None:
        await self.transport.close()
        for runner in self.runners:
            await runner.cleanup()
