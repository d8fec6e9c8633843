"""Steps for detours through other proxies to a primary that can't be reached directly."""

import asyncio
from typing import Any

from behave import given, then, when
from expression import Ok, Result
from stage import Stage, announcement

from cinderstair.pooler.detours import Detours
from cinderstair.pooler.forwarder import PeerProxy
from cinderstair.pooler.link_pool import LinkPool
from cinderstair.pooler.reply import Reply
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.position import Position

TIMER_MS = 100
ANSWER_US = 5_000


class FakeDetourLink:
    """Replies to a position request as another proxy does, with an error unless that proxy reaches the backend."""

    def __init__(self, *, peer_proxy: PeerProxy, reached: set[str], wait_us: int) -> None:
        self.peer_proxy = peer_proxy
        self.reached = reached
        self.wait_us = wait_us

    def ask_position(self) -> asyncio.Future[Reply]:
        return asyncio.ensure_future(self._answer())

    async def _answer(self) -> Reply:
        await asyncio.sleep(self.wait_us / 1_000_000)
        if self.peer_proxy.name in self.reached:
            return Reply(rows=[], position=Position(1, 7))
        return Reply(rows=[], fault=ErrorCode.NO_BACKEND, not_run=True)

    def close(self) -> None:
        pass


class FakeForwarder:
    """Hands out links through the requested proxy and records the proxies that were probed."""

    def __init__(self) -> None:
        self.reached = {"near", "far"}
        self.wait_us = ANSWER_US
        self.tried: list[str] = []

    async def link(
        self, *, peer_proxies: tuple[PeerProxy, ...], **_: Any
    ) -> Result[FakeDetourLink, CinderstairError]:
        self.tried.append(peer_proxies[0].name)
        return Ok(FakeDetourLink(peer_proxy=peer_proxies[0], reached=self.reached, wait_us=self.wait_us))


@given('a primary "{name}" and other proxies "near" and "far" that may have links to it')
def given_primary(context: Any, name: str) -> None:
    context.stage = Stage(context=context)
    peer_proxies = (PeerProxy(0, "near", "near:1"), PeerProxy(2, "far", "far:1"))
    context.forwarder = FakeForwarder()

    def make() -> None:
        context.detours = Detours(ctx=context.stage.ctx, candidates=lambda pool: peer_proxies)
        context.detours.forwarder = context.forwarder
        context.pool = LinkPool(
            ctx=context.stage.ctx, backend=announcement(name=name), dialer=no_dialer, on_link_failure=lambda: None
        )

    context.stage.call(call=make)


async def no_dialer(**_: Any) -> Any:
    raise AssertionError("a detour must not dial the backend")


def maintain_for(*, context: Any, wait_ms: int) -> None:
    for _ in range(wait_ms // TIMER_MS):
        context.stage.call(call=lambda: context.detours.maintain(pool=context.pool, service="s"))
        context.stage.advance(for_us=TIMER_MS * 1_000)


@when("detours are maintained every 100 ms for {wait_ms:d} ms")
def when_maintained(context: Any, wait_ms: int) -> None:
    maintain_for(context=context, wait_ms=wait_ms)


@when('"a" is silent')
def when_silent(context: Any) -> None:
    context.pool.silent = True


@when('"a" can\'t be dialled')
def when_not_dialled(context: Any) -> None:
    context.pool.dial_failures = 1


@when('"a" answers again')
def when_answers(context: Any) -> None:
    context.pool.record_answer()


@when('"{name}" can\'t reach "a" either')
def when_not_reached(context: Any, name: str) -> None:
    context.forwarder.reached.discard(name)


@when('"{name}" can reach "a" again')
def when_reached(context: Any, name: str) -> None:
    context.forwarder.reached.add(name)


@when('"near" answers after {wait_ms:d} ms')
def when_slow(context: Any, wait_ms: int) -> None:
    context.forwarder.wait_us = wait_ms * 1_000


@then('there is a detour to "a" through "{name}"')
def then_detour(context: Any, name: str) -> None:
    detour_pool = context.detours.detour(pool=context.pool)
    assert detour_pool is not None and detour_pool.peer_proxies[0].name == name, (
        detour_pool and detour_pool.peer_proxies,
        context.forwarder.tried,
    )
    assert detour_pool is not context.pool and detour_pool.backend is context.pool.backend and not detour_pool.limit


@then('for {wait_ms:d} ms there is a detour to "a" through "{name}"')
def then_detour_persists(context: Any, wait_ms: int, name: str) -> None:
    for _ in range(wait_ms // 500):
        maintain_for(context=context, wait_ms=500)
        then_detour(context=context, name=name)


@then("no probe was sent and there is no detour")
def then_no_probe(context: Any) -> None:
    assert not context.forwarder.tried and context.detours.detour(pool=context.pool) is None


@then("there is no detour, and at most {most:d} probes were sent")
def then_no_detour(context: Any, most: int) -> None:
    assert context.detours.detour(pool=context.pool) is None
    assert 0 < len(context.forwarder.tried) <= most, context.forwarder.tried
