"""A test harness that runs one component of a daemon on virtual time, and fakes of its collaborators.

Times are in microseconds where a name ends with `_us`, and in milliseconds where it ends with `_ms`.
"""

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Error, Ok, Result

from cinderstair.config.service_plan import PLAN_KEY, Consistency, DatabaseRoute, Service, ServicePlan
from cinderstair.consensus.ballot import Ballot
from cinderstair.failover.proxy_ids import PROXY_IDS_KEY, ProxyId, ProxyIds
from cinderstair.failover.service_primary import PrimaryState, ServicePrimary, service_primary_key
from cinderstair.membership.announcement import Announcement
from cinderstair.membership.heartbeat import READY
from cinderstair.membership.relay_record import RelayAnswer, RelayedBackend, RelayedValue
from cinderstair.pooler.relayed_view import RelayedView
from cinderstair.pooler.reply import Reply, State
from cinderstair.pooler.statement import PreparedStatement, Statement, Verb
from cinderstair.runtime.context import Context
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.no_disk import NoDisk
from cinderstair.runtime.position import Position
from cinderstair.simulation.virtual_loop import VirtualLoop

SITE = "kingston"
NOT_RUN_ERRORS = ("BUSY", "UNNAMED", "LAGGING", "READONLY")
RETRIABLE_ERRORS = ("FAILED", "TIMEOUT")
REPLY_DELAY_US = 1_000


class Stage:
    """An event loop on virtual time and the context of one daemon, which has neither a disk nor reachable peers.

    Registers itself in `context.worlds`, so that the after_scenario hook closes it. Exceptions that reach the loop's
    exception handler are collected in `crashes`.
    """

    def __init__(self, *, context: Any, name: str = "booth-1", seed: int = 1) -> None:
        self.loop = VirtualLoop()
        self.crashes: list[str] = []
        self.loop.set_exception_handler(lambda _, found: self.crashes.append(str(found.get("exception"))))
        self.ctx = self.context(name=name, seed=seed)
        context.worlds.append(self)

    def context(self, *, name: str, seed: int = 1) -> Context:
        """Creates the context of another daemon on the same clock."""
        log = logging.getLogger(f"stage.{name}")
        log.setLevel(logging.CRITICAL + 1)
        return Context(
            name=name,
            site=SITE,
            rng=random.Random(seed),
            clock=lambda: self.now_us,
            wall=lambda: self.now_us,
            net=NoNet(),
            disk=NoDisk(),
            log=log,
        )

    @property
    def now_us(self) -> int:
        """The virtual time."""
        return round(self.loop.virtual * 1_000_000)

    @property
    def crashed(self) -> int:
        """The number of unhandled exceptions: those in the loop, and those that the daemon's own tasks counted."""
        return len(self.crashes) + self.ctx.counters.counts["internal.crashes"]

    def run(self, *, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    def call(self, *, call: Callable[[], Any]) -> Any:
        """Calls a function that needs a running loop, and returns its result."""

        async def work() -> Any:
            return call()

        return self.run(work=work())

    def advance(self, *, for_us: int) -> None:
        """Runs the loop until virtual time has advanced this far."""
        self.run(work=asyncio.sleep(for_us / 1_000_000))

    def close(self) -> None:
        """Cancels all tasks and closes the loop."""
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()

        async def cancel_tasks() -> None:
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(work=cancel_tasks())
        self.loop.close()


class NoNet:
    """A network on which every request fails with an unknown outcome."""

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="no network"))


class MemoryTransport(asyncio.Transport):
    """A transport that collects written bytes; the test plays the peer.

    `take` returns what was written since the last call, `feed` delivers bytes to the protocol.
    """

    def __init__(self, *, protocol: Any) -> None:
        super().__init__()
        self.protocol = protocol
        self.sent = b""
        self.closing = False
        self.paused = False
        self.aborted = False
        protocol.connection_made(self)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def write(self, data: Any) -> None:
        if not self.closing:
            self.sent += bytes(data)

    def take(self) -> bytes:
        sent, self.sent = self.sent, b""
        return sent

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.paused = True

    def resume_reading(self) -> None:
        self.paused = False

    def close(self) -> None:
        self.lose(error=None)

    def abort(self) -> None:
        self.aborted = True
        self.lose(error=None)

    def lose(self, *, error: Exception | None) -> None:
        """Ends the connection; the protocol learns of it in the next iteration of the loop."""
        if not self.closing:
            self.closing = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, error)

    def feed(self, data: bytes) -> None:
        if not self.closing:
            self.protocol.data_received(data)

    def end(self) -> None:
        """Delivers the peer's end of file; as in asyncio, closes unless the protocol's eof_received returns true."""
        if not self.closing and not self.protocol.eof_received():
            self.close()


