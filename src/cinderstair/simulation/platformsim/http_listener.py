"""A small HTTP server for stand-ins."""

import asyncio
from collections.abc import Callable
from typing import Any

Respond = Callable[[int, bytes], None]
RequestHandler = Callable[[str, str, dict[str, str], bytes, Respond], None]


class HttpListener(asyncio.Protocol):
    """Reads requests with a Content-Length; `handle` gets each with a function that sends its response."""

    def __init__(self, *, handle: RequestHandler) -> None:
        self.handle = handle
        self.data = b""
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.data += data
        head, blank, rest = self.data.partition(b"\r\n\r\n")
        if not blank:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return
        self.data = rest[length:]
        method, path, _ = first.split(" ")
        self.handle(method, path, headers, rest[:length], self._answer)

    def _answer(self, status: int, body: bytes) -> None:
        if self.transport is None:
            return
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self.transport.write(head.encode() + body)
