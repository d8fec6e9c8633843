"""Requests and responses over TCP: one persistent connection per peer, with any number of requests in flight."""

import asyncio
from typing import NamedTuple

from expression import Error, Ok, Result

from .counters import Counters
from .errors import CinderstairError, ErrorCode
from .net import RecordHandler
from .record_connection import RecordConnection
from .record_server import RecordServer

# During a network partition TCP retransmits at exponentially growing intervals, so an old connection recovers long
# after the partition ends, while a new one works at once. A connection without responses for this long is replaced.
MAX_SILENCE_S = 1.0

# For the same reason a connection attempt that hangs is cancelled; the next request starts another.
CONNECT_TIMEOUT_S = 0.7


class HostPort(NamedTuple):
    """The two parts of an address."""

    host: str
    port: int


def split_address(*, address: str) -> HostPort:
    """Split an address such as 127.0.0.1:7101.

    :raises ValueError: if the port is not a number.
    """
    host, _, port = address.rpartition(":")
    return HostPort(host, int(port))


class RecordTransport:
    """Both the client and the server side of the transport between processes.

    :param counters: counts ``records.unanswered``, ``records.redialled`` and ``records.malformed``.
    """

    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self._server = RecordServer(counters=counters)
        self._connections: dict[str, RecordConnection] = {}
        self._connect_tasks: dict[str, asyncio.Task[None]] = {}
        self._reader_tasks: set[asyncio.Task[None]] = set()
        self._last_number = 0
        # Event loop time of the first failed request since the last response, by address.
        self._silent_since_s: dict[str, float] = {}

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        """Respond to requests that arrive at this address.

        :param handler: returns the response to a request; raises ValueError if the request is malformed, which
            then gets no response.
        :raises OSError: if the address can't be bound.
        """
        host, port = split_address(address=address)
        await self._server.listen(host=host, port=port, handler=handler)

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        """Send a request, over a new connection if there is none, and wait for the response.

        :param wait_us: how long to wait in all, in microseconds.
        :returns: the response; or the error NO_RESPONSE, after which the peer may or may not have handled the
            request. It is never sent again.
        """
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                connection = await self._connection(address=address)
                self._last_number += 1
                return Ok(await connection.request(number=self._last_number, body=body))
        except (TimeoutError, OSError, KeyError) as error:
            self.counters.add(name="records.unanswered")
            self._request_failed(address=address)
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: {type(error).__name__}"))

    async def close(self) -> None:
        """Close all connections in both directions; requests in flight fail."""
        self._server.close()
        for task in self._reader_tasks:
            task.cancel()
        for connection in self._connections.values():
            connection.close()

    async def _connection(self, *, address: str) -> RecordConnection:
        """Return the connection to a peer; KeyError if a new one has ended before it could be used."""
        if address not in self._connections:
            # Concurrent requests share one attempt; a timeout of one must not cancel it for the others.
            await asyncio.shield(self._connect_task(address=address))
        return self._connections[address]

    def _connect_task(self, *, address: str) -> asyncio.Task[None]:
        task = self._connect_tasks.get(address)
        if task is None:
            task = asyncio.create_task(self._connect(address=address))
            self._connect_tasks[address] = task
            task.add_done_callback(lambda done: self._connect_done(address=address, task=done))
        return task

    async def _connect(self, *, address: str) -> None:
        host, port = split_address(address=address)
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, port)
        connection = RecordConnection(reader=reader, writer=writer)
        self._connections[address] = connection
        task = asyncio.create_task(self._read_responses(address=address, connection=connection))
        self._reader_tasks.add(task)
        task.add_done_callback(self._reader_tasks.discard)

    def _connect_done(self, *, address: str, task: asyncio.Task[None]) -> None:
        self._connect_tasks.pop(address, None)
        # Waiting requests report the exception. Retrieving it here keeps asyncio from logging it if there are none.
        if not task.cancelled():
            task.exception()

    async def _read_responses(self, *, address: str, connection: RecordConnection) -> None:
        try:
            await connection.read_responses(on_response=lambda: self._response_arrived(address=address))
        finally:
            if self._connections.get(address) is connection:
                del self._connections[address]

    def _response_arrived(self, *, address: str) -> None:
        self._silent_since_s.pop(address, None)

    def _request_failed(self, *, address: str) -> None:
        """Abort the connection if no response has arrived for ``MAX_SILENCE_S`` since the first failed request."""
        now_s = asyncio.get_running_loop().time()
        since_s = self._silent_since_s.setdefault(address, now_s)
        connection = self._connections.get(address)
        if connection is None or now_s - since_s <= MAX_SILENCE_S:
            return
        self.counters.add(name="records.redialled")
        self._silent_since_s.pop(address, None)
        connection.abort()
        del self._connections[address]
