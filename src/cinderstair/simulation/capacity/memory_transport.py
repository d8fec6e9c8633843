"""An in-memory transport for the adapter's client connection."""

import asyncio
from typing import Any


class MemoryTransport:
    """Passes requests to a protocol and keeps its last response."""

    def __init__(self, *, protocol: Any) -> None:
        self.protocol = protocol
        self.last = b""
        self.answered: asyncio.Future[None] | None = None

    def write(self, data: bytes) -> None:
        self.last = data
        if self.answered is not None and not self.answered.done():
            self.answered.set_result(None)

    async def ask(self, line: bytes) -> None:
        """Sends a request and waits for the response."""
        self.answered = asyncio.get_running_loop().create_future()
        self.protocol.data_received(line)
        await self.answered

    def is_closing(self) -> bool:
        return False

    def close(self) -> None: ...

    def pause_reading(self) -> None: ...

    def resume_reading(self) -> None: ...
