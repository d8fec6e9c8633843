"""Steps for the link pool."""

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


class LinkRequest:
    """A request for a link from the pool, and its outcome."""

    def __init__(self, *, context: Any, rank: int = 0, wait_ms: int = 1_000, values: str = "") -> None:
        self.rank = rank
        stage, pool = context.stage, context.pool
        values_by_name = {k.encode(): v.encode() for k, v in (each.split("=") for each in values.split())}

        async def acquire() -> Any:
            return await pool.acquire(values=values_by_name, rank=rank, until_us=stage.now_us + wait_ms * 1_000)

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
    context.suspicions = 0

    def count_suspicion() -> None:
        context.suspicions += 1

    context.pool = LinkPool(
        ctx=context.stage.ctx,
        backend=announcement(name="b1"),
        dialer=FakeDialer(backends={"b1": context.backend}),
        on_link_failure=count_suspicion,
    )
    context.pool.limit = limit
    context.requests = []


@when("links are switched to {word}")
def when_switched(context: Any, word: str) -> None:
    context.stage.call(call=lambda: context.pool.set_on_demand(on_demand=word == "on demand"))


@given("links that are opened on demand")
def given_on_demand(context: Any) -> None:
    context.pool.on_demand = True


@given("a backend that has just reached its connection limit")
def given_full(context: Any) -> None:
    context.pool.last_full_us = context.pool.ctx.now_us()


@given('its dials end with "{words}"')
def given_dials(context: Any, words: str) -> None:
    context.backend.dial_script.extend(words.split(", "))


def request_link(*, context: Any, **options: Any) -> LinkRequest:
    request = LinkRequest(context=context, **options)
    context.requests.append(request)
    return request


@when("{count:d} clients request a link")
def when_ask(context: Any, count: int) -> None:
    for _ in range(count):
        request_link(context=context)
    context.stage.advance(for_us=5_000)


@when("{count:d} clients request a link within {wait_ms:d} ms")
def when_ask_for(context: Any, count: int, wait_ms: int) -> None:
    for _ in range(count):
        request_link(context=context, wait_ms=wait_ms)


@when('a client with values "{values}" requests a link')
def when_ask_values(context: Any, values: str) -> None:
    request_link(context=context, values=values)
    context.stage.advance(for_us=5_000)


@when('requests of the ranks "{ranks}" arrive')
def when_ranks(context: Any, ranks: str) -> None:
    for rank in ranks.split(", "):
        request_link(context=context, rank=int(rank))
        context.stage.advance(for_us=1_000)


def first_borrowed(*, context: Any) -> Any:
    return next(request.task.result().ok for request in context.requests if request.outcome == "a link")


@when("links are released one at a time until all requests are served")
def when_released_one_by_one(context: Any) -> None:
    context.served = []
    borrowed_link = first_borrowed(context=context)
    waiting = [request for request in context.requests if request.outcome == "waits"]
    while waiting:
        context.stage.call(call=lambda borrowed_link=borrowed_link: context.pool.release(link=borrowed_link))
        context.stage.advance(for_us=1_000)
        served = [request for request in waiting if request.outcome == "a link"]
        assert len(served) == 1, [request.outcome for request in waiting]
        waiting.remove(served[0])
        context.served.append(served[0].rank)
        borrowed_link = served[0].task.result().ok


@then('the requests were served in the order "{ranks}"')
def then_order(context: Any, ranks: str) -> None:
    assert ", ".join(map(str, context.served)) == ranks, context.served


