"""Counts the bytes that a connection's protocol reads and writes."""

import asyncio
from collections.abc import Callable
from typing import Any

Count = Callable[[int, int], None]


class MeteredTransport:
    """Counts written bytes and passes everything else on."""

    def __init__(self, *, transport: Any, count: Count) -> None:
        self.transport = transport
        self.count = count

    def write(self, data: bytes) -> None:
        self.count(0, len(data))
        self.transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class MeteredProtocol(asyncio.Protocol):
    """Wraps a protocol; calls `count` with the numbers of received and written bytes."""

    def __init__(self, *, inner: Any, count: Count) -> None:
        self.inner = inner
        self.count = count

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.inner.connection_made(MeteredTransport(transport=transport, count=self.count))

    def data_received(self, data: bytes) -> None:
        self.count(len(data), 0)
        self.inner.data_received(data)

    def eof_received(self) -> bool | None:
        result: bool | None = self.inner.eof_received()
        return result

    def connection_lost(self, exc: Exception | None) -> None:
        self.inner.connection_lost(exc)