def position(*, text: str) -> Position | None:
    """Parses `TERM.NUMBER`; an empty text or `-` is no position."""
    if text in ("", "-"):
        return None
    term, _, number = text.partition(".")
    return Position(int(term), int(number))


def position_text(*, at: Position | None) -> str:
    """Formats a position as `position` parses it."""
    return "-" if at is None else f"{at.term}.{at.number}"


def statement(*, text: str) -> Statement:
    """Parses a client's statement, written as the platform's clients write them, e.g. `SET name value`."""
    word, _, rest = text.partition(" ")
    name, _, content = rest.partition(" ")
    kind, _, shape = content.partition(" ")
    raw = text.encode()
    fields_by_word: dict[str, dict[str, Any]] = {
        "BEGIN": {"verb": Verb.begin_read if rest else Verb.begin},
        "COMMIT": {"verb": Verb.commit, "text": raw},
        "UNDO": {"verb": Verb.rollback, "text": raw},
        "FETCH": {"verb": Verb.read, "text": raw},
        "PUT": {"verb": Verb.write, "text": raw},
        "SET": {"verb": Verb.set_value, "name": name.encode(), "content": content.encode()},
        "RUN": {"verb": Verb.execute, "name": name.encode(), "content": content.encode()},
        "FORGET": {"verb": Verb.forget, "name": name.encode()},
        "NAME": {"verb": Verb.prepare, "name": name.encode(), "content": shape.encode(), "writes": kind == "PUT"},
    }
    return Statement(ident=b"x", **fields_by_word[word])


class FakeBackend:
    """The scripted replies of a backend, and a log of what its links were sent.

    Each request takes the next entry of its script, or `ok` if the script is empty. Entries of `script` and
    `rollback_script`: `ok`, `ok@TERM.NUMBER` (a reply with this position), `silent` (no reply), `lose` (the link is
    lost), `slow MS` (a late reply), or a backend's error word. Entries of `dial_script` are those of FakeDialer.
    """

    def __init__(self, *, name: str, at: Position) -> None:
        self.name = name
        self.at = at
        self.script: deque[str] = deque()
        self.log: list[str] = []
        self.links: list[FakeLink] = []
        self.dial_script: deque[str] = deque()
        self.rollback_script: deque[str] = deque()
        self.dialled = 0

    @property
    def open_links(self) -> int:
        return sum(link.open for link in self.links)


