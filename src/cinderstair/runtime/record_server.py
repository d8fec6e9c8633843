"""The server side of the record transport: accepts connections and responds to the requests that arrive."""

import asyncio
from typing import Any

from .counters import Counters
from .net import RecordHandler
from .record_frame import Frame, encode_frame, read_frame


class RecordServer:
    """Handles the requests of a connection concurrently; responses go out in the order in which they are ready.

    :param counters: counts malformed requests as ``records.malformed``.
    """

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._servers: list[asyncio.Server] = []
        self._request_tasks: set[asyncio.Task[Any]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, *, host: str, port: int, handler: RecordHandler) -> None:
        """Accept connections and pass each request to the handler.

        :raises OSError: if the address can't be bound.
        """

        async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve_connection(reader=reader, writer=writer, handler=handler)

        self._servers.append(await asyncio.start_server(serve_connection, host, port, reuse_address=True))

    def close(self) -> None:
        """Stop accepting, cancel the requests in progress and close all connections."""
        for server in self._servers:
            server.close()
        for task in self._request_tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()

    async def _serve_connection(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: RecordHandler
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                frame = await read_frame(reader=reader)
                self._start_request(frame=frame, writer=writer, handler=handler)
        except ValueError:
            self._counters.add(name="records.malformed")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            # The peer closed the connection, or the process shuts down: nothing else cancels this task.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _start_request(self, *, frame: Frame, writer: asyncio.StreamWriter, handler: RecordHandler) -> None:
        task = asyncio.create_task(self._handle_request(frame=frame, writer=writer, handler=handler))
        self._request_tasks.add(task)
        task.add_done_callback(self._request_tasks.discard)

    async def _handle_request(self, *, frame: Frame, writer: asyncio.StreamWriter, handler: RecordHandler) -> None:
        try:
            response = await handler(frame.body)
        except ValueError:
            # A malformed request gets no response, so the sender's request times out.
            self._counters.add(name="records.malformed")
            return
        if not writer.is_closing():
            writer.write(encode_frame(number=frame.number, body=response))
