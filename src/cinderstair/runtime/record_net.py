"""The network of a process without HTTP: only messages between processes."""

from expression import Result

from .counters import Counters
from .errors import CinderstairError
from .net import Connection, HttpHandler, RecordHandler
from .record_transport import RecordTransport


class RecordNet:
    """A ``Net`` without HTTP, so that neither of the HTTP libraries is loaded.

    :param counters: passed to ``RecordTransport``.
    """

    def __init__(self, *, counters: Counters) -> None:
        self.transport = RecordTransport(counters=counters)

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        """Send a message to another process; see ``RecordTransport.request``."""
        return await self.transport.request(address=address, body=body, wait_us=wait_us)

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        """Respond to messages that arrive at this address."""
        await self.transport.listen(address=address, handler=handler)

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]:
        """Raise NotImplementedError."""
        raise NotImplementedError("this process has no HTTP client")

    async def serve(self, *, address: str, handler: HttpHandler) -> None:
        """Raise NotImplementedError."""
        raise NotImplementedError("this process has no HTTP server")

    async def stop_accepting_http(self) -> None:
        """Do nothing: there are no HTTP connections."""

    async def close(self) -> None:
        """Close all connections and listening sockets."""
        await self.transport.close()