@when("{wait_ms:d} ms pass at the pool")
def when_pass(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@then('the requests have the outcomes "{words}"')
def then_have(context: Any, words: str) -> None:
    outcomes = [request.outcome for request in context.requests]
    counted = ", ".join(f"{outcomes.count(word)} {word}" for word in sorted(set(outcomes)))
    assert counted == words, counted


@then("the last request ended within {most_ms:d} ms")
def then_last_ended(context: Any, most_ms: int) -> None:
    request = context.requests[-1]
    assert request.task.done() and request.ended_us - request.began_us <= most_ms * 1_000


@then("{count:d} links are open and {dialled:d} were dialled")
def then_open(context: Any, count: int, dialled: int) -> None:
    assert (context.backend.open_links, context.backend.dialled) == (count, dialled), (
        context.backend.open_links,
        context.backend.dialled,
    )


@when("all links are released")
def when_all_released(context: Any) -> None:
    for request in context.requests:
        if request.outcome == "a link":
            context.stage.call(call=lambda request=request: context.pool.release(link=request.task.result().ok))
    context.requests.clear()
    context.stage.advance(for_us=5_000)


@when('the borrowed links have the values "{values}"')
def when_values(context: Any, values: str) -> None:
    borrowed_link = [request.task.result().ok for request in context.requests]
    for link, text in zip(borrowed_link, values.split(", "), strict=True):
        link.values = {} if text == "-" else {text.split("=")[0].encode(): text.split("=")[1].encode()}


@then('the last request got the link with the values "{text}"')
def then_values(context: Any, text: str) -> None:
    link = context.requests[-1].task.result().ok
    found = " ".join(f"{k.decode()}={v.decode()}" for k, v in link.values.items()) or "-"
    assert found == text, found


@when("the borrowed link is released at the very moment of a queued request's deadline")
def when_handed_over(context: Any) -> None:
    stage, pool = context.stage, context.pool
    borrowed_link = first_borrowed(context=context)

    async def race() -> Any:
        until_us = stage.now_us + 50_000
        # Timers that are due at the same time run in the order in which they were set.
        stage.loop.call_at(until_us / 1_000_000, lambda: pool.release(link=borrowed_link))
        return await pool.acquire(values={}, rank=0, until_us=until_us)

    context.raced = stage.run(work=race())
    stage.advance(for_us=5_000)


@when("the borrowed link is released and the queued request is cancelled before it runs again")
def when_cancelled(context: Any) -> None:
    stage, pool = context.stage, context.pool
    borrowed_link = first_borrowed(context=context)

    async def race() -> None:
        task = asyncio.create_task(pool.acquire(values={}, rank=0, until_us=stage.now_us + 500_000))
        await asyncio.sleep(0.01)
        pool.release(link=borrowed_link)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    stage.run(work=race())
    stage.advance(for_us=5_000)


@then("either that request got the link or another can borrow it")
def then_not_lost(context: Any) -> None:
    raced = getattr(context, "raced", None)
    if raced is not None and raced.is_ok():
        context.stage.call(call=lambda: context.pool.release(link=raced.ok))
    other = request_link(context=context, wait_ms=100)
    context.stage.advance(for_us=200_000)
    assert other.outcome == "a link", (other.outcome, len(context.pool.borrowed), len(context.pool.idle))


@when("a statement on the borrowed link is abandoned, and answered after {wait_ms:d} ms")
def when_abandoned(context: Any, wait_ms: int) -> None:
    borrowed_link = first_borrowed(context=context)
    context.backend.script.append(f"slow {wait_ms}")
    stage = context.stage
    future = stage.call(call=lambda: borrowed_link.send(statement=statement(text="FETCH 1")))
    stage.call(call=lambda: context.pool.release_answered(link=borrowed_link, answer=future))


@then("the pool has {idle:d} idle and {borrowed:d} borrowed links")
def then_pool(context: Any, idle: int, borrowed: int) -> None:
    pool = context.pool
    assert (len(pool.idle), len(pool.borrowed)) == (idle, borrowed), (len(pool.idle), len(pool.borrowed))


@when("the pool is closed")
def when_closed(context: Any) -> None:
    context.stage.call(call=context.pool.close)
    context.stage.advance(for_us=5_000)


@when("the pool is reopened")
def when_reopened(context: Any) -> None:
    context.stage.call(call=lambda: context.pool.reopen(backend=announcement(name="b1")))


@when("the pool's limit is set to 0")
def when_limit_zero(context: Any) -> None:
    context.stage.call(call=lambda: context.pool.set_limit(limit=0))
    context.stage.advance(for_us=1_000)


@when("the pool's limit becomes {limit:d} links")
def when_limit(context: Any, limit: int) -> None:
    context.pool.limit = limit


@when("the borrowed link is lost")
def when_link_lost(context: Any) -> None:
    context.stage.call(call=first_borrowed(context=context).lose)
    context.stage.call(call=lambda: context.pool.release(link=first_borrowed(context=context)))
    context.stage.advance(for_us=5_000)


@when("the borrowed link is idle for {idle_ms:d} ms, and then a statement is unanswered for {unanswered_ms:d} ms")
def when_unanswered(context: Any, idle_ms: int, unanswered_ms: int) -> None:
    stage, borrowed_link = context.stage, first_borrowed(context=context)
    stage.advance(for_us=idle_ms * 1_000)
    context.backend.script.append("silent")
    stage.call(call=lambda: borrowed_link.send(statement=statement(text="FETCH 1")))
    stage.advance(for_us=unanswered_ms * 1_000)
    stage.call(call=context.pool.check_silence)


@when("another link of the backend receives a reply")
def when_other_reply(context: Any) -> None:
    context.pool.record_answer()
    context.stage.call(call=context.pool.check_silence)


@then("the backend was suspected {count:d} times")
def then_suspected(context: Any, count: int) -> None:
    assert context.suspicions == count, context.suspicions
