"""One lasting connection over which hollow backends beat, one request after the other."""

import asyncio


class HeartbeatConnection(asyncio.Protocol):
    """Knows only as much of HTTP as a control edge's short answers need."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.status: asyncio.Future[int] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end:
            return
        size = 0
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                size = int(value)
        if len(body) < size:
            return
        self.buffer = body[size:]
        if self.status is not None and not self.status.done():
            self.status.set_result(int(head.split(b" ")[1]))

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        if self.status is not None and not self.status.done():
            self.status.set_exception(ConnectionResetError("the line is lost"))

    async def put(self, *, host: str, path: str, body: bytes) -> int:
        """The status; ConnectionError where the line is lost."""
        if self.transport is None:
            raise ConnectionResetError("no line")
        self.status = asyncio.get_running_loop().create_future()
        head = f"PUT {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
        self.transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return await self.status
