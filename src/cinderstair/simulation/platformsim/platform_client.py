"""A client of the platform, with long or short sessions."""

import asyncio
import random
from collections.abc import Callable

from .attempt import Attempt
from .client_answer import ClientAnswer
from .client_protocol import ClientProtocol
from .client_statement import ClientStatement
from .oracle import NOT_EXECUTED_CODES, Oracle
from .sim_streams import SimStreams
from .stand_in_platform import StandInPlatform
from .stand_in_service import StandInService
from .stream_fabric import StreamFabric

DEADLINE_US = 2_500_000
HANDSHAKE_US = 2_000_000
MAX_ATTEMPTS = 3
MAX_STATEMENT_ID = 1 << 62
ABANDONED, UNOPENED, DISCONNECTED, SILENT, DONE = "abandoned", "unopened", "disconnected", "silent", "done"
Step = tuple[str, bytes, int]


class PlatformClient:
    """Runs random operations on one database; each statement is reported to the oracle before it is sent.

    Session state: `values` set and `shapes` prepared, both acknowledged. `attempted` and `served` count operations.
    `answered` and `dropped` report each answer, and each connection that closed without one.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        database: str,
        services: dict[str, StandInService],
        fabric: StreamFabric,
        streams: SimStreams,
        platform: StandInPlatform,
        oracle: Oracle,
        rng: random.Random,
        think_us: int,
        long_sessions: bool,
        write_share: float,
        transaction_share: float,
        pauses_us: tuple[int, ...],
        answered: Callable[[str, int, str], None],
        dropped: Callable[[str, int, str], None],
    ) -> None:
        self.name = name
        self.zone = zone
        self.database = database
        self.services = services
        self.fabric = fabric
        self.streams = streams
        self.platform = platform
        self.oracle = oracle
        self.rng = rng
        self.think_us = think_us
        self.long_sessions = long_sessions
        self.write_share = write_share
        self.transaction_share = transaction_share
        self.pauses_us = pauses_us
        self.answered = answered
        self.dropped = dropped
        self.stopped = False
        self.connection: ClientProtocol | None = None
        self.proxy = ""
        self.sessions = 0
        self.session = 0
        self.values: dict[bytes, bytes] = {}
        self.shapes: dict[bytes, tuple[bytes, bool]] = {}
        self.attempted = 0
        self.served = 0
        self.waits_us: list[int] = []

    @property
    def now_us(self) -> int:
        return self.fabric.now_us

    async def run(self) -> None:
        """Operates until `stopped`."""
        await asyncio.sleep(self.rng.randrange(self.think_us) / 1_000_000)
        while not self.stopped:
            await self._operate()
            if not self.long_sessions or self.rng.random() < 0.02:
                self._disconnect()
            await asyncio.sleep(self.rng.randrange(self.think_us // 2, self.think_us * 3 // 2) / 1_000_000)
        self._disconnect()

    def _disconnect(self) -> None:
        if self.connection is not None:
            self.connection.close(farewell=True)
        self.connection = None

    # -- operations --

    def _statement(self, *, writes: bool) -> Step:
        """A read or write, sometimes as a prepared statement."""
        key = b"k%d" % self.rng.randrange(40)
        if writes:
            key += b" %x" % self.rng.getrandbits(32)
        names = sorted(name for name, (_, changes) in self.shapes.items() if changes == writes)
        if names and self.rng.random() < 0.4:
            return "write" if writes else "read", b"RUN " + self.rng.choice(names) + b" " + key, 0
        return "write" if writes else "read", (b"PUT " if writes else b"FETCH ") + key, 0

    def _draw_steps(self) -> list[Step]:
        """The steps of an operation: kind, text, and the pause before it in us."""
        writes = self.rng.random() < self.write_share
        if self.rng.random() >= self.transaction_share:
            return [self._statement(writes=writes)]
        steps: list[Step] = [("begin" if writes else "begin_read", b"BEGIN" if writes else b"BEGIN FETCH", 0)]
        count = self.rng.randrange(1, 5)
        for number in range(count):
            kind, text, _ = self._statement(writes=writes and (number == 0 or self.rng.random() < 0.5))
            steps.append((kind, text, self.rng.choice(self.pauses_us)))
        draw = self.rng.random()
        if draw < 0.03:
            steps.append(("leave", b"", 30_000))
        elif draw < 0.13:
            steps.append(("undo", b"UNDO", 10_000))
        else:
            steps.append(("commit", b"COMMIT", self.rng.choice((0, 20_000))))
        return steps

    async def _operate(self) -> None:
        began_us = self.now_us
        # `_attempt` extends the deadline by the client's own pauses
        until_us = began_us + DEADLINE_US
        if self.connection is not None and self.connection.open and not await self._change_session_state():
            self._disconnect()
        steps = self._draw_steps()
        self.attempted += 1
        served = False
        for number in range(MAX_ATTEMPTS):
            attempt = Attempt(
                client=self.name,
                session=self.session,
                database=self.database,
                in_transaction=len(steps) > 1,
                read_only=not any(kind in ("write", "begin") for kind, *_ in steps),
            )
            attempt.outcome = await self._attempt(attempt=attempt, steps=steps, until_us=until_us)
            if attempt.outcome == ABANDONED:
                self.attempted -= 1
                return
            served = attempt.outcome == DONE
            wait_us = self.rng.randrange(40_000, 120_000) << number
            if served or not self._may_retry(attempt=attempt) or self.now_us + wait_us >= until_us:
                break
            await asyncio.sleep(wait_us / 1_000_000)
        self.served += served
        self.waits_us.append(self.now_us - began_us)
        if any(kind in ("write", "begin") for kind, *_ in steps):
            self.oracle.shard.waited(database=self.database, began_us=began_us, ended_us=self.now_us)
        self.oracle.recover.operated(began_us=began_us, served=served)

    def _may_retry(self, *, attempt: Attempt) -> bool:
        """Whether a retry can't execute a write twice."""
        if attempt.not_executed_codes or attempt.outcome in NOT_EXECUTED_CODES:
            return True
        if attempt.outcome == "FAILED":
            return attempt.read_only
        return not attempt.commit_sent

    # -- sessions --

    async def _open(self, *, until_us: int) -> bool:
        """Opens a session, with values and prepared statements; False after a failure."""
        self.sessions += 1
        self.proxy = self.platform.assign(client=self.name, zone=self.zone, number=self.sessions)
        opened = await self.streams.connect(
            address=self.platform.proxy_addresses[self.proxy],
            protocol=lambda: ClientProtocol(client=self.name, oracle=self.oracle),
            wait_us=min(HANDSHAKE_US, max(1, until_us - self.now_us)),
        )
        if opened.is_error():
            return False
        self.connection = opened.ok
        self.session = self.rng.getrandbits(60)
        self.values, self.shapes = {}, {}
        line = b"GREET " + self.database.encode() + b" " + self.name.encode()
        answer = await self._answer(line=line, until_us=self.now_us + HANDSHAKE_US, handshake=True)
        if answer is None or answer.code or answer.state != b"I":
            if answer is not None and answer.code:
                self.oracle.answers[f"greet {answer.code}"] += 1
            self._disconnect()
            return False
        for number in range(self.rng.randrange(1, 3) if self.long_sessions else self.rng.randrange(2)):
            if not await self._set(name=b"v%d" % number):
                return False
        for number in range(self.rng.randrange(1, 4) if self.long_sessions else 0):
            if not await self._name(name=b"s%d" % number):
                return False
        return True

    async def _change_session_state(self) -> bool:
        """Sometimes sets a value, or prepares or forgets a statement; False after a failure."""
        draw = self.rng.random()
        if draw < 0.04:
            return await self._set(name=b"v%d" % self.rng.randrange(3))
        if draw < 0.07:
            return await self._name(name=b"s%d" % self.rng.randrange(3))
        if draw < 0.08 and self.shapes:
            name = self.rng.choice(sorted(self.shapes))
            answer = await self._plain(text=b"FORGET " + name)
            if answer is not None and not answer.code:
                del self.shapes[name]
            return answer is not None and not answer.code
        return True

    async def _plain(self, *, text: bytes) -> ClientAnswer | None:
        ident = b"%016x" % self.rng.randrange(MAX_STATEMENT_ID)
        return await self._answer(line=b"ASK " + ident + b" " + text, until_us=self.now_us + HANDSHAKE_US)

    async def _set(self, *, name: bytes) -> bool:
        value = b"%x" % self.rng.randrange(1 << 16)
        answer = await self._plain(text=b"SET " + name + b" " + value)
        if answer is None or answer.code or answer.state != b"I":
            self._disconnect()
            return False
        self.values = {**self.values, name: value}
        return True

    async def _name(self, *, name: bytes) -> bool:
        writes = self.rng.random() < 0.4
        shape = b"q%d" % self.rng.randrange(6)
        answer = await self._plain(text=b"NAME " + name + (b" PUT " if writes else b" FETCH ") + shape)
        if answer is None or answer.code or answer.state != b"I":
            self._disconnect()
            return False
        self.shapes = {**self.shapes, name: (shape, writes)}
        return True

    async def _answer(self, *, line: bytes, until_us: int, handshake: bool = False) -> ClientAnswer | None:
        """None after a timeout or the end of the connection, which is closed then."""
        connection, requested_us = self.connection, self.now_us
        assert connection is not None
        try:
            async with asyncio.timeout(max(0.001, (until_us - requested_us) / 1_000_000)):
                answer = await connection.request(line=line, handshake=handshake)
            self.answered(self.proxy, requested_us, line[:40].decode())
            return answer
        except TimeoutError:
            connection.close()
            return None
        except ConnectionError:
            self.dropped(self.proxy, requested_us, line[:40].decode())
            return None

    # -- attempts --

    async def _attempt(self, *, attempt: Attempt, steps: list[Step], until_us: int) -> str:
        if self.connection is None or not self.connection.open:
            if not await self._open(until_us=until_us):
                return UNOPENED
        attempt.session = self.session
        known = {text.split(b" ")[1] for _, text, _ in steps if text.startswith(b"RUN")}
        if any(name not in self.shapes for name in known) or any(
            self.shapes[text.split(b" ")[1]][1] != (kind == "write")
            for kind, text, _ in steps
            if text.startswith(b"RUN")
        ):
            # a new session has other prepared statements, so the operation is sent in full
            steps[:] = [self._in_full(step=step) for step in steps]
        first_us = 0
        for kind, text, pause_us in steps:
            if pause_us:
                await asyncio.sleep(pause_us / 1_000_000)
                until_us += pause_us
            if kind == "leave":
                assert self.connection is not None
                self.connection.close(farewell=self.rng.random() < 0.5)
                return ABANDONED
            first_us = first_us or self.now_us
            outcome = await self._send(attempt=attempt, kind=kind, text=text, first_us=first_us, until_us=until_us)
            if outcome != DONE:
                return outcome
        return DONE

    def _in_full(self, *, step: Step) -> Step:
        kind, text, pause_us = step
        if not text.startswith(b"RUN"):
            return step
        rest = text.split(b" ", 2)[2]
        return kind, (b"PUT " if kind == "write" else b"FETCH ") + rest, pause_us

    async def _send(self, *, attempt: Attempt, kind: str, text: bytes, first_us: int, until_us: int) -> str:
        ident = b"%016x" % self.rng.randrange(MAX_STATEMENT_ID)
        runs = text.startswith(b"RUN")
        statement = ClientStatement(
            ident=ident,
            text=text,
            kind=kind,
            attempt=attempt,
            sent_us=self.now_us,
            first_us=first_us,
            autocommit=not attempt.in_transaction,
            proxy=self.proxy,
            values=self.values,
            shape=self.shapes[text.split(b" ")[1]] if runs else None,
            rest=text.split(b" ", 2)[2] if runs else b"",
        )
        self.oracle.client_sent(statement=statement)
        attempt.statements.append(statement)
        attempt.commit_requested |= kind == "commit"
        attempt.commit_sent |= kind == "commit" or (kind == "write" and statement.autocommit)
        answer = await self._answer(line=b"ASK " + ident + b" " + text, until_us=until_us)
        if answer is None:
            return DISCONNECTED if self.connection is not None and self.connection.ended else SILENT
        statement.answered_us = self.now_us
        if answer.code:
            return await self._failed(attempt=attempt, statement=statement, answer=answer)
        if kind in ("read", "write", "commit"):
            self.oracle.mixed.succeeded(statement=statement, stamp=answer.stamp, rows=tuple(answer.rows))
        if kind == "commit" or (kind == "write" and statement.autocommit):
            writes = [each for each in attempt.statements if each.kind == "write"]
            if writes:
                self.oracle.acknowledged(writes=writes, services=self.services, now_us=self.now_us)
        ends = statement.autocommit or kind in ("commit", "undo")
        if answer.state != (b"I" if ends else b"T"):
            self.oracle.wire.breach(description=f"{self.name}: {kind} leaves {answer.state!r}")
            self._disconnect()
        return DONE

    async def _failed(self, *, attempt: Attempt, statement: ClientStatement, answer: ClientAnswer) -> str:
        self.oracle.client_rejected(attempt=attempt, code=answer.code)
        if answer.code == "UNNAMED" and statement.shape is not None:
            self.oracle.pinned.unnamed(client=self.name, name=statement.text.split(b" ")[1])
        if answer.code == "GARBLED" and answer.state != b"E":
            self.oracle.wire.breach(
                description=f"{self.name}: {statement.text[:60]!r} is GARBLED in {answer.state!r}"
            )
        if answer.state != b"I":
            undone = await self._plain(text=b"UNDO")
            if undone is None or undone.code or undone.state != b"I":
                self._disconnect()
        return answer.code
