"""The backend's side of the wire protocol: one connection, with every deviation reported."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from ...pooler.link_limits import CONTROL_LINKS
from .attempt import Attempt
from .client_statement import ClientStatement
from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend

MAX_LINE_BYTES = 1024 * 1024
SYSTEM_ID = b"-"
STATE_WORDS = (b"STATE", b"PAUSE", b"CONTINUE", b"STEPDOWN")


class BackendProtocol(asyncio.Protocol):
    """Processes messages one at a time; protocol errors are reported to the oracle's WIRE rule.

    State of the connection: transaction `state` (I idle, T open, E failed), whether it may write (`plain`), its
    `writes` so far, its `owner`, session `values` and `prepared` statements. `primary_incarnation` is the backend's
    when the transaction began: after a change of role its writes are refused. `committing` is the entry that waits
    for confirmations; a `stuck` connection never answers again.
    """

    def __init__(self, *, backend: "StandInBackend") -> None:
        self.backend = backend
        self.transport: Any = None
        self.rest = b""
        self.lines: deque[bytes] = deque()
        self.working = False
        self.handshake_done = False
        self.state = b"I"
        self.plain = False
        self.primary_incarnation = 0
        self.writes: list[ClientStatement] = []
        self.owner: Attempt | None = None
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, tuple[bytes, bool]] = {}
        self.committing: LogEntry | None = None
        self.unreachable_since_us: int | None = None
        self.stuck = False
        self.alias = b""

    # -- of asyncio.Protocol --

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.backend.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.lines.clear()
        self.backend.connections.pop(self, None)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        if len(self.rest) > MAX_LINE_BYTES:
            self._breach(f"a line is longer than {MAX_LINE_BYTES} bytes")
        self.lines.extend(lines)
        self._next()

    def drop_if_unreachable(self, *, timeout_us: int) -> None:
        """Drops the connection once its peer has been unreachable for `timeout_us`."""
        if self.transport is None:
            return
        if self.backend.fabric.reaches(one=self.backend.name, other=self.transport.peer.host):
            self.unreachable_since_us = None
        elif self.unreachable_since_us is None:
            self.unreachable_since_us = self.backend.now_us
        elif self.backend.now_us - self.unreachable_since_us >= timeout_us:
            self.transport.fail(error=TimeoutError("the peer is unreachable"))

    # -- messages --

    @property
    def peer_host(self) -> str:
        return "" if self.transport is None else self.transport.peer.host

    def _breach(self, description: str) -> None:
        self.backend.oracle.wire.breach(description=f"{self.peer_host} to {self.backend.name}: {description}")

    def _next(self) -> None:
        while self.lines and not self.working and not self.stuck and self.transport is not None:
            self.working = True
            self._message(self.lines.popleft())

    def _message(self, line: bytes) -> None:
        self.backend.oracle.wire.count_check()
        word, _, rest = line.partition(b" ")
        if word == b"GREET" and not self.handshake_done:
            self._handshake(rest)
        elif word == b"ASK" and self.handshake_done and b" " in rest:
            ident, _, text = rest.partition(b" ")
            if ident == SYSTEM_ID:
                self._system_statement(text)
            else:
                self._client_statement(ident, text)
        elif word == b"BYE" and not rest:
            self._close()
        else:
            self._breach(f"unknown message {line[:80]!r}")
            self._error(b"GARBLED no such message", close=True)

    def _send(self, data: bytes) -> None:
        if self.transport is not None:
            self.transport.write(data)

    def _close(self) -> None:
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Resets the connection, possibly in the middle of an answer."""
        if self.transport is not None:
            self.transport.abort()

    def _next_message(self) -> None:
        self.working = False
        self._next()

    def _ready(self, head: bytes) -> None:
        self._send(head + b"READY " + self.state + b" " + self.backend.position_text() + b"\r\n")
        self._next_message()

    def _error(self, words: bytes, *, close: bool = False, fails: bool = False) -> None:
        if close:
            self._send(b"ERROR " + words + b"\r\n")
            self._close()
            return
        if fails and self.state == b"T":
            self.state = b"E"
        self._ready(b"ERROR " + words + b"\r\n")

    def _handshake(self, rest: bytes) -> None:
        backend = self.backend
        fields = rest.split(b" ")
        if len(fields) not in (2, 3) or not all(fields):
            self._breach(f"GREET has {len(fields)} fields, expected 2 or 3")
            self._error(b"GARBLED", close=True)
            return
        own = backend.name.encode()
        if fields[0] != backend.service.name.encode() or (len(fields) == 3 and fields[2] != own):
            backend.oracle.wrong_host_refusals += 1
            self._error(b"WRONGHOST " + own, close=True)
            return
        if len(backend.connections) > backend.service.max_links:
            backend.oracle.full_refusals += 1
            self._error(b"FULL " + own, close=True)
            return
        self.handshake_done = True
        self._count_proxy_connections()
        if not self._work(cost_us=backend.costs.link_us, then=lambda: self._ready(b"")):
            self._error(b"BUSY " + own, close=True)

    def _count_proxy_connections(self) -> None:
        """Reports how many connections running proxies hold; those closed by a proxy don't count."""
        backend = self.backend
        if not self.peer_host.startswith("booth-"):
            return
        ends = [
            connection.transport.peer
            for connection in backend.connections
            if connection.handshake_done and connection.transport is not None
        ]
        held = sum(
            end.host.startswith("booth-") and not end.closing and (end.process is None or not end.process.dead)
            for end in ends
        )
        max_links = backend.service.max_links
        scarce = backend.oracle.proxies > max_links - CONTROL_LINKS
        backend.oracle.cap.handshake_done(backend=backend.name, held=held, max_links=max_links, scarce=scarce)

    def _work(self, *, cost_us: int, then: Any) -> bool:
        def run() -> None:
            if self.transport is not None:
                then()

        if self.backend.busy:
            return False
        return self.backend.slots.submit(cost_s=cost_us * self.backend.slowdown / 1_000_000, then=run)

    # -- statements that proxies send for themselves --

    def _system_statement(self, text: bytes) -> None:
        word, _, rest = text.partition(b" ")
        name, _, content = rest.partition(b" ")
        if self.state == b"E" and word not in (b"UNDO", *STATE_WORDS):
            self._breach(f"{word!r} in a failed transaction")
            self._error(b"GARBLED the transaction has failed")
        elif word in (b"AFTER", b"BEGIN"):
            self._begin(text)
        elif word == b"UNDO" and not rest and self.state != b"I":
            self._end_transaction()
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
                self._breach(f"NAME without a statement: {text[:80]!r}")
            self.prepared[name] = (shape, kind == b"PUT")
            self._ready(b"DONE -\r\n")
        elif word == b"FORGET" and name:
            known = self.prepared.pop(name, None)
            self._ready(b"DONE -\r\n" if known else b"ERROR UNNAMED\r\n")
        elif word in STATE_WORDS:
            self._state(word, rest)
        else:
            self._breach(f"unknown statement without a client's id: {text[:80]!r}")
            if word in (b"FETCH", b"PUT", b"RUN", b"COMMIT"):
                self.backend.oracle.unasked.breach(
                    description=f"{self.backend.name} got {text[:60]!r} without a client's id"
                )
            self._error(b"GARBLED", fails=True)

    def _end_transaction(self) -> None:
        self.state, self.writes, self.owner, self.plain = b"I", [], None, False

    def _check_guard(self, text: bytes) -> tuple[bool, bytes]:
        """Whether the applied log reaches the position after AFTER, and the text behind it."""
        word, _, rest = text.partition(b" ")
        if word != b"AFTER":
            return True, text
        place, _, behind = rest.partition(b" ")
        term, dot, number = place.partition(b".")
        if not dot or not term.isdigit() or not number.isdigit() or not behind:
            self._breach(f"AFTER without a position: {text[:60]!r}")
            return True, behind
        return self.backend.position >= (int(term), int(number)), behind

    def _begin(self, text: bytes) -> None:
        has, behind = self._check_guard(text)
        own = self.backend.name.encode()
        if behind not in (b"BEGIN", b"BEGIN FETCH") or self.state != b"I":
            self._breach(f"{text[:60]!r} begins a transaction in state {self.state!r}")
            self._error(b"GARBLED", fails=True)
        elif self.backend.busy:
            self._error(b"BUSY " + own)
        elif not has:
            self._error(b"LAGGING " + own)
        elif behind == b"BEGIN" and not self.backend.is_primary:
            self._error(b"READONLY " + own)
        else:
            self.state, self.plain = b"T", behind == b"BEGIN"
            self.primary_incarnation = self.backend.primary_incarnation
            self._ready(b"DONE -\r\n")

    def _state(self, word: bytes, rest: bytes) -> None:
        backend = self.backend
        if (word in (b"PAUSE", b"STEPDOWN")) != rest.isdigit() or (rest and not rest.isdigit()):
            self._breach(f"{word!r} with {rest[:40]!r}")
            self._error(b"GARBLED")
            return

        def run() -> None:
            term = int(rest) if rest else 0
            if word == b"PAUSE" and not backend.is_primary and term > backend.term and term >= backend.term_held:
                backend.paused, backend.term_held = True, term
            elif word == b"CONTINUE":
                backend.paused, backend.term_held = False, 0
            elif word == b"STEPDOWN" and backend.is_primary and backend.term < term:
                backend.step_down()
            self._ready(b"ROW " + backend.state_row() + b"\r\nDONE -\r\n")

        if not self._work(cost_us=1_000, then=run):
            self._error(b"BUSY " + backend.name.encode())

    # -- statements of clients --

    def _client_statement(self, ident: bytes, text: bytes) -> None:
        backend, oracle = self.backend, self.backend.oracle
        has, behind = self._check_guard(text)
        statement = oracle.arrived(ident=ident, text=behind, guarded=behind is not text, connection=self)
        own = backend.name.encode()
        if statement is None:
            self._error(b"GARBLED unknown statement id", fails=True)
            return
        if self.state == b"E" and statement.kind != "commit":
            self._error(b"GARBLED the transaction has failed")
            return
        writes = statement.kind == "write"
        lost = self.state == b"T" and self.plain and self.primary_incarnation != backend.primary_incarnation
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

    def _lose_answer(self) -> bool:
        """Whether this answer is lost: by a reset, a truncated answer, or silence."""
        if self.backend.rng.random() >= self.backend.lost_answer_share:
            return False
        variant = self.backend.rng.randrange(3)
        if variant == 0:
            self.abort()
        elif variant == 1:
            self._send(b"ROW " + b"x" * 5)
            self._close()
        else:
            # no answer, on a connection that stays open
            self.stuck = True
        return True

    def _send_result(self, *, statement: ClientStatement, rows: tuple[bytes, ...]) -> None:
        stamp = self.backend.stamp()
        statement.stamps[stamp] = rows
        if not self._lose_answer():
            self._ready(b"".join(b"ROW " + row + b"\r\n" for row in rows) + b"DONE " + stamp + b"\r\n")

    def _read(self, statement: ClientStatement) -> None:
        backend = self.backend
        backend.oracle.ran(statement=statement, connection=self)
        if backend.rng.random() < backend.failed_read_share:
            self._error(b"FAILED " + backend.name.encode(), fails=True)
            return
        count = 1 + backend.rng.randrange(2)
        self._send_result(statement=statement, rows=tuple(b"%x" % backend.rng.getrandbits(48) for _ in range(count)))

    def _write(self, statement: ClientStatement) -> None:
        backend = self.backend
        if self.state == b"I":
            if not backend.is_primary:
                self._error(b"READONLY " + backend.name.encode())
                return
            backend.oracle.ran(statement=statement, connection=self)
            self._append(statement=statement, writes=(statement,))
            return
        if self.primary_incarnation != backend.primary_incarnation:
            self._error(b"READONLY " + backend.name.encode(), fails=True)
            return
        backend.oracle.ran(statement=statement, connection=self)
        self.writes.append(statement)
        self._send_result(statement=statement, rows=())

    def _append(self, *, statement: ClientStatement, writes: tuple[ClientStatement, ...]) -> None:
        def done(entry: LogEntry) -> None:
            if self.transport is not None:
                self._send_result(statement=statement, rows=())

        self.committing = self.backend.commit(writes=writes, done=done)

    def _commit(self, *, statement: ClientStatement, lost: bool) -> None:
        own = self.backend.name.encode()
        if self.state == b"I":
            self._error(b"GARBLED no transaction")
        elif self.state == b"E":
            self._end_transaction()
            self._error(b"ABORTED " + own)
        elif lost and self.writes:
            self.state = b"E"
            self._error(b"READONLY " + own)
        elif self.backend.busy or not self._work(
            cost_us=self.backend.costs.work_us, then=lambda: self._commit_now(statement)
        ):
            self._error(b"BUSY " + own)

    def _commit_now(self, statement: ClientStatement) -> None:
        if self.writes and self.primary_incarnation != self.backend.primary_incarnation:
            self.state = b"E"
            self._error(b"READONLY " + self.backend.name.encode())
            return
        self.backend.oracle.ran(statement=statement, connection=self)
        writes = tuple(self.writes)
        self._end_transaction()
        if writes:
            self._append(statement=statement, writes=writes)
        else:
            self._send_result(statement=statement, rows=())
