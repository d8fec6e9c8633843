"""Steps for the pool of links to a backend."""

import asyncio
import contextlib
from typing import Any

from behave import given, then, when
from stage import (
    FakeBackend,
    FakeDialer,
    Stage,
    announcement,
    statement,
)

from cinderstair.pooler.link_pool import LinkPool
from cinderstair.runtime.position import Position


class Waiter:
    """One that asked a pool for a link, and what became of it."""

    def __init__(self, *, context: Any, rank: int = 0, wait_ms: int = 1_000, values: str = "") -> None:
        self.rank = rank
        stage, pool = context.stage, context.pool
        held = {k.encode(): v.encode() for k, v in (each.split("=") for each in values.split())}

        async def acquire() -> Any:
            return await pool.acquire(values=held, rank=rank, until_us=stage.now_us + wait_ms * 1_000)

        self.task: asyncio.Task[Any] = stage.call(call=lambda: asyncio.create_task(acquire()))
        self.began_us = stage.now_us
        self.ended_us = 0
        self.task.add_done_callback(lambda _: self._ended(stage=stage))

    def _ended(self, *, stage: Stage) -> None:
        self.ended_us = stage.now_us

    @property
    def outcome(self) -> str:
        if not self.task.done():
            return "waits"
        result = self.task.result()
        return "a link" if result.is_ok() else result.error.code.value


@given("a pool of {limit:d} links")
def given_pool(context: Any, limit: int) -> None:
    context.stage = Stage(context=context)
    context.backend = FakeBackend(name="b1", at=Position(3, 1))
    context.problems = 0

    def problem() -> None:
        context.problems += 1

    context.pool = LinkPool(
        ctx=context.stage.ctx,
        backend=announcement(name="b1"),
        dialer=FakeDialer(backends={"b1": context.backend}),
        on_link_failure=problem,
    )
    context.pool.limit = limit
    context.waiters = []


@when("links are {word}")
def when_lent(context: Any, word: str) -> None:
    context.stage.call(call=lambda: context.pool.set_on_demand(on_demand=word == "lent"))


@given("links that are lent")
def given_lent(context: Any) -> None:
    context.pool.on_demand = True


@given("a backend that was full just now")
def given_full(context: Any) -> None:
    context.pool.last_full_us = context.pool.ctx.now_us()


@given('its dials go "{words}"')
def given_dials(context: Any, words: str) -> None:
    context.backend.dials.extend(words.split(", "))


def ask(*, context: Any, **options: Any) -> Waiter:
    waiter = Waiter(context=context, **options)
    context.waiters.append(waiter)
    return waiter


@when("{count:d} ask for a link")
def when_ask(context: Any, count: int) -> None:
    for _ in range(count):
        ask(context=context)
    context.stage.advance(for_us=5_000)


@when("{count:d} ask for a link for {wait_ms:d} ms")
def when_ask_for(context: Any, count: int, wait_ms: int) -> None:
    for _ in range(count):
        ask(context=context, wait_ms=wait_ms)


@when('one with values "{values}" asks for a link')
def when_ask_values(context: Any, values: str) -> None:
    ask(context=context, values=values)
    context.stage.advance(for_us=5_000)


@when('waiters of rank "{ranks}" come')
def when_ranks(context: Any, ranks: str) -> None:
    for rank in ranks.split(", "):
        ask(context=context, rank=int(rank))
        context.stage.advance(for_us=1_000)


def first_held(*, context: Any) -> Any:
    return next(waiter.task.result().ok for waiter in context.waiters if waiter.outcome == "a link")


@when("one link at a time is given back until all are served")
def when_given_back(context: Any) -> None:
    context.served = []
    held = first_held(context=context)
    waiting = [waiter for waiter in context.waiters if waiter.outcome == "waits"]
    while waiting:
        context.stage.call(call=lambda held=held: context.pool.release(link=held))
        context.stage.advance(for_us=1_000)
        served = [waiter for waiter in waiting if waiter.outcome == "a link"]
        assert len(served) == 1, [waiter.outcome for waiter in waiting]
        waiting.remove(served[0])
        context.served.append(served[0].rank)
        held = served[0].task.result().ok


@then('they were served in the order "{ranks}"')
def then_order(context: Any, ranks: str) -> None:
    assert ", ".join(map(str, context.served)) == ranks, context.served


