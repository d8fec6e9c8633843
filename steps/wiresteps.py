"""Steps for records over TCP, on real sockets."""

import asyncio
import random
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from common import run
from stage import Stage

from cinderstair.fairground.fleet import freePorts
from cinderstair.pitch import recordwire
from cinderstair.pitch.counters import Counters
from cinderstair.pitch.recordwire import HEAD, MAGIC, RECORDS_VERSION, RecordWire, readFrame


@given("a listener that never answers its first connection")
def given_silent(context: Any) -> None:
    context.port = freePorts(count=1)[0]
    context.connections = 0

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        context.connections += 1
        first = context.connections == 1
        while True:
            try:
                number, body = await readFrame(reader=reader)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                writer.close()
                return
            if not first:
                writer.write(HEAD.pack(MAGIC, RECORDS_VERSION, 0, len(body), number) + body)

    async def listen() -> None:
        context.server = await asyncio.start_server(client, "127.0.0.1", context.port)

    run(context=context, work=listen())


@when("it is asked again and again")
def when_asked(context: Any) -> None:
    wire = RecordWire(counters=Counters())

    async def go() -> None:
        # why: bounded by count, each ask ends by itself; what is awaited is the first answer
        for _ in range(200):
            result = await wire.ask(address=f"127.0.0.1:{context.port}", body=b"x", waitUs=100_000)
            if result.is_ok():
                context.answer = result.ok
                break
        await wire.close()
        context.server.close()

    context.answer = None
    run(context=context, work=go())


@then("it is answered over a second connection")
def then_second(context: Any) -> None:
    assert context.answer == b"x" and context.connections == 2, (context.answer, context.connections)


@given("a listener that answers with what it is asked")
def given_echo(context: Any) -> None:
    context.port = freePorts(count=1)[0]
    context.counters = Counters()
    context.wire = RecordWire(counters=context.counters)

    async def answer(body: bytes) -> bytes:
        return body

    run(context=context, work=context.wire.listen(address=f"127.0.0.1:{context.port}", answer=answer))


@when("{count:d} connections send it random bytes")
def when_random(context: Any, count: int) -> None:
    luck = random.Random(8)

    async def go() -> None:
        for _ in range(count):
            reader, writer = await asyncio.open_connection("127.0.0.1", context.port)
            writer.write(luck.randbytes(luck.randrange(16, 200)))
            await writer.drain()
            # why: the other side's closing is the event that says it has read and refused
            assert await reader.read() == b""
            writer.close()

    run(context=context, work=go())


@then("it still answers, and has counted what it could not read")
def then_answers(context: Any) -> None:
    other = RecordWire(counters=Counters())

    async def go() -> Any:
        result = await other.ask(address=f"127.0.0.1:{context.port}", body=b"hello", waitUs=30_000_000)
        await other.close()
        await context.wire.close()
        return result

    assert run(context=context, work=go()).ok == b"hello"
    assert context.counters.counts["records.malformed"] == 50, context.counters.counts


class EchoWriter:
    """Answers each record with its own body, into the reader of the same connection."""

    def __init__(self, *, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.transport = self

    def write(self, data: bytes) -> None:
        self.reader.feed_data(data)

    def close(self) -> None:
        self.reader.feed_eof()

    abort = close


@given("a network whose dials hang for {cut_s:d} s and are answered after that")
def given_cut(context: Any, cut_s: int) -> None:
    context.stage = Stage(context=context)
    loop = context.stage.loop
    context.healed = loop.time() + cut_s

    async def dial(host: str, port: int) -> tuple[asyncio.StreamReader, EchoWriter]:
        # why: as a system does, a dial into a cut asks again after 1, 2, 4 and more seconds, and not in between
        wait_s = 1.0
        while loop.time() < context.healed:
            await asyncio.sleep(wait_s)
            wait_s *= 2
        reader = asyncio.StreamReader()
        return reader, EchoWriter(reader=reader)

    context.dial = dial


@when("it is asked every {every_ms:d} ms of virtual time")
def when_asked_virtually(context: Any, every_ms: int) -> None:
    loop = context.stage.loop
    wire = RecordWire(counters=Counters())
    context.answered = None

    async def go() -> None:
        until = context.healed + 20
        while context.answered is None and loop.time() < until:
            result = await wire.ask(address="127.0.0.1:9", body=b"x", waitUs=every_ms * 1_000)
            if result.is_ok():
                context.answered = loop.time()
            await asyncio.sleep(every_ms / 1_000)
        await wire.close()

    with patch.object(recordwire.asyncio, "open_connection", context.dial):
        loop.run_until_complete(go())


@then("it is answered within {most_ms:d} ms of the end of the cut")
def then_soon(context: Any, most_ms: int) -> None:
    assert context.answered is not None
    late_ms = (context.answered - context.healed) * 1_000
    assert 0 <= late_ms <= most_ms, late_ms
