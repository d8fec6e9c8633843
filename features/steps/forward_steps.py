"""Steps for statements that one proxy forwards to another."""

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


class SingleServerNet:
    """Delivers requests to the serving proxy, unless it is unreachable; requests wait while it is paused."""

    def __init__(self) -> None:
        self.dispatcher: Dispatcher | None = None
        self.unreachable = False
        self.running = asyncio.Event()
        self.running.set()

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        work = asyncio.create_task(self._arrive(body=body))
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                return Ok(await asyncio.shield(work))
        except (TimeoutError, ConnectionError) as error:
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: {type(error).__name__}"))

    async def _arrive(self, *, body: bytes) -> bytes:
        await asyncio.sleep(0.001)
        await self.running.wait()
        assert self.dispatcher is not None
        if self.unreachable:
            raise ConnectionResetError("unreachable")
        answer = await self.dispatcher.dispatch(body)
        if self.unreachable:
            raise ConnectionResetError("unreachable")
        return answer


class SkewedClockStage:
    """The stage as seen by a machine whose clock differs from the others' clocks."""

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


@given('a serving proxy with 2 links to primary "a", and a forwarding proxy without links')
def given_proxies(context: Any) -> None:
    stage = context.stage = Stage(context=context)
    at = position(text="3.5")
    assert at is not None
    context.backends = {name: FakeBackend(name=name, at=at) for name in ("a", "b")}
    context.server_ctx = stage.context(name="holder", seed=2)
    # Monotonic clocks of two machines differ.
    context.server_ctx.clock = lambda: stage.now_us + SKEW_US
    context.server_reported = ReportedView(stage=SkewedClockStage(stage=stage, ctx=context.server_ctx))
    context.client_reported = ReportedView(stage=stage)
    context.net = stage.ctx.net = SingleServerNet()
    context.router = new_router(context=context, ctx=stage.ctx, reported=context.client_reported)
    context.server_router = new_router(context=context, ctx=context.server_ctx, reported=context.server_reported)
    context.reported = context.client_reported
    context.replies = []

    def begin() -> None:
        context.net.dispatcher = Dispatcher(ctx=context.server_ctx)
        context.forwards = ForwardServer(
            ctx=context.server_ctx, router=context.server_router, dispatcher=context.net.dispatcher
        )
        context.forwarder = Forwarder(ctx=stage.ctx)
        context.server_router.pools["a"].set_limit(limit=2)
        pool = context.router.pools["a"]
        pool.set_limit(limit=0)
        pool.forwarder, pool.peer_proxies = context.forwarder, (PeerProxy(0, "holder", "holder:1"),)
        context.session = Session(ctx=stage.ctx, router=context.router, database="db")
        context.timers = [
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


@when('the client of the forwarding proxy sends "{text}"')
def when_client_sends(context: Any, text: str) -> None:
    for each in text.split(", "):
        reply = context.stage.run(work=context.session.run(statement=statement(text=each)))
        context.replies.append(state_line(context=context, reply=reply))
        context.stage.advance(for_us=10_000)


@when('the client of the forwarding proxy sends "{text}" without waiting')
def when_client_starts(context: Any, text: str) -> None:
    async def ask() -> None:
        reply = await context.session.run(statement=statement(text=text))
        context.replies.append(state_line(context=context, reply=reply))

    context.stage.call(call=lambda: context.stage.ctx.spawn(work=ask(), name="client"))


@then('the client of the forwarding proxy received "{words}"')
def then_client_received(context: Any, words: str) -> None:
    found = ", ".join(context.replies) or "nothing"
    assert found == words, found


@when("the client of the forwarding proxy disconnects")
def when_client_disconnects(context: Any) -> None:
    context.stage.call(call=context.session.close)


@then('"{name}" has {count:d} open links, all from the serving proxy')
def then_open_links(context: Any, name: str, count: int) -> None:
    assert context.backends[name].open_links == count, context.backends[name].open_links
    assert context.server_router.pools[name].open == count and not context.router.pools[name].open


@then("the serving proxy has no forwarded transaction, and all links are released")
def then_all_released(context: Any) -> None:
    assert not context.forwards.open, context.forwards.transactions
    assert not any(pool.borrowed for pool in context.server_router.pools.values())
    assert not any(pool.borrowed for pool in context.router.pools.values())
    assert not context.forwarder.transactions


@when("the serving proxy stops")
def when_server_stops(context: Any) -> None:
    context.forwards.stop()


@when("the serving proxy has received no view for {wait_ms:d} ms")
def when_server_stale(context: Any, wait_ms: int) -> None:
    context.server_reported.in_touch = False
    context.stage.advance(for_us=wait_ms * 1_000)


@when('the serving proxy\'s view has primary "{name}"')
def when_server_view(context: Any, name: str) -> None:
    context.server_reported.assign_primary(primary=name, term=4)


@when("the serving proxy is paused")
def when_server_paused(context: Any) -> None:
    # The forwarding proxy must have made its handshake to send a request with a deadline.
    context.stage.run(work=context.session.run(statement=statement(text="FETCH 0")))
    context.backends["a"].log.clear()
    context.net.running.clear()


@when("the serving proxy is resumed")
def when_server_resumed(context: Any) -> None:
    context.stage.call(call=context.net.running.set)


@when("the serving proxy restarts with a clock that is {seconds:d} s behind")
def when_server_restarts(context: Any, seconds: int) -> None:
    def restart() -> None:
        context.server_ctx.clock = lambda: context.stage.now_us + SKEW_US - seconds * 1_000_000
        context.forwards = ForwardServer(
            ctx=context.server_ctx, router=context.server_router, dispatcher=context.net.dispatcher
        )

    context.stage.call(call=restart)


@when("the serving proxy becomes unreachable")
def when_server_unreachable(context: Any) -> None:
    context.net.unreachable = True


@when("the forwarding proxy crashes")
def when_forwarder_crashes(context: Any) -> None:
    context.stage.call(call=lambda: context.timers[0].cancel())
    context.forwarder.transactions.clear()
    context.router.pools["a"].borrowed.clear()


@when("the serving proxy's link limit becomes 0")
def when_server_limit(context: Any) -> None:
    context.stage.call(call=lambda: context.server_router.pools["a"].set_limit(limit=0))


@then('the serving proxy has open writes to "{database}": {word}')
def then_server_open_writes(context: Any, database: str, word: str) -> None:
    assert context.forwards.has_open_writes(databases=frozenset([database])) == (word == "yes")
