"""Steps for the desk of one record address."""

from typing import Any

from behave import given, then, when
from stage import Stage

from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.unpacker import Unpacker


@given("a desk that answers heartbeats with 30 bytes")
def given_dispatcher(context: Any) -> None:
    context.stage = Stage(context=context)
    context.dispatcher = Dispatcher(ctx=context.stage.ctx)

    async def answer(unpacker: Unpacker) -> bytes:
        return bytes(30)

    context.dispatcher.add_handler(message_type=MessageType.HEARTBEATS, handler=answer)


@when("it is asked for heartbeats with 10 bytes, twice, and once for what it does not know")
def when_asked(context: Any) -> None:
    async def ask() -> None:
        for _ in range(2):
            await context.dispatcher.dispatch(bytes([MessageType.HEARTBEATS]) + bytes(9))
        try:
            await context.dispatcher.dispatch(bytes([MessageType.PROBE]))
        except ValueError:
            return
        raise AssertionError("it answered what it does not know")

    context.stage.run(work=ask())


@then("its counters say 2 records of heartbeats and 80 bytes, and nothing else was answered")
def then_counted(context: Any) -> None:
    counts = context.stage.ctx.counters.snapshot()
    assert counts == {"records.answered.heartbeats": 2, "records.bytes.heartbeats": 80}, counts