class FakeLink:
    """A link to a FakeBackend, which answers by its script."""

    def __init__(self, *, backend: FakeBackend) -> None:
        self.backend = backend
        self.number = len(backend.links) + 1
        backend.links.append(self)
        self.values: dict[bytes, bytes] = {}
        self.prepared: dict[bytes, PreparedStatement] = {}
        self.on_lost: Callable[[], None] | None = None
        self.open = True
        self.replies: list[asyncio.Future[Reply]] = []
        self.sent_at_s: list[float] = []
        self.state = State.idle
        self.log: list[str] = []

    @property
    def waiting(self) -> int:
        """The number of requests without a reply."""
        return sum(not future.done() for future in self.replies)

    @property
    def oldest_wait_us(self) -> int:
        """The age of the oldest request without a reply, 0 if there is none."""
        now = asyncio.get_running_loop().time()
        since = [at for future, at in zip(self.replies, self.sent_at_s, strict=True) if not future.done()]
        return int((now - since[0]) * 1_000_000) if since else 0

    def _append_log(self, text: str) -> None:
        self.log.append(text)
        self.backend.log.append(text)

    def lose(self) -> None:
        """Loses the link: requests without a reply fail, and `on_lost` is called."""
        if self.open:
            self.open = False
            self._fail()
            if self.on_lost is not None:
                self.on_lost()

    def _fail(self) -> None:
        for future in self.replies:
            if not future.done():
                future.set_exception(ConnectionResetError("lost"))

    def close(self) -> None:
        """Closes the link from the proxy's side; requests without a reply fail and `on_lost` is not called."""
        if self.open:
            self._append_log("close")
        self.open = False
        asyncio.get_running_loop().call_soon(self._fail)

    def _answer(self, *, text: str, next_state: State, script: deque[str] | None = None) -> asyncio.Future[Reply]:
        self._append_log(text)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Reply] = loop.create_future()
        self.replies.append(future)
        self.sent_at_s.append(loop.time())
        if not self.open:
            future.set_exception(ConnectionResetError("lost"))
            return future
        script = self.backend.script if script is None else script
        word = script.popleft() if script else "ok"
        wait_us = REPLY_DELAY_US
        if word.startswith("slow"):
            wait_us, word = int(word.split()[1]) * 1_000, "ok"
        if word == "lose":
            loop.call_later(wait_us / 1_000_000, self.lose)
        elif word != "silent":
            loop.call_later(wait_us / 1_000_000, self._deliver, future, word, next_state)
        return future

    def _deliver(self, future: asyncio.Future[Reply], word: str, next_state: State) -> None:
        if future.done():
            return
        at = self.backend.at
        if word.startswith("ok"):
            self.state = next_state
            if "@" in word:
                at = position(text=word.partition("@")[2]) or at
            reply = Reply(rows=[b"row"], stamp=b"stamp", state=next_state, position=at)
        else:
            # a statement that was not run leaves its transaction open; one that failed makes it fail
            if self.state == State.open and word not in ("BUSY", "LAGGING"):
                self.state = State.failed
            reply = Reply(rows=[], fault=ErrorCode.BACKEND_FAULT, native=word.encode(), state=self.state, position=at)
            reply.not_run, reply.retriable = word in NOT_RUN_ERRORS, word in RETRIABLE_ERRORS
        future.set_result(reply)

    def _state_after(self, *, verb: Verb) -> State:
        return State.idle if verb == Verb.commit else self.state

    def send(
        self, *, statement: Statement, at_least: Position | None = None, alias: bytes = b""
    ) -> asyncio.Future[Reply]:
        after = "" if at_least is None else f"after {position_text(at=at_least)} "
        text = statement.text.decode()
        if statement.verb == Verb.execute:
            text = f"RUN {alias.decode()} {statement.content.decode()}"
        return self._answer(text=after + text, next_state=self._state_after(verb=statement.verb))

    def set_value(self, *, name: bytes, value: bytes) -> None:
        self.values[name] = value
        self._append_log(f"set {name.decode()} {value.decode()}")

    def clear(self) -> None:
        self.values, self.prepared = {}, {}
        self._append_log("clear")

    def prepare(self, *, alias: bytes, shape: bytes, writes: bool) -> None:
        self.prepared[alias] = PreparedStatement(shape, writes)
        self._append_log(f"prepare {alias.decode()} {'PUT' if writes else 'FETCH'} {shape.decode()}")

    def begin(self, *, read_only: bool, at_least: Position | None) -> asyncio.Future[Reply]:
        after = "" if at_least is None else f"after {position_text(at=at_least)} "
        return self._answer(text=after + ("begin read" if read_only else "begin"), next_state=State.open)

    def rollback(self) -> asyncio.Future[Reply]:
        return self._answer(text="rollback", next_state=State.idle, script=self.backend.rollback_script)

    def ask_position(self) -> asyncio.Future[Reply]:
        return self._answer(text="state", next_state=State.idle, script=deque())


class FakeDialer:
    """Opens links by each backend's `dial_script`: `ok`, `full`, `refused`, `unsure` or `slow MS`."""

    def __init__(self, *, backends: dict[str, FakeBackend]) -> None:
        self.backends = backends

    async def __call__(self, *, backend: Announcement, wait_us: int) -> Result[FakeLink, CinderstairError]:
        found = self.backends[backend.name]
        found.dialled += 1
        word = found.dial_script.popleft() if found.dial_script else "ok"
        await asyncio.sleep(int(word.split()[1]) / 1_000 if word.startswith("slow") else REPLY_DELAY_US / 1_000_000)
        kinds = {"full": ErrorCode.OVERLOADED, "refused": ErrorCode.REQUEST_NOT_SENT, "unsure": ErrorCode.NO_RESPONSE}
        if word in kinds:
            return Error(CinderstairError(code=kinds[word], reason=word))
        return Ok(FakeLink(backend=found))


