"""Steps for links to backends, and for the dialer and the commands that use them."""

import asyncio
from typing import Any

from adapter.backend_commands import BackendCommands
from adapter.backend_dialer import BackendDialer
from adapter.backend_link import BackendLink
from adapter.statements import read_statement
from adapter_common import MemoryStreams, connect, raw
from behave import given, then, when
from expression import Ok
from stage import Stage, announcement, position, position_text

from cinderstair.pooler.reply import Reply
from cinderstair.pooler.statement import Statement, Verb
from cinderstair.runtime.position import START, Position


@given("a link to a backend")
def given_link(context: Any) -> None:
    context.stage = Stage(context=context)
    context.lost = 0
    context.requested = []
    connect(context=context, make=BackendLink)

    def lost() -> None:
        context.lost += 1

    context.protocol.on_lost = lost


def ask_link(*, context: Any, text: str) -> None:
    """Sends one request through the link's public methods, as a session does."""
    link: BackendLink = context.protocol
    at_least = None
    if text.startswith("AFTER "):
        _, at, text = text.split(" ", 2)
        at_least = position(text=at)
    first, _, rest = text.partition(" ")
    if first == "GREET":
        future = link.handshake(service="s1", name="srv-1")
    elif first == "BEGIN":
        future = link.begin(read_only=bool(rest), at_least=at_least)
    elif first in ("UNDO", "STATE"):
        future = link.rollback() if first == "UNDO" else link.ask_position()
    elif first == "SET":
        name, _, value = rest.partition(" ")
        link.set_value(name=name.encode(), value=value.encode())
        return
    elif first == "CLEAR":
        link.clear()
        return
    elif first == "NAME":
        alias, kind, shape = rest.split(" ")
        link.prepare(alias=alias.encode(), shape=shape.encode(), writes=kind == "PUT")
        return
    elif first == "RUN":
        alias, _, content = rest.partition(" ")
        ran = Statement(ident=b"id", verb=Verb.execute, name=b"mine", content=content.encode())
        future = link.send(statement=ran, at_least=at_least, alias=alias.encode())
    else:
        future = link.send(statement=read_statement(ident=b"id", text=text.encode()), at_least=at_least)
    context.requested.append(future)


@when("the link sends `{texts}`")
def when_link_asks(context: Any, texts: str) -> None:
    for text in texts.split(" / "):
        context.stage.call(call=lambda text=text: ask_link(context=context, text=text))


@then("the backend receives")
def then_backend_receives(context: Any) -> None:
    found = context.transport.take().decode()
    assert found == "".join(line + "\r\n" for line in context.text.strip().splitlines()), found


@when("the backend sends `{text}`")
@when("the backend sends `{text}` at once")
def when_backend_says(context: Any, text: str) -> None:
    context.stage.call(call=lambda: context.transport.feed(raw(text=text)))
    context.stage.advance(for_us=1_000)


@when("the backend sends `{text}` byte by byte")
def when_backend_says_bytes(context: Any, text: str) -> None:
    for byte in raw(text=text):
        context.stage.call(call=lambda byte=byte: context.transport.feed(bytes([byte])))
    context.stage.advance(for_us=1_000)


@when("the backend resets the link's connection")
def when_cut(context: Any) -> None:
    context.stage.call(call=lambda: context.transport.lose(error=ConnectionResetError("reset")))
    context.stage.advance(for_us=1_000)


def outcome(*, future: asyncio.Future[Reply]) -> str:
    if not future.done():
        return "pending"
    if future.exception() is not None:
        return "lost" if isinstance(future.exception(), ConnectionError) else repr(future.exception())
    reply = future.result()
    reported = reply.native.decode() if reply.fault is not None else f"{len(reply.rows)} rows {reply.stamp.decode()}"
    marks = " not run" * reply.not_run + " retriable" * reply.retriable
    return f"{reported}{marks} {'ITE'[reply.state]} {position_text(at=reply.position)}"


@then("the outcomes of the link's requests are `{texts}`")
def then_link_answers(context: Any, texts: str) -> None:
    found = " / ".join(outcome(future=future) for future in context.requested)
    assert found == texts, found


@then("the link is {word} and on_lost was called {count:d} times")
def then_link(context: Any, word: str, count: int) -> None:
    context.stage.advance(for_us=1_000)
    assert (context.protocol.open, context.lost) == (word == "open", count), (context.protocol.open, context.lost)


@when("the proxy closes the link")
def when_closed_here(context: Any) -> None:
    context.stage.call(call=context.protocol.close)


@then("the link's connection {ends}")
def then_ends(context: Any, ends: str) -> None:
    assert context.transport.closing and context.transport.aborted == (ends == "is reset"), ends


@then('the link has the session values "{values}" and the prepared statements "{prepared}"')
def then_holds(context: Any, values: str, prepared: str) -> None:
    link: BackendLink = context.protocol
    found = " ".join(f"{k.decode()}={v.decode()}" for k, v in link.values.items()) or "none"
    names = " ".join(each.decode() for each in link.prepared) or "none"
    assert (found, names) == (values, prepared), (found, names)


@when("a backend that answers `{script}` is dialled")
def when_dialled(context: Any, script: str) -> None:
    context.stage = Stage(context=context)
    context.streams = MemoryStreams(script=[script])
    dialer = BackendDialer(ctx=context.stage.ctx, streams=context.streams)
    work = dialer(backend=announcement(name="srv-1", service="s1"), wait_us=300_000)
    began_us = context.stage.now_us
    context.result = context.stage.run(work=work)
    context.took_us = context.stage.now_us - began_us
    if context.result.is_ok():
        context.result = Ok("a link" if context.result.ok.open else "a closed link")
    context.stage.advance(for_us=1_000)


@then("the error reports the backend as ended: {words}")
def then_ended(context: Any, words: str) -> None:
    assert context.result.is_error()
    assert bool(context.result.error.details.get("ended")) == (words == "yes"), context.result


@then("the handshake that was sent was `{text}`")
def then_handshake(context: Any, text: str) -> None:
    assert context.streams.transports[0].sent == raw(text=text), context.streams.transports[0].sent


@then("the dialled connection is {word}")
def then_dialled(context: Any, word: str) -> None:
    assert context.streams.transports[0].closing == (word == "closed")


@when("the command {command} is sent to a backend that answers `{script}`")
def when_command(context: Any, command: str, script: str) -> None:
    context.stage = Stage(context=context)
    context.streams = MemoryStreams(script=[script])
    dialer = BackendDialer(ctx=context.stage.ctx, streams=context.streams)
    commands = BackendCommands(ctx=context.stage.ctx, dialer=dialer)
    options = {"pause": {"term": 4}, "step_down": {"term": 5}}.get(command, {})
    work = getattr(commands, command)(backend=announcement(name="srv-1", service="s1"), wait_us=300_000, **options)
    began_us = context.stage.now_us
    context.result = context.stage.run(work=work)
    assert context.stage.now_us - began_us <= 310_000
    if context.result.is_ok():
        state = context.result.ok
        role = "primary" if state.is_primary else "replica"
        context.result = Ok(f"{role} {state.term} {position_text(at=state.received)} {state.term_held}")
    context.stage.advance(for_us=1_000)


@then("the backend received `{text}` after the handshake")
def then_command_sent(context: Any, text: str) -> None:
    found = context.streams.transports[0].sent.split(b"\r\n")[1:-1]
    assert found == [raw(text=text)], found


@then("a position that was never sent is the start")
def then_start(context: Any) -> None:
    assert Position(0, 0) == START
