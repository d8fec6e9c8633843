"""The backend's side of the wire: one connection, strictly by the book."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from ...pooler.link_limits import CONTROL_LINKS
from .attempt import Attempt
from .client_statement import ClientStatement
from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend

MOST_LINE = 1024 * 1024
OWN = b"-"
STATE_WORDS = (b"STATE", b"PAUSE", b"CONTINUE", b"STEPDOWN")


class BackendDoor(asyncio.Protocol):
    """Messages are taken one after the other. What the wire does not allow is told to the referee."""

    def __init__(self, *, backend: "StandInBackend") -> None:
        self.backend = backend
        self.transport: Any = None
        self.rest = b""
        self.lines: deque[bytes] = deque()
        self.working = False
        self.handshake_done = False
        self.state = b"I"
        self.plain = False
        self.lead_life = 0
        self.writes: list[ClientStatement] = []
        self.owner: Attempt | None = None
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, tuple[bytes, bool]] = {}
        self.committing: LogEntry | None = None
        self.dark_since_us: int | None = None
        self.stuck = False
        self.alias = b""

    # -- of asyncio.Protocol --

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.backend.doors[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lines.clear()
        self.backend.doors.pop(self, None)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        if len(self.rest) > MOST_LINE:
            self._wrong("a line over a mebibyte")
        self.lines.extend(lines)
        self._next()

    def check(self, *, dark_us: int) -> None:
        """A connection whose far end is dark is dropped in the end."""
        if self.transport is None:
            return
        if self.backend.fabric.reaches(one=self.backend.name, other=self.transport.peer.host):
            self.dark_since_us = None
        elif self.dark_since_us is None:
            self.dark_since_us = self.backend.now_us
        elif self.backend.now_us - self.dark_since_us >= dark_us:
            self.transport.lose(error=TimeoutError("the far end is dark"))

    # -- messages --

    @property
    def far_end(self) -> str:
        return "" if self.transport is None else self.transport.peer.host

    def _wrong(self, what: str) -> None:
        self.backend.referee.wire.breach(what=f"{self.far_end} to {self.backend.name}: {what}")

    def _next(self) -> None:
        while self.lines and not self.working and not self.stuck and self.transport is not None:
            self.working = True
            self._message(self.lines.popleft())

    def _message(self, line: bytes) -> None:
        self.backend.referee.wire.chance()
        word, _, rest = line.partition(b" ")
        if word == b"GREET" and not self.handshake_done:
            self._handshake(rest)
        elif word == b"ASK" and self.handshake_done and b" " in rest:
            ident, _, text = rest.partition(b" ")
            if ident == OWN:
                self._own(text)
            else:
                self._client(ident, text)
        elif word == b"BYE" and not rest:
            self._close()
        else:
            self._wrong(f"no message: {line[:80]!r}")
            self._error(b"GARBLED no such message", close=True)

    def _say(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def break_off(self) -> None:
        """Ends in the middle of an answer."""
        if self.transport is not None:
            self.transport.abort()

    def _over(self) -> None:
        self.working = False
        self._next()

    def _ready(self, head: bytes) -> None:
        self._say(head + b"READY " + self.state + b" " + self.backend.position_text() + b"\r\n")
        self._over()

    def _error(self, words: bytes, *, close: bool = False, fails: bool = False) -> None:
        if close:
            self._say(b"ERROR " + words + b"\r\n")
            self._close()
            return
        if fails and self.state == b"T":
            self.state = b"E"
        self._ready(b"ERROR " + words + b"\r\n")

    def _handshake(self, rest: bytes) -> None:
        backend = self.backend
        fields = rest.split(b" ")
        if len(fields) not in (2, 3) or not all(fields):
            self._wrong(f"greeting with {len(fields)} fields")
            self._error(b"GARBLED", close=True)
            return
        own = backend.name.encode()
        if fields[0] != backend.service.name.encode() or (len(fields) == 3 and fields[2] != own):
            backend.referee.misled += 1
            self._error(b"WRONGHOST " + own, close=True)
            return
        if len(backend.doors) > backend.service.max_links:
            backend.referee.full += 1
            self._error(b"FULL " + own, close=True)
            return
        self.handshake_done = True
        self._count()
        if not self._work(cost_us=backend.costs.link_us, then=lambda: self._ready(b"")):
            self._error(b"BUSY " + own, close=True)

    def _count(self) -> None:
        """Proxies' connections here; one whose far end is dead, or has closed it, is not theirs any more."""
        backend = self.backend
        if not self.far_end.startswith("booth-"):
            return
        ends = [door.transport.peer for door in backend.doors if door.handshake_done and door.transport is not None]
        held = sum(
            end.host.startswith("booth-") and not end.closing and (end.process is None or not end.process.dead)
            for end in ends
        )
        max_links = backend.service.max_links
        scarce = backend.referee.proxies > max_links - CONTROL_LINKS
        backend.referee.cap.handshake_done(backend=backend.name, held=held, max_links=max_links, scarce=scarce)

    def _work(self, *, cost_us: int, then: Any) -> bool:
        def run() -> None:
            if self.transport is not None:
                then()

        if self.backend.busy:
            return False
        return self.backend.slots.take(cost_s=cost_us * self.backend.slow / 1_000_000, then=run)

    # -- statements of the system's own --

    def _own(self, text: bytes) -> None:
        word, _, rest = text.partition(b" ")
        name, _, content = rest.partition(b" ")
        if self.state == b"E" and word not in (b"UNDO", *STATE_WORDS):
            self._wrong(f"{word!r} in a failed transaction")
            self._error(b"GARBLED the transaction has failed")
        elif word in (b"AFTER", b"BEGIN"):
            self._begin(text)
        elif word == b"UNDO" and not rest and self.state != b"I":
            self._end()
            self._ready(b"DONE -\r\n")
        elif word == b"SET" and name and b" " in rest:
            self.values[name] = content
            self._ready(b"DONE -\r\n")
        elif word == b"CLEAR" and not rest:
            self.values, self.prepared = {}, {}
            self._ready(b"DONE -\r\n")
        elif word == b"NAME" and name:
            kind, _, shape = content.partition(b" ")
            if kind not in (b"FETCH", b"PUT") or not shape:
                self._wrong(f"prepares nothing: {text[:80]!r}")
            self.prepared[name] = (shape, kind == b"PUT")
            self._ready(b"DONE -\r\n")
        elif word == b"FORGET" and name:
            known = self.prepared.pop(name, None)
            self._ready(b"DONE -\r\n" if known else b"ERROR UNNAMED\r\n")
        elif word in STATE_WORDS:
            self._state(word, rest)
        else:
            self._wrong(f"no statement of the system's own: {text[:80]!r}")
            if word in (b"FETCH", b"PUT", b"RUN", b"COMMIT"):
                self.backend.referee.unasked.breach(what=f"{self.backend.name} got {text[:60]!r} of nobody's")
            self._error(b"GARBLED", fails=True)

    def _end(self) -> None:
        self.state, self.writes, self.owner, self.plain = b"I", [], None, False

    def _guarded(self, text: bytes) -> tuple[bool, bytes]:
        """Whether the log has what AFTER asks for, and the text behind it."""
        word, _, rest = text.partition(b" ")
        if word != b"AFTER":
            return True, text
        place, _, behind = rest.partition(b" ")
        term, dot, number = place.partition(b".")
        if not dot or not term.isdigit() or not number.isdigit() or not behind:
            self._wrong(f"AFTER no position: {text[:60]!r}")
            return True, behind
        return self.backend.position >= (int(term), int(number)), behind

    def _begin(self, text: bytes) -> None:
        has, behind = self._guarded(text)
        own = self.backend.name.encode()
        if behind not in (b"BEGIN", b"BEGIN FETCH") or self.state != b"I":
            self._wrong(f"begins with {text[:60]!r} in state {self.state!r}")
            self._error(b"GARBLED", fails=True)
        elif self.backend.busy:
            self._error(b"BUSY " + own)
        elif not has:
            self._error(b"LAGGING " + own)
        elif behind == b"BEGIN" and not self.backend.is_primary:
            self._error(b"READONLY " + own)
        else:
            self.state, self.plain = b"T", behind == b"BEGIN"
            self.lead_life = self.backend.lead_life
            self._ready(b"DONE -\r\n")

    def _state(self, word: bytes, rest: bytes) -> None:
        backend = self.backend
        if (word in (b"PAUSE", b"STEPDOWN")) != rest.isdigit() or (rest and not rest.isdigit()):
            self._wrong(f"{word!r} with {rest[:40]!r}")
            self._error(b"GARBLED")
            return

        def run() -> None:
            term = int(rest) if rest else 0
            if word == b"PAUSE" and not backend.is_primary and term > backend.term and term >= backend.term_held:
                backend.paused, backend.term_held = True, term
            elif word == b"CONTINUE":
                backend.paused, backend.term_held = False, 0
            elif word == b"STEPDOWN" and backend.is_primary and backend.term < term:
                backend.give_way()
            self._ready(b"ROW " + backend.state_row() + b"\r\nDONE -\r\n")

        if not self._work(cost_us=1_000, then=run):
            self._error(b"BUSY " + backend.name.encode())

    # -- statements of clients --

    def _client(self, ident: bytes, text: bytes) -> None:
        backend, referee = self.backend, self.backend.referee
        has, behind = self._guarded(text)
        statement = referee.arrived(ident=ident, text=behind, guarded=behind is not text, door=self)
        own = backend.name.encode()
        if statement is None:
            self._error(b"GARBLED nobody asked", fails=True)
            return
        if self.state == b"E" and statement.kind != "commit":
            self._error(b"GARBLED the transaction has failed")
            return
        writes = statement.kind == "write"
        lost = self.state == b"T" and self.plain and self.lead_life != backend.lead_life
        if statement.kind == "commit":
            self._commit(statement=statement, lost=lost)
            return
        self.alias = behind.split(b" ")[1] if statement.shape is not None else b""
        if self.alias and self.alias not in self.prepared:
            self._error(b"UNNAMED", fails=True)
        elif backend.busy:
            self._error(b"BUSY " + own)
        elif lost or (writes and (not backend.is_primary or (self.state == b"T" and not self.plain))):
            self._error(b"READONLY " + own, fails=True)
        elif not has:
            self._error(b"LAGGING " + own, fails=True)
        elif not self._work(
            cost_us=backend.costs.work_us, then=lambda: self._write(statement) if writes else self._read(statement)
        ):
            self._error(b"BUSY " + own)

    def _lose(self) -> bool:
        """Whether this answer is lost, in one of the ways in which answers get lost."""
        if self.backend.rng.random() >= self.backend.lose_share:
            return False
        way = self.backend.rng.randrange(3)
        if way == 0:
            self.break_off()
        elif way == 1:
            self._say(b"ROW " + b"x" * 5)
            self._close()
        else:
            # why: some answers never come, and the connection stays open all the same
            self.stuck = True
        return True

    def _done(self, *, statement: ClientStatement, rows: tuple[bytes, ...]) -> None:
        stamp = self.backend.stamp()
        statement.stamps[stamp] = rows
        if not self._lose():
            self._ready(b"".join(b"ROW " + row + b"\r\n" for row in rows) + b"DONE " + stamp + b"\r\n")

    def _read(self, statement: ClientStatement) -> None:
        backend = self.backend
        backend.referee.ran(statement=statement, door=self)
        if backend.rng.random() < backend.fail_share:
            self._error(b"FAILED " + backend.name.encode(), fails=True)
            return
        count = 1 + backend.rng.randrange(2)
        self._done(statement=statement, rows=tuple(b"%x" % backend.rng.getrandbits(48) for _ in range(count)))

    def _write(self, statement: ClientStatement) -> None:
        backend = self.backend
        if self.state == b"I":
            if not backend.is_primary:
                self._error(b"READONLY " + backend.name.encode())
                return
            backend.referee.ran(statement=statement, door=self)
            self._append(statement=statement, writes=(statement,))
            return
        if self.lead_life != backend.lead_life:
            self._error(b"READONLY " + backend.name.encode(), fails=True)
            return
        backend.referee.ran(statement=statement, door=self)
        self.writes.append(statement)
        self._done(statement=statement, rows=())

    def _append(self, *, statement: ClientStatement, writes: tuple[ClientStatement, ...]) -> None:
        def done(entry: LogEntry) -> None:
            if self.transport is not None:
                self._done(statement=statement, rows=())

        self.committing = self.backend.commit(writes=writes, done=done)

    def _commit(self, *, statement: ClientStatement, lost: bool) -> None:
        own = self.backend.name.encode()
        if self.state == b"I":
            self._error(b"GARBLED no transaction")
        elif self.state == b"E":
            self._end()
            self._error(b"ABORTED " + own)
        elif lost and self.writes:
            self.state = b"E"
            self._error(b"READONLY " + own)
        elif self.backend.busy or not self._work(
            cost_us=self.backend.costs.work_us, then=lambda: self._commit_now(statement)
        ):
            self._error(b"BUSY " + own)

    def _commit_now(self, statement: ClientStatement) -> None:
        if self.writes and self.lead_life != self.backend.lead_life:
            self.state = b"E"
            self._error(b"READONLY " + self.backend.name.encode())
            return
        self.backend.referee.ran(statement=statement, door=self)
        writes = tuple(self.writes)
        self._end()
        if writes:
            self._append(statement=statement, writes=writes)
        else:
            self._done(statement=statement, rows=())
