"""Steps for client connections, over fakes of the proxy and its sessions."""

from typing import Any

from adapter.client_connection import HANDSHAKE_TIMEOUT_US, MAX_QUEUED_MESSAGES, ClientConnection
from adapter.line_splitter import MAX_LINE_BYTES
from adapter_common import connect, raw
from behave import given, then, when
from stage import Stage

from cinderstair.pooler.reply import Reply, State
from cinderstair.pooler.statement import Statement, Verb


class FakeSession:
    """Answers each statement after the proxy's `work_us`, and tracks the transaction state as a session does."""

    def __init__(self, *, proxy: "FakeProxy") -> None:
        self.proxy = proxy
        self.state = State.idle
        self.busy = False

    async def run(self, *, statement: Statement) -> Reply:
        assert not self.busy, "two statements at once"
        self.busy = True
        self.proxy.ran.append(f"{statement.ident.decode()} {statement.verb.name}")
        await self.proxy.ctx.sleep(duration_us=self.proxy.work_us)
        self.busy = False
        if statement.verb in (Verb.begin, Verb.begin_read):
            self.state = State.open
        elif statement.verb in (Verb.commit, Verb.rollback):
            self.state = State.idle
        self.proxy.answered.append(statement.ident.decode())
        return Reply(rows=[], stamp=statement.ident, state=self.state)


class FakeProxy:
    """Opens fake sessions for the database db1; records the statements that ran and the states of closed sessions."""

    def __init__(self, *, stage: Stage) -> None:
        self.ctx = stage.ctx
        self.view: Any = type("View", (), {"plan": object()})()
        self.databases = {"db1"}
        self.ran: list[str] = []
        self.answered: list[str] = []
        self.ended: list[State] = []
        self.work_us = 2_000

    async def has_database(self, *, database: str, until_us: int) -> bool:
        while self.view.plan is None and self.ctx.now_us() < until_us:
            await self.ctx.sleep(duration_us=50_000)
        return self.view.plan is not None and database in self.databases

    def open(self, *, database: str) -> FakeSession:
        return FakeSession(proxy=self)

    def closed(self, *, session: FakeSession) -> None:
        self.ended.append(session.state)


@given("a client connection")
def given_connection(context: Any) -> None:
    context.stage = Stage(context=context)
    context.proxy = FakeProxy(stage=context.stage)
    context.connections = set()
    context.counted = []
    connect(
        context=context,
        make=lambda: ClientConnection(
            proxy=context.proxy, connections=context.connections, count=context.counted.append
        ),
    )


@given("a client connection with a completed handshake")
def given_handshake_done(context: Any) -> None:
    context.execute_steps("Given a client connection")
    context.stage.call(call=lambda: context.transport.feed(b"GREET db1 u1\r\n"))
    context.stage.advance(for_us=1_000)
    assert context.transport.take() == b"READY I -\r\n"


@when("the client sends `{text}`")
def when_sends(context: Any, text: str) -> None:
    context.stage.call(call=lambda: context.transport.feed(raw(text=text)))
    context.stage.advance(for_us=100_000)


@when("the client sends `{text}` byte by byte")
def when_sends_bytes(context: Any, text: str) -> None:
    for byte in raw(text=text):
        context.stage.call(call=lambda byte=byte: context.transport.feed(bytes([byte])))
    context.stage.advance(for_us=100_000)


@when("the client sends a line of more than 1 MiB")
def when_sends_long(context: Any) -> None:
    context.stage.call(call=lambda: context.transport.feed(b"ASK 1 PUT a " + b"x" * MAX_LINE_BYTES))
    context.stage.advance(for_us=100_000)


@then("the client receives")
def then_receives(context: Any) -> None:
    found = context.transport.take().decode().replace("\r\n", "\n").strip()
    assert found == context.text.strip(), found


@then("the client receives nothing")
def then_receives_nothing(context: Any) -> None:
    assert context.transport.take() == b""


@then('the proxy has run "{texts}"')
def then_ran(context: Any, texts: str) -> None:
    found = ", ".join(context.proxy.ran) or "nothing"
    assert found == texts, found


@then('the proxy has closed sessions in the states "{states}"')
def then_ended(context: Any, states: str) -> None:
    context.stage.advance(for_us=10_000)
    found = ", ".join(state.name for state in context.proxy.ended) or "none"
    assert found == states, found
    assert not context.connections


@given("the proxy has no configuration")
def given_none_yet(context: Any) -> None:
    context.proxy.view.plan = None


@when("{wait_ms:d} ms pass on the connection")
def when_pass(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@when("the handshake timeout expires")
def when_handshake_over(context: Any) -> None:
    context.stage.advance(for_us=HANDSHAKE_TIMEOUT_US + 1_000)


@when("a client that does not read its replies sends {count:d} statements")
def when_not_reading(context: Any, count: int) -> None:
    context.count = count
    context.stage.call(call=context.protocol.pause_writing)
    data = b"".join(b"ASK %d FETCH 1\r\n" % number for number in range(count))
    context.stage.call(call=lambda: context.transport.feed(data))
    context.stage.advance(for_us=500_000)


@then("at most {count:d} statement is run and reading is paused")
def then_paused(context: Any, count: int) -> None:
    assert len(context.proxy.ran) <= count, context.proxy.ran
    assert context.transport.paused and len(context.protocol.queue) > MAX_QUEUED_MESSAGES // 2


@when("the client reads again")
def when_reads(context: Any) -> None:
    context.stage.call(call=context.protocol.resume_writing)
    context.stage.advance(for_us=1_000_000)


@then("all statements are answered in order and reading resumes")
def then_all_in_order(context: Any) -> None:
    found = [line.split()[1] for line in context.transport.take().split(b"\r\n") if line.startswith(b"DONE")]
    assert found == [b"%d" % number for number in range(context.count)], found
    assert not context.transport.paused


@when("the client's connection is lost while {what}")
def when_client_vanishes(context: Any, what: str) -> None:
    wait_us = {"a statement runs": 1_000, "no statement runs": 100_000}[what]
    context.stage.call(call=lambda: context.transport.feed(b"ASK 7 BEGIN\r\n"))
    context.stage.advance(for_us=wait_us)
    context.stage.call(call=lambda: context.transport.lose(error=ConnectionResetError("reset")))
    context.stage.advance(for_us=100_000)


@then("the connection's handler has not crashed")
def then_not_crashed(context: Any) -> None:
    assert not context.stage.crashed, context.stage.crashes
