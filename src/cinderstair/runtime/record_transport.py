"""Records over TCP: one lasting connection a pair, any number of records in flight."""

import asyncio
import struct
from typing import Any

from expression import Error, Ok, Result

from .counters import Counters
from .errors import CinderstairError, ErrorCode
from .net import RecordAnswer

MAGIC = 0xC15D
RECORDS_VERSION = 1
HEAD = struct.Struct("!HBBIQ")
MOST_BYTES = 8 * 1024 * 1024
SILENT_S = 1.0
DIAL_S = 0.7


def split_address(*, address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


async def read_frame(*, reader: asyncio.StreamReader) -> tuple[int, bytes]:
    """The next frame's number and body; ValueError where what came is no frame of ours."""
    head = await reader.readexactly(HEAD.size)
    magic, version, _flags, size, number = HEAD.unpack(head)
    # why: a stream that is out of step can't be found again, so the connection ends here
    if magic != MAGIC or version != RECORDS_VERSION or size > MOST_BYTES:
        raise ValueError("not a record of ours")
    return number, await reader.readexactly(size)


class RecordTransport:
    """Both ends of the records' transport."""

    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self.peers: dict[str, asyncio.Task[Any]] = {}
        self.waiting: dict[str, dict[int, asyncio.Future[bytes]]] = {}
        self.writers: dict[str, asyncio.StreamWriter] = {}
        self.dialing: dict[str, asyncio.Task[None]] = {}
        self.servers: list[asyncio.Server] = []
        self.serving: set[asyncio.Task[Any]] = set()
        self.accepted: set[asyncio.StreamWriter] = set()
        self.number = 0
        self.silent_since: dict[str, float] = {}

    async def listen(self, *, address: str, answer: RecordAnswer) -> None:
        host, port = split_address(address=address)

        async def one(number: int, body: bytes, writer: asyncio.StreamWriter) -> None:
            try:
                response = await answer(body)
            except ValueError:
                # why: malformed records are counted and dropped; the asker's wait runs out
                self.counters.add(name="records.malformed")
                return
            if not writer.is_closing():
                writer.write(HEAD.pack(MAGIC, RECORDS_VERSION, 0, len(response), number) + response)

        async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.accepted.add(writer)
            try:
                while True:
                    number, body = await read_frame(reader=reader)
                    task = asyncio.create_task(one(number, body, writer))
                    self.serving.add(task)
                    task.add_done_callback(self.serving.discard)
            except ValueError:
                self.counters.add(name="records.malformed")
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                # why: cancelled only when the process ends, and there is nothing more to say then
                pass
            finally:
                self.accepted.discard(writer)
                writer.close()

        self.servers.append(await asyncio.start_server(client, host, port, reuse_address=True))

    async def _dial(self, *, address: str) -> None:
        host, port = split_address(address=address)
        # why: a system that dials into a cut asks again at ever longer intervals, and is late when the cut is over
        async with asyncio.timeout(DIAL_S):
            reader, writer = await asyncio.open_connection(host, port)
        self.writers[address] = writer
        self.waiting[address] = {}
        self.peers[address] = asyncio.create_task(self._read(address=address, reader=reader, writer=writer))

    async def _read(self, *, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        waiting = self.waiting[address]
        try:
            while True:
                number, body = await read_frame(reader=reader)
                self.silent_since.pop(address, None)
                future = waiting.pop(number, None)
                if future is not None and not future.done():
                    future.set_result(body)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            if self.writers.get(address) is writer:
                del self.writers[address]
            writer.close()
            for future in waiting.values():
                if not future.done():
                    future.set_exception(ConnectionResetError())

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                if address not in self.writers:
                    # why: askers that come together share one dialling, or a membership would open many
                    dialing = self.dialing.get(address)
                    if dialing is None:
                        dialing = asyncio.create_task(self._dial(address=address))
                        self.dialing[address] = dialing
                        dialing.add_done_callback(lambda task: self._dialled(address=address, task=task))
                    await asyncio.shield(dialing)
                self.number += 1
                number = self.number
                future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
                waiting = self.waiting[address]
                waiting[number] = future
                try:
                    self.writers[address].write(HEAD.pack(MAGIC, RECORDS_VERSION, 0, len(body), number) + body)
                    return Ok(await future)
                finally:
                    waiting.pop(number, None)
        except (TimeoutError, OSError, KeyError) as error:
            self.counters.add(name="records.unanswered")
            self._doubt(address=address)
            return Error(CinderstairError(code=ErrorCode.WIRE_UNSURE, reason=f"{address}: {type(error).__name__}"))

    def _doubt(self, *, address: str) -> None:
        """Gives up a connection over which nothing has come for a while though something was asked."""
        now = asyncio.get_running_loop().time()
        since = self.silent_since.setdefault(address, now)
        writer = self.writers.get(address)
        # why: after a cut the system sends again only at long intervals; a new connection is there at once
        if writer is not None and now - since > SILENT_S:
            self.counters.add(name="records.redialled")
            self.silent_since.pop(address, None)
            writer.transport.abort()
            self.writers.pop(address, None)

    def _dialled(self, *, address: str, task: asyncio.Task[None]) -> None:
        self.dialing.pop(address, None)
        if not task.cancelled():
            task.exception()

    async def close(self) -> None:
        for server in self.servers:
            server.close()
        for task in [*self.peers.values(), *self.serving]:
            task.cancel()
        for writer in [*self.writers.values(), *self.accepted]:
            writer.close()
