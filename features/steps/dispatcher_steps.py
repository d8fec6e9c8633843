"""Steps for the dispatcher."""

from typing import Any

from behave import given, then, when
from stage import Stage

from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.unpacker import Unpacker


@given("a dispatcher whose handler of heartbeats responds with 30 bytes")
def given_dispatcher(context: Any) -> None:
    context.stage = Stage(context=context)
    context.dispatcher = Dispatcher(ctx=context.stage.ctx)

    async def handler(unpacker: Unpacker) -> bytes:
        return bytes(30)

    context.dispatcher.add_handler(message_type=MessageType.HEARTBEATS, handler=handler)


@when("two heartbeats requests of 10 bytes and one request of a type without a handler arrive")
def when_requested(context: Any) -> None:
    async def send() -> None:
        for _ in range(2):
            await context.dispatcher.dispatch(bytes([MessageType.HEARTBEATS]) + bytes(9))
        try:
            await context.dispatcher.dispatch(bytes([MessageType.PROBE]))
        except ValueError:
            return
        raise AssertionError("the dispatcher responded to a type without a handler")

    context.stage.run(work=send())


@then("its only counters are 2 responses of type heartbeats and 80 bytes")
def then_counted(context: Any) -> None:
    counts = context.stage.ctx.counters.snapshot()
    assert counts == {"records.answered.heartbeats": 2, "records.bytes.heartbeats": 80}, counts
