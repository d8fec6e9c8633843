"""Steps for statements that one proxy passes on to another."""

import asyncio
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from expression import Error, Ok, Result
from stage import FakeBackend, FakeDialer, ReportedView, Stage, announcement, plan, position, route, statement

from cinderstair.pooler.forward_server import ForwardServer
from cinderstair.pooler.forwarder import Forwarder, PeerProxy
from cinderstair.pooler.router import Router
from cinderstair.pooler.session import Session
from cinderstair.runtime.context import Context
from cinderstair.runtime.dispatcher import Dispatcher
from cinderstair.runtime.errors import CinderstairError, ErrorCode

TIMER_S = 0.2
SKEW_US = 77_000_000_000


class OneDispatcherNet:
    """Reaches the holder alone, unless it is gone. While it stands still, what comes lies before it."""

    def __init__(self) -> None:
        self.dispatcher: Dispatcher | None = None
        self.gone = False
        self.goes = asyncio.Event()
        self.goes.set()

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        work = asyncio.create_task(self._arrive(body=body))
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                return Ok(await asyncio.shield(work))
        except (TimeoutError, ConnectionError) as error:
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: {type(error).__name__}"))

    async def _arrive(self, *, body: bytes) -> bytes:
        await asyncio.sleep(0.001)
        await self.goes.wait()
        assert self.dispatcher is not None
        if self.gone:
            raise ConnectionResetError("gone")
        answer = await self.dispatcher.dispatch(body)
        if self.gone:
            raise ConnectionResetError("gone")
        return answer


class ShiftedStage:
    """The stage as a machine sees it whose clock is another."""

    def __init__(self, *, stage: Stage, ctx: Context) -> None:
        self.stage = stage
        self.ctx = ctx
        self.call = stage.call

    @property
    def now_us(self) -> int:
        return self.ctx.now_us()


def new_router(*, context: Any, ctx: Context, reported: ReportedView) -> Router:
    reported.view.ctx = ctx
    router = Router(
        ctx=ctx, view=reported.view, dialer=FakeDialer(backends=context.backends), distance=lambda site: 0
    )
    reported.plan(plan=plan(routes=(route(),)))
    reported.proxy_ids(names=("holder", "booth-1"))
    reported.tell(backends=tuple(announcement(name=name, is_primary=name == "a") for name in ("a", "b")))
    reported.assign_primary(primary="a")
    return router


@given('a proxy that holds 2 links to "a", which leads, and another that holds none')
def given_holder(context: Any) -> None:
    stage = context.stage = Stage(context=context)
    at = position(text="3.5")
    assert at is not None
    context.backends = {name: FakeBackend(name=name, at=at) for name in ("a", "b")}
    context.holder_ctx = stage.context(name="holder", seed=2)
    # why: no two machines' steady clocks agree
    context.holder_ctx.clock = lambda: stage.now_us + SKEW_US
    context.holder_reported = ReportedView(stage=ShiftedStage(stage=stage, ctx=context.holder_ctx))
    context.other_reported = ReportedView(stage=stage)
    context.net = stage.ctx.net = OneDispatcherNet()
    context.router = new_router(context=context, ctx=stage.ctx, reported=context.other_reported)
    context.holder = new_router(context=context, ctx=context.holder_ctx, reported=context.holder_reported)
    context.reported = context.other_reported
    context.replies = []
    context.tends: list[Callable[[], None]] = []

    def begin() -> None:
        context.net.dispatcher = Dispatcher(ctx=context.holder_ctx)
        context.forwards = ForwardServer(
            ctx=context.holder_ctx, router=context.holder, dispatcher=context.net.dispatcher
        )
        context.forwarder = Forwarder(ctx=stage.ctx)
        context.holder.pools["a"].set_limit(limit=2)
        pool = context.router.pools["a"]
        pool.set_limit(limit=0)
        pool.forwarder, pool.peer_proxies = context.forwarder, (PeerProxy(0, "holder", "holder:1"),)
        context.session = Session(ctx=stage.ctx, router=context.router, database="db")
        context.tending = [
            stage.ctx.spawn(work=call_on_timer(call=context.forwarder.on_timer)),
            stage.ctx.spawn(work=call_on_timer(call=lambda: context.forwards.on_timer())),
        ]

    stage.call(call=begin)


