"""A client's side of the wire."""

import asyncio
from typing import Any

from .answer import ClientAnswer
from .referee import Referee

CODES = frozenset(
    b"BUSY ABORTED LAGGING READONLY WRONGHOST FULL UNKNOWN TIMEOUT FAILED UNNAMED NODB GARBLED NOKEY TOOLONG".split()
)


class ClientWire(asyncio.Protocol):
    """One question at a time. Whatever comes while nothing is asked ends the session."""

    def __init__(self, *, client: str, referee: Referee) -> None:
        self.client = client
        self.referee = referee
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

    def _wrong(self, line: bytes) -> None:
        self.referee.wire.breach(what=f"{self.client} is told {line[:80]!r}")
        self.close()

    def _line(self, line: bytes) -> None:
        word, _, rest = line.partition(b" ")
        if self.waiting is None or self.waiting.done():
            if word != b"ERROR" and not self.ended:
                self._wrong(line)
            self.close()
            return
        answer = self.answer
        if word == b"ROW" and not answer.over and not self.handshake:
            answer.rows.append(rest)
        elif word == b"DONE" and rest and not answer.over and not self.handshake:
            answer.stamp, answer.over = rest, True
        elif word == b"ERROR" and not answer.over:
            code = rest.partition(b" ")[0]
            if code not in CODES:
                self._wrong(line)
            answer.code, answer.over = code.decode(), True
            if self.handshake:
                self.waiting.set_result(answer)
        elif word == b"READY" and (answer.over or self.handshake):
            answer.state, _, answer.position = rest.partition(b" ")
            if answer.state not in (b"I", b"T", b"E") or not answer.position:
                self._wrong(line)
            self.referee.wire.chance()
            self.waiting.set_result(answer)
        else:
            self._wrong(line)

    def request(self, *, line: bytes, handshake: bool = False) -> asyncio.Future[ClientAnswer]:
        self.waiting = asyncio.get_running_loop().create_future()
        self.answer, self.handshake = ClientAnswer(), handshake
        if self.open:
            self.transport.write(line + b"\r\n")
        else:
            self.waiting.set_exception(ConnectionResetError())
        return self.waiting

    def close(self, *, farewell: bool = False) -> None:
        if self.transport is not None and not self.ended:
            if farewell:
                self.transport.write(b"BYE\r\n")
            self.transport.close()
        self.ended = True