@when("{wait_ms:d} ms pass at the pool")
def when_pass(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@then('those that asked have "{words}"')
def then_have(context: Any, words: str) -> None:
    outcomes = [waiter.outcome for waiter in context.waiters]
    counted = ", ".join(f"{outcomes.count(word)} {word}" for word in sorted(set(outcomes)))
    assert counted == words, counted


@then("the last one was told within {most_ms:d} ms")
def then_reported(context: Any, most_ms: int) -> None:
    waiter = context.waiters[-1]
    assert waiter.task.done() and waiter.ended_us - waiter.began_us <= most_ms * 1_000


@then("{count:d} links are open and {dialled:d} were dialled")
def then_open(context: Any, count: int, dialled: int) -> None:
    assert (context.backend.open_links, context.backend.dialled) == (count, dialled), (
        context.backend.open_links,
        context.backend.dialled,
    )


@when("all links are given back")
def when_all_back(context: Any) -> None:
    for waiter in context.waiters:
        if waiter.outcome == "a link":
            context.stage.call(call=lambda waiter=waiter: context.pool.release(link=waiter.task.result().ok))
    context.waiters.clear()
    context.stage.advance(for_us=5_000)


@when('the held links have the values "{values}"')
def when_values(context: Any, values: str) -> None:
    held = [waiter.task.result().ok for waiter in context.waiters]
    for link, text in zip(held, values.split(", "), strict=True):
        link.values = {} if text == "-" else {text.split("=")[0].encode(): text.split("=")[1].encode()}


@then('the last one got the link with the values "{text}"')
def then_values(context: Any, text: str) -> None:
    link = context.waiters[-1].task.result().ok
    found = " ".join(f"{k.decode()}={v.decode()}" for k, v in link.values.items()) or "-"
    assert found == text, found


@when("the held link is given back at the very moment at which a waiter's time is up")
def when_handed_over(context: Any) -> None:
    stage, pool = context.stage, context.pool
    held = first_held(context=context)

    async def race() -> Any:
        until_us = stage.now_us + 50_000
        # why: at one moment of the clock, timers run in the order in which they were set
        stage.loop.call_at(until_us / 1_000_000, lambda: pool.release(link=held))
        return await pool.acquire(values={}, rank=0, until_us=until_us)

    context.raced = stage.run(work=race())
    stage.advance(for_us=5_000)


@when("the held link is given back and the waiter is cancelled before it runs again")
def when_cancelled(context: Any) -> None:
    stage, pool = context.stage, context.pool
    held = first_held(context=context)

    async def race() -> None:
        task = asyncio.create_task(pool.acquire(values={}, rank=0, until_us=stage.now_us + 500_000))
        await asyncio.sleep(0.01)
        pool.release(link=held)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    stage.run(work=race())
    stage.advance(for_us=5_000)


@then("either it got the link or another may have it")
def then_not_lost(context: Any) -> None:
    raced = getattr(context, "raced", None)
    if raced is not None and raced.is_ok():
        context.stage.call(call=lambda: context.pool.release(link=raced.ok))
    other = ask(context=context, wait_ms=100)
    context.stage.advance(for_us=200_000)
    assert other.outcome == "a link", (other.outcome, len(context.pool.borrowed), len(context.pool.idle))


@when("a statement on the held link is given up, and answered after {wait_ms:d} ms")
def when_given_up(context: Any, wait_ms: int) -> None:
    held = first_held(context=context)
    context.backend.script.append(f"slow {wait_ms}")
    stage = context.stage
    future = stage.call(call=lambda: held.send(statement=statement(text="FETCH 1")))
    stage.call(call=lambda: context.pool.release_answered(link=held, answer=future))


@then("the pool has {idle:d} idle and {taken:d} taken")
def then_pool(context: Any, idle: int, taken: int) -> None:
    pool = context.pool
    assert (len(pool.idle), len(pool.borrowed)) == (idle, taken), (len(pool.idle), len(pool.borrowed))


@when("the pool is shut")
def when_shut(context: Any) -> None:
    context.stage.call(call=context.pool.close)
    context.stage.advance(for_us=5_000)


@when("the pool is reopened")
def when_reopened(context: Any) -> None:
    context.stage.call(call=lambda: context.pool.reopen(backend=announcement(name="b1")))


@when("the pool may have no links any more")
def when_no_links(context: Any) -> None:
    context.stage.call(call=lambda: context.pool.set_limit(limit=0))
    context.stage.advance(for_us=1_000)


@when("the pool may have {limit:d} links")
def when_limit(context: Any, limit: int) -> None:
    context.pool.limit = limit


@when("the held link is lost")
def when_link_lost(context: Any) -> None:
    context.stage.call(call=first_held(context=context).lose)
    context.stage.call(call=lambda: context.pool.release(link=first_held(context=context)))
    context.stage.advance(for_us=5_000)


@when("the held link rests for {rest_ms:d} ms, and then owes an answer for {owe_ms:d} ms")
def when_owes(context: Any, rest_ms: int, owe_ms: int) -> None:
    stage, held = context.stage, first_held(context=context)
    stage.advance(for_us=rest_ms * 1_000)
    context.backend.script.append("silent")
    stage.call(call=lambda: held.send(statement=statement(text="FETCH 1")))
    stage.advance(for_us=owe_ms * 1_000)
    stage.call(call=context.pool.check_silence)


@when("another link of the backend is heard")
def when_heard(context: Any) -> None:
    context.pool.record_answer()
    context.stage.call(call=context.pool.check_silence)


@then("the backend was blamed {count:d} times")
def then_blamed(context: Any, count: int) -> None:
    assert context.problems == count, context.problems
