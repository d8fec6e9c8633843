"""A client's side of the wire protocol."""

import asyncio
from typing import Any

from .client_answer import ClientAnswer
from .oracle import Oracle

CODES = frozenset(
    b"BUSY ABORTED LAGGING READONLY WRONGHOST FULL UNKNOWN TIMEOUT FAILED UNNAMED NODB GARBLED NOKEY TOOLONG".split()
)


class ClientProtocol(asyncio.Protocol):
    """One request at a time; anything received without a request closes the connection.

    `waiting` resolves to the answer, or fails with ConnectionResetError. Protocol errors break the WIRE rule.
    """

    def __init__(self, *, client: str, oracle: Oracle) -> None:
        self.client = client
        self.oracle = oracle
        self.transport: Any = None
        self.rest = b""
        self.waiting: asyncio.Future[ClientAnswer] | None = None
        self.answer = ClientAnswer()
        self.handshake = False
        self.ended = False

    @property
    def open(self) -> bool:
        return not self.ended and self.transport is not None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(ConnectionResetError())

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self._line(line)

    def _breach(self, line: bytes) -> None:
        self.oracle.wire.breach(description=f"{self.client} received {line[:80]!r}")
        self.close()

    def _line(self, line: bytes) -> None:
        word, _, rest = line.partition(b" ")
        if self.waiting is None or self.waiting.done():
            if word != b"ERROR" and not self.ended:
                self._breach(line)
            self.close()
            return
        answer = self.answer
        if word == b"ROW" and not answer.finished and not self.handshake:
            answer.rows.append(rest)
        elif word == b"DONE" and rest and not answer.finished and not self.handshake:
            answer.stamp, answer.finished = rest, True
        elif word == b"ERROR" and not answer.finished:
            code = rest.partition(b" ")[0]
            if code not in CODES:
                self._breach(line)
            answer.code, answer.finished = code.decode(), True
            if self.handshake:
                self.waiting.set_result(answer)
        elif word == b"READY" and (answer.finished or self.handshake):
            answer.state, _, answer.position = rest.partition(b" ")
            if answer.state not in (b"I", b"T", b"E") or not answer.position:
                self._breach(line)
            self.oracle.wire.count_check()
            self.waiting.set_result(answer)
        else:
            self._breach(line)

    def request(self, *, line: bytes, handshake: bool = False) -> asyncio.Future[ClientAnswer]:
        """Sends a line; a handshake's answer is a READY or ERROR alone."""
        self.waiting = asyncio.get_running_loop().create_future()
        self.answer, self.handshake = ClientAnswer(), handshake
        if self.open:
            self.transport.write(line + b"\r\n")
        else:
            self.waiting.set_exception(ConnectionResetError())
        return self.waiting

    def close(self, *, farewell: bool = False) -> None:
        """Closes the connection, with `farewell` after a BYE."""
        if self.transport is not None and not self.ended:
            if farewell:
                self.transport.write(b"BYE\r\n")
            self.transport.close()
        self.ended = True
