"""A persistent HTTP connection to a controller, with one request in flight."""

import asyncio


class HeartbeatConnection(asyncio.Protocol):
    """A minimal HTTP client: PUT requests, and responses with a Content-Length or without a body."""

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
            self.status.set_exception(ConnectionResetError("connection lost"))

    async def put(self, *, host: str, path: str, body: bytes) -> int:
        """Sends a request and returns the status code; ConnectionError if the connection is lost."""
        if self.transport is None:
            raise ConnectionResetError("not connected")
        self.status = asyncio.get_running_loop().create_future()
        head = f"PUT {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
        self.transport.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        return await self.status
