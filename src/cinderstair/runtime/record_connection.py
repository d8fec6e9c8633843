"""The client side of a TCP connection that carries any number of concurrent requests."""

import asyncio
from collections.abc import Callable

from .record_frame import encode_frame, read_frame


class RecordConnection:
    """Matches responses with the requests in flight by their number.

    :ivar pending: the requests that wait for a response, by number.
    """

    def __init__(self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.pending: dict[int, asyncio.Future[bytes]] = {}
        self._reader = reader
        self._writer = writer

    async def request(self, *, number: int, body: bytes) -> bytes:
        """Send a request and wait for its response; the caller sets the time limit.

        :param number: must not be in use on this connection.
        :raises ConnectionResetError: if the connection ends first.
        """
        response: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.pending[number] = response
        try:
            self._writer.write(encode_frame(number=number, body=body))
            return await response
        finally:
            self.pending.pop(number, None)

    async def read_responses(self, *, on_response: Callable[[], None]) -> None:
        """Complete pending requests until the connection ends; those still pending then fail.

        :param on_response: called for each response, including one that arrives after its request has timed out.
        """
        try:
            while True:
                frame = await read_frame(reader=self._reader)
                on_response()
                response = self.pending.pop(frame.number, None)
                if response is not None and not response.done():
                    response.set_result(frame.body)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self._writer.close()
            self._fail_pending()

    def abort(self) -> None:
        """Reset the connection; unsent data is discarded."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection once buffered data has been sent."""
        self._writer.close()

    def _fail_pending(self) -> None:
        for response in self.pending.values():
            if not response.done():
                response.set_exception(ConnectionResetError())