async def call_on_timer(*, call: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(TIMER_S)
        call()


def state_line(*, context: Any, reply: Any) -> str:
    word = "done" if reply.fault is None else reply.fault.value
    return f"{word} {'ITE'[reply.state]}"


@when('the other\'s client asks "{text}"')
def when_other_asks(context: Any, text: str) -> None:
    for each in text.split(", "):
        reply = context.stage.run(work=context.session.run(statement=statement(text=each)))
        context.replies.append(state_line(context=context, reply=reply))
        context.stage.advance(for_us=10_000)


@when('the other\'s client begins to ask "{text}"')
def when_other_begins(context: Any, text: str) -> None:
    async def ask() -> None:
        reply = await context.session.run(statement=statement(text=text))
        context.replies.append(state_line(context=context, reply=reply))

    context.stage.call(call=lambda: context.stage.ctx.spawn(work=ask(), name="client"))


@then('the other\'s client was told "{words}"')
def then_other_reported(context: Any, words: str) -> None:
    found = ", ".join(context.replies) or "nothing"
    assert found == words, found


@when("the other's client vanishes")
def when_other_vanishes(context: Any) -> None:
    context.stage.call(call=context.session.close)


@then('"{name}" has {count:d} open links, all of the holder')
def then_open_links(context: Any, name: str, count: int) -> None:
    assert context.backends[name].open_links == count, context.backends[name].open_links
    assert context.holder.pools[name].open == count and not context.router.pools[name].open


@then("the holder has no transaction of others, and every link is given back")
def then_no_channels(context: Any) -> None:
    assert not context.forwards.open, context.forwards.transactions
    assert not any(pool.borrowed for pool in context.holder.pools.values())
    assert not any(pool.borrowed for pool in context.router.pools.values())
    assert not context.forwarder.transactions


@when("the holder stops")
def when_holder_stops(context: Any) -> None:
    context.forwards.stop()


@when("the holder has been out of touch for {wait_ms:d} ms")
def when_holder_out(context: Any, wait_ms: int) -> None:
    context.holder_reported.in_touch = False
    context.stage.advance(for_us=wait_ms * 1_000)


@when('the holder has heard that "{name}" leads')
def when_holder_hears(context: Any, name: str) -> None:
    context.holder_reported.assign_primary(primary=name, term=4)


@when("the holder stands still")
def when_holder_still(context: Any) -> None:
    # why: whoever has never spoken with it could not know its clock
    context.stage.run(work=context.session.run(statement=statement(text="FETCH 0")))
    context.backends["a"].log.clear()
    context.net.goes.clear()


@when("the holder goes on")
def when_holder_goes(context: Any) -> None:
    context.stage.call(call=context.net.goes.set)


@when("the holder begins anew with a clock that is {seconds:d} s behind")
def when_holder_anew(context: Any, seconds: int) -> None:
    def anew() -> None:
        context.holder_ctx.clock = lambda: context.stage.now_us + SKEW_US - seconds * 1_000_000
        context.forwards = ForwardServer(
            ctx=context.holder_ctx, router=context.holder, dispatcher=context.net.dispatcher
        )

    context.stage.call(call=anew)


@when("the holder can't be reached any more")
def when_holder_gone(context: Any) -> None:
    context.net.gone = True


@when("the other proxy ends")
def when_other_ends(context: Any) -> None:
    context.stage.call(call=lambda: context.tending[0].cancel())
    context.forwarder.transactions.clear()
    context.router.pools["a"].borrowed.clear()


@when("the holder may hold no links any more")
def when_holder_none(context: Any) -> None:
    context.stage.call(call=lambda: context.holder.pools["a"].set_limit(limit=0))


@then('the holder is busy with "{database}": {word}')
def then_holder_busy(context: Any, database: str, word: str) -> None:
    assert context.forwards.writing(databases=frozenset([database])) == (word == "yes")