def announcement(
    *, name: str, service: str = "s", state: str = READY, is_primary: bool = False, number: int = 1, site: str = SITE
) -> Announcement:
    """Creates a backend's announcement; its address is made of its name."""
    return Announcement(
        name=name, number=number, service=service, address=f"{name}:1", site=site, state=state, is_primary=is_primary
    )


def plan(
    *,
    link_cap: int = 26,
    routes: tuple[DatabaseRoute, ...] = (),
    version: int = 1,
    confirmations: int = 1,
    services: tuple[str, ...] = ("s",),
    idle_transaction_limit_us: int = 0,
) -> ServicePlan:
    """Creates a configuration whose services all have the same limits."""
    return ServicePlan(
        version=version,
        routes={route.database: route for route in routes},
        services={n: Service(name=n, link_cap=link_cap, confirmations=confirmations) for n in services},
        idle_transaction_limit_us=idle_transaction_limit_us,
    )


def route(
    *, consistency: Consistency = Consistency.primary, limit_ms: int = 800, age_ms: int = 1_000, database: str = "db"
) -> DatabaseRoute:
    """Creates the route of a database to the service `s`."""
    return DatabaseRoute(
        database=database,
        service="s",
        consistency=consistency,
        time_limit_us=limit_ms * 1_000,
        max_age_us=age_ms * 1_000,
    )


class ReportedView:
    """A proxy's view that the test updates in place of a controller.

    While `in_touch` is set, the view is marked as up to date every 100 ms.
    """

    def __init__(self, *, stage: Stage, name: str = "booth-1") -> None:
        self.stage = stage
        self.revision = 0
        self.number = 1
        self.in_touch = True
        self.view = RelayedView(ctx=stage.ctx, site=SITE, seeds=tuple)
        self.listener: asyncio.Task[None] = stage.call(call=lambda: stage.ctx.spawn(work=self._refresh()))

    async def _refresh(self) -> None:
        while True:
            if self.in_touch:
                self.view.as_of_us = self.stage.now_us
                self.view._wake()
            await asyncio.sleep(0.1)

    def tell(
        self, *, values: dict[str, bytes] | None = None, backends: tuple[Announcement, ...] = (), silent: bool = False
    ) -> None:
        """Delivers a relay answer with these register values and backends; `silent` marks the backends as silent."""
        self.revision += 1
        entries = [
            RelayedValue(key=key, ballot=Ballot(self.revision, 1), value=value)
            for key, value in (values or {}).items()
        ]
        answer = RelayAnswer(
            source=1,
            revision=self.revision,
            age_us=0,
            full=False,
            values=tuple(entries),
            backends=tuple(RelayedBackend(announcement=each, silent=silent) for each in backends),
        )

        def apply() -> None:
            self.view._take(answer=answer)
            self.view.as_of_us = self.stage.now_us
            self.view._wake()

        self.stage.call(call=apply)

    def assign_primary(
        self,
        *,
        primary: str,
        term: int = 3,
        state: PrimaryState = PrimaryState.settled,
        service: str = "s",
        fence: str = "0.0",
        ready_in_us: int = 500_000,
    ) -> None:
        """Delivers a primary assignment; `fence` is a position as text."""
        at = position(text=fence)
        assert at is not None
        assignment = ServicePrimary(term=term, primary=primary, state=state, fence=at, ready_in_us=ready_in_us)
        self.tell(values={service_primary_key(service=service): assignment.bytes()})

    def plan(self, *, plan: ServicePlan) -> None:
        """Delivers a configuration."""
        self.tell(values={PLAN_KEY: plan.bytes()})

    def proxy_ids(self, *, names: tuple[str, ...]) -> None:
        """Delivers the table of proxy ids, numbered from 0 in this order."""
        self.tell(values={PROXY_IDS_KEY: ProxyIds(names=tuple(ProxyId(*each) for each in enumerate(names))).bytes()})
