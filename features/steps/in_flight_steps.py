"""Steps for writes that were sent to a backend and may still take effect."""

import asyncio
from typing import Any

from behave import given, then, when
from stage import Stage

from cinderstair.pooler.in_flight_writes import InFlightWrites
from cinderstair.pooler.reply import Reply

WITHIN_US = 3_000_000


class FakeLink:
    """A link that records its closing; the test answers its writes."""

    def __init__(self, *, name: str, closed: list[str]) -> None:
        self.name = name
        self.closed = closed

    @property
    def open(self) -> bool:
        return self.name not in self.closed

    def close(self) -> None:
        self.closed.append(self.name)


@given("a proxy that tracks in-flight writes")
def given_in_flight(context: Any) -> None:
    context.stage = Stage(context=context)
    context.in_flight = InFlightWrites(ctx=context.stage.ctx)
    context.unanswered, context.closed = [], []


@when('a write to "{database}" is sent')
def when_sent(context: Any, database: str) -> None:
    answer: asyncio.Future[Reply] = context.stage.loop.create_future()
    link: Any = FakeLink(name=database, closed=context.closed)
    context.in_flight.sent(database=database, link=link, answer=answer)
    context.unanswered.append((database, answer))


@when('the writes to "{database}" are answered')
def when_answered(context: Any, database: str) -> None:
    for name, answer in context.unanswered:
        if name == database:
            answer.set_result(Reply(rows=[]))
    context.stage.advance(for_us=0)


@when('the links with writes to "{database}" are lost')
def when_lost(context: Any, database: str) -> None:
    for name, answer in context.unanswered:
        if name == database:
            answer.set_exception(ConnectionResetError("lost"))
    context.stage.advance(for_us=0)


@when("{count:d} ms pass for the in-flight writes")
def when_pass(context: Any, count: int) -> None:
    context.stage.advance(for_us=count * 1_000)


@when('writes to "{database}" unanswered for {count:d} ms are abandoned')
def when_abandoned(context: Any, database: str, count: int) -> None:
    context.in_flight.abandon(databases=frozenset([database]), older_than_us=count * 1_000)


@when("writes to any database unanswered for {count:d} ms are abandoned")
def when_all_abandoned(context: Any, count: int) -> None:
    context.in_flight.abandon(databases=None, older_than_us=count * 1_000)


@then('writes to "{database}" may still take effect: {answer}')
def then_may_take_effect(context: Any, database: str, answer: str) -> None:
    assert context.in_flight.may_take_effect(database=database, within_us=WITHIN_US) == (answer == "yes")


@then('the closed links are "{names}"')
def then_closed(context: Any, names: str) -> None:
    assert (", ".join(context.closed) or "none") == names, context.closed
