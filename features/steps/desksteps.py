"""Steps for the desk of one record address."""

from typing import Any

from behave import given, then, when
from stage import Stage

from cinderstair.runtime.desk import Desk
from cinderstair.runtime.desks import NEWS, PROBE
from cinderstair.runtime.unpacker import Unpacker


@given("a desk that answers news with 30 bytes")
def given_desk(context: Any) -> None:
    context.stage = Stage(context=context)
    context.desk = Desk(ctx=context.stage.ctx)

    async def answer(unpacker: Unpacker) -> bytes:
        return bytes(30)

    context.desk.open(kind=NEWS, answer=answer)


@when("it is asked for news with 10 bytes, twice, and once for what it does not know")
def when_asked(context: Any) -> None:
    async def ask() -> None:
        for _ in range(2):
            await context.desk.answer(bytes([NEWS]) + bytes(9))
        try:
            await context.desk.answer(bytes([PROBE]))
        except ValueError:
            return
        raise AssertionError("it answered what it does not know")

    context.stage.run(work=ask())


@then("its counters say 2 records of news and 80 bytes, and nothing else was answered")
def then_counted(context: Any) -> None:
    counts = context.stage.ctx.counters.snapshot()
    assert counts == {"records.answered.news": 2, "records.bytes.news": 80}, counts
