"""Steps for the message transport, on real sockets."""

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
    transport = RecordTransport(counters=Counters())

    async def go() -> None:
        # Each request times out, and their number is bounded; the first response ends the loop.
        for _ in range(200):
            result = await transport.request(address=f"127.0.0.1:{context.port}", body=b"x", wait_us=100_000)
            if result.is_ok():
                context.response = result.ok
                break
        await transport.close()
        context.server.close()

    context.response = None
    run(context=context, work=go())


@then("a response arrives over a second connection")
def then_second(context: Any) -> None:
    assert context.response == b"x" and context.connections == 2, (context.response, context.connections)


@given("a server that echoes requests")
def given_echo(context: Any) -> None:
    context.port = free_ports(count=1)[0]
    context.counters = Counters()
    context.transport = RecordTransport(counters=context.counters)

    async def answer(body: bytes) -> bytes:
        return body

    run(context=context, work=context.transport.listen(address=f"127.0.0.1:{context.port}", handler=answer))


@when("{count:d} connections send it random bytes")
def when_random(context: Any, count: int) -> None:
    rng = random.Random(8)

    async def go() -> None:
        for _ in range(count):
            reader, writer = await asyncio.open_connection("127.0.0.1", context.port)
            writer.write(rng.randbytes(rng.randrange(16, 200)))
            await writer.drain()
            # The server closes the connection once it has read and rejected the bytes.
            assert await reader.read() == b""
            writer.close()

    run(context=context, work=go())


@then("it still responds, and has counted every malformed connection")
def then_responds(context: Any) -> None:
    other = RecordTransport(counters=Counters())

    async def go() -> Any:
        result = await other.request(address=f"127.0.0.1:{context.port}", body=b"hello", wait_us=30_000_000)
        await other.close()
        await context.transport.close()
        return result

    assert run(context=context, work=go()).ok == b"hello"
    assert context.counters.counts["records.malformed"] == 50, context.counters.counts


class EchoWriter:
    """Echoes each frame into the reader of the same connection."""

    def __init__(self, *, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.transport = self

    def write(self, data: bytes) -> None:
        self.reader.feed_data(data)

    def close(self) -> None:
        self.reader.feed_eof()

    abort = close


@given("a network partition of {partition_s:d} s during which connection attempts hang")
def given_partition(context: Any, partition_s: int) -> None:
    context.stage = Stage(context=context)
    loop = context.stage.loop
    context.partition_end_s = loop.time() + partition_s

    async def open_connection(host: str, port: int) -> tuple[asyncio.StreamReader, EchoWriter]:
        # Like TCP, an attempt during a partition retransmits after 1, 2, 4 and more seconds, and not in between.
        wait_s = 1.0
        while loop.time() < context.partition_end_s:
            await asyncio.sleep(wait_s)
            wait_s *= 2
        reader = asyncio.StreamReader()
        return reader, EchoWriter(reader=reader)

    context.open_connection = open_connection


@when("a request is sent every {every_ms:d} ms of virtual time")
def when_requested_virtually(context: Any, every_ms: int) -> None:
    loop = context.stage.loop
    transport = RecordTransport(counters=Counters())
    context.response_s = None

    async def go() -> None:
        until = context.partition_end_s + 20
        while context.response_s is None and loop.time() < until:
            result = await transport.request(address="127.0.0.1:9", body=b"x", wait_us=every_ms * 1_000)
            if result.is_ok():
                context.response_s = loop.time()
            await asyncio.sleep(every_ms / 1_000)
        await transport.close()

    with patch.object(record_transport.asyncio, "open_connection", context.open_connection):
        loop.run_until_complete(go())


@then("a response arrives within {max_ms:d} ms of the end of the partition")
def then_soon(context: Any, max_ms: int) -> None:
    assert context.response_s is not None
    delay_ms = (context.response_s - context.partition_end_s) * 1_000
    assert 0 <= delay_ms <= max_ms, delay_ms


# -- responses and their requests --

WAIT_US = 40_000
LATE_S = 0.06
READ_RESPONSES = RecordConnection.read_responses


@given("a server that responds out of order, late, in part or not at all")
def given_unreliable(context: Any) -> None:
    context.port = free_ports(count=1)[0]
    context.arrived = collections.Counter()
    rng = random.Random(17)

    async def answer(writer: asyncio.StreamWriter, number: int, body: bytes) -> None:
        data = b"to " + body
        frame = encode_frame(number=number, body=data)
        fate = rng.random()
        if fate < 0.1:
            return
        await asyncio.sleep(LATE_S if fate < 0.25 else rng.random() * 0.02)
        if fate > 0.95:
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


def send_many(*, context: Any, count: int, concurrency: int) -> None:
    transport, numbers = RecordTransport(counters=Counters()), iter(range(count))
    context.responses = []

    async def sender() -> None:
        for number in numbers:
            body = b"question %d" % number
            result = await transport.request(address=f"127.0.0.1:{context.port}", body=body, wait_us=WAIT_US)
            context.responses.append((body, result.ok if result.is_ok() else None))

    async def go() -> None:
        await asyncio.gather(*(sender() for _ in range(concurrency)))
        await transport.close()
        context.server.close()

    run(context=context, work=go())


@when("{count:d} requests are sent to it, {concurrency:d} at a time")
def when_many(context: Any, count: int, concurrency: int) -> None:
    send_many(context=context, count=count, concurrency=concurrency)


@when("{count:d} requests are sent to it, {concurrency:d} at a time, by a client that matches responses by order")
def when_many_in_order(context: Any, count: int, concurrency: int) -> None:
    class InOrder(dict[int, Any]):
        def pop(self, number: int, default: Any = None) -> Any:  # type: ignore[override]
            # A response pops its future while that is pending; a request pops its own once it is done.
            own = self.get(number)
            first = next(iter(self), number) if own is not None and not own.done() else number
            return super().pop(first, default)

    async def read_in_order(self: Any, **arguments: Any) -> None:
        self.pending = InOrder()
        await READ_RESPONSES(self, **arguments)

    with patch.object(RecordConnection, "read_responses", read_in_order):
        send_many(context=context, count=count, concurrency=concurrency)


@then("every response belongs to its request, and no request reached the server twice")
def then_own_responses(context: Any) -> None:
    mismatched = [(body, found) for body, found in context.responses if found is not None and found != b"to " + body]
    assert not mismatched, mismatched[:5]
    twice = [body for body, count in context.arrived.items() if count > 1]
    assert not twice, twice[:5]


@then("some requests got a response and some did not")
def then_some(context: Any) -> None:
    answered = sum(found is not None for _, found in context.responses)
    assert 0 < answered < len(context.responses), answered


@then("some response was matched with another request")
def then_mismatched(context: Any) -> None:
    assert any(found is not None and found != b"to " + body for body, found in context.responses)
