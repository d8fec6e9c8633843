"""Steps for the record transport, on real sockets."""

import asyncio
import collections
import random
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from common import run
from stage import Stage

from cinderstair.runtime import record_transport
from cinderstair.runtime.counters import Counters
from cinderstair.runtime.record_connection import RecordConnection
from cinderstair.runtime.record_frame import encode_frame, read_frame
from cinderstair.runtime.record_transport import RecordTransport
from cinderstair.simulation.fleet import free_ports


@given("a server that never responds on its first connection")
def given_silent(context: Any) -> None:
    context.port = free_ports(count=1)[0]
    context.connections = 0

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        context.connections += 1
        first = context.connections == 1
        while True:
            try:
                number, body = await read_frame(reader=reader)
            except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
                writer.close()
                return
            if not first:
                writer.write(encode_frame(number=number, body=body))

    async def listen() -> None:
        context.server = await asyncio.start_server(client, "127.0.0.1", context.port)

    run(context=context, work=listen())


@when("requests are sent to it one after the other")
def when_requested(context: Any) -> None:
    wire = RecordTransport(counters=Counters())

    async def go() -> None:
        # The number of requests is bounded, and each ends by itself; the first response ends the loop.
        for _ in range(200):
            result = await wire.request(address=f"127.0.0.1:{context.port}", body=b"x", wait_us=100_000)
            if result.is_ok():
                context.answer = result.ok
                break
        await wire.close()
        context.server.close()

    context.answer = None
    run(context=context, work=go())


@then("a response arrives over a second connection")
def then_second(context: Any) -> None:
    assert context.answer == b"x" and context.connections == 2, (context.answer, context.connections)


@given("a server that responds with the request itself")
def given_echo(context: Any) -> None:
    context.port = free_ports(count=1)[0]
    context.counters = Counters()
    context.wire = RecordTransport(counters=context.counters)

    async def answer(body: bytes) -> bytes:
        return body

    run(context=context, work=context.wire.listen(address=f"127.0.0.1:{context.port}", handler=answer))


@when("{count:d} connections send it random bytes")
def when_random(context: Any, count: int) -> None:
    rng = random.Random(8)

    async def go() -> None:
        for _ in range(count):
            reader, writer = await asyncio.open_connection("127.0.0.1", context.port)
            writer.write(rng.randbytes(rng.randrange(16, 200)))
            await writer.drain()
            # The server closes the connection once it has read and refused the bytes.
            assert await reader.read() == b""
            writer.close()

    run(context=context, work=go())


@then("it still responds, and has counted the malformed requests")
def then_answers(context: Any) -> None:
    other = RecordTransport(counters=Counters())

    async def go() -> Any:
        result = await other.request(address=f"127.0.0.1:{context.port}", body=b"hello", wait_us=30_000_000)
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


@given("a network whose connection attempts hang for {cut_s:d} s and succeed after that")
def given_cut(context: Any, cut_s: int) -> None:
    context.stage = Stage(context=context)
    loop = context.stage.loop
    context.healed = loop.time() + cut_s

    async def dial(host: str, port: int) -> tuple[asyncio.StreamReader, EchoWriter]:
        # Like TCP, an attempt in a partition retransmits after 1, 2, 4 and more seconds, and not in between.
        wait_s = 1.0
        while loop.time() < context.healed:
            await asyncio.sleep(wait_s)
            wait_s *= 2
        reader = asyncio.StreamReader()
        return reader, EchoWriter(reader=reader)

    context.dial = dial


@when("a request is sent every {every_ms:d} ms of virtual time")
def when_requested_virtually(context: Any, every_ms: int) -> None:
    loop = context.stage.loop
    wire = RecordTransport(counters=Counters())
    context.answered = None

    async def go() -> None:
        until = context.healed + 20
        while context.answered is None and loop.time() < until:
            result = await wire.request(address="127.0.0.1:9", body=b"x", wait_us=every_ms * 1_000)
            if result.is_ok():
                context.answered = loop.time()
            await asyncio.sleep(every_ms / 1_000)
        await wire.close()

    with patch.object(record_transport.asyncio, "open_connection", context.dial):
        loop.run_until_complete(go())


@then("a response arrives within {most_ms:d} ms of the end of the partition")
def then_soon(context: Any, most_ms: int) -> None:
    assert context.answered is not None
    late_ms = (context.answered - context.healed) * 1_000
    assert 0 <= late_ms <= most_ms, late_ms


# -- responses and their requests --

WAIT_US = 40_000
LATE_S = 0.06
READ_RESPONSES = RecordConnection.read_responses


@given("a server that responds out of order, late, in part or not at all")
def given_unruly(context: Any) -> None:
    context.port = free_ports(count=1)[0]
    context.arrived = collections.Counter()
    rng = random.Random(17)

    async def answer(writer: asyncio.StreamWriter, number: int, body: bytes) -> None:
        data = b"to " + body
        frame = encode_frame(number=number, body=data)
        way = rng.random()
        if way < 0.1:
            return
        await asyncio.sleep(LATE_S if way < 0.25 else rng.random() * 0.02)
        if way > 0.95:
            writer.write(frame[: rng.randrange(len(frame))])
            writer.close()
        elif not writer.is_closing():
            writer.write(frame)

    async def client(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks = set()
        try:
            while True:
                number, body = await read_frame(reader=reader)
                context.arrived[body] += 1
                tasks.add(asyncio.create_task(answer(writer, number, body)))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()

    async def listen() -> None:
        context.server = await asyncio.start_server(client, "127.0.0.1", context.port)

    run(context=context, work=listen())


def ask_many(*, context: Any, count: int, together: int) -> None:
    wire, numbers = RecordTransport(counters=Counters()), iter(range(count))
    context.answers = []

    async def asker() -> None:
        for number in numbers:
            body = b"question %d" % number
            result = await wire.request(address=f"127.0.0.1:{context.port}", body=body, wait_us=WAIT_US)
            context.answers.append((body, result.ok if result.is_ok() else None))

    async def go() -> None:
        await asyncio.gather(*(asker() for _ in range(together)))
        await wire.close()
        context.server.close()

    run(context=context, work=go())


@when("{count:d} requests are sent to it, {together:d} at a time")
def when_many(context: Any, count: int, together: int) -> None:
    ask_many(context=context, count=count, together=together)


@when("{count:d} requests are sent to it, {together:d} at a time, by a client that matches responses by order")
def when_many_in_order(context: Any, count: int, together: int) -> None:
    class InOrder(dict[int, Any]):
        def pop(self, number: int, default: Any = None) -> Any:  # type: ignore[override]
            # A request removes itself when its future is done; a response does so before.
            mine = self.get(number)
            first = next(iter(self), number) if mine is not None and not mine.done() else number
            return super().pop(first, default)

    async def read_in_order(self: Any, **arguments: Any) -> None:
        self.pending = InOrder()
        await READ_RESPONSES(self, **arguments)

    with patch.object(RecordConnection, "read_responses", read_in_order):
        ask_many(context=context, count=count, together=together)


@then("each response is that to its request, and no request reached the server twice")
def then_own_answers(context: Any) -> None:
    wrong = [(body, found) for body, found in context.answers if found is not None and found != b"to " + body]
    assert not wrong, wrong[:5]
    twice = [body for body, count in context.arrived.items() if count > 1]
    assert not twice, twice[:5]


@then("some requests got a response, and some did not")
def then_some(context: Any) -> None:
    answered = sum(found is not None for _, found in context.answers)
    assert 0 < answered < len(context.answers), answered


@then("some response was given to another request")
def then_mixed_up(context: Any) -> None:
    assert any(found is not None and found != b"to " + body for body, found in context.answers)
