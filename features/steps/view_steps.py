"""Steps for the view that a proxy has of the register."""

import asyncio
import contextlib
from typing import Any

from behave import given, then, when
from expression import Error, Ok, Result
from stage import SITE, Stage, plan

from cinderstair.config.service_plan import PLAN_KEY
from cinderstair.consensus.ballot import Ballot
from cinderstair.failover.service_primary import service_primary_key
from cinderstair.membership.relay_record import RelayAnswer, RelayedValue, read_relay_question
from cinderstair.pooler.relayed_view import RelayedView
from cinderstair.runtime.errors import CinderstairError, ErrorCode
from cinderstair.runtime.unpacker import Unpacker


class FakeRelay:
    """A controller as a proxy's view sees it."""

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.revision = 1
        self.age_us = 0
        self.silent = False
        self.away_us = 2_000
        self.site = SITE
        self.noise = False
        self.values: tuple[RelayedValue, ...] = ()
        self.requested: list[int] = []

    def answer(self, *, body: bytes) -> bytes:
        question = read_relay_question(unpacker=Unpacker(data=body[1:]))
        if question.brief:
            return RelayAnswer(
                source=self.number, revision=self.revision, age_us=self.age_us, full=False, site=self.site
            ).bytes()
        self.requested.append(question.revision if question.source == self.number else 0)
        full = question.source != self.number
        if self.noise:
            return b"\xff" * 40
        return RelayAnswer(
            source=self.number,
            revision=self.revision,
            age_us=self.age_us,
            full=full,
            values=self.values if full or question.revision < self.revision else (),
            controllers=("g1", "g2"),
        ).bytes()


class RelayNet:
    def __init__(self, *, relays: dict[str, FakeRelay]) -> None:
        self.relays = relays

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        relay = self.relays[address]
        if relay.silent:
            await asyncio.sleep(wait_us / 1_000_000)
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: silent"))
        await asyncio.sleep(relay.away_us / 1_000_000)
        return Ok(relay.answer(body=body))


@given('a view that asks "{names}"')
def given_view(context: Any, names: str) -> None:
    context.stage = Stage(context=context)
    addresses = tuple(names.split(", "))
    context.relays = {name: FakeRelay(number=number) for number, name in enumerate(addresses, start=1)}
    context.stage.ctx.net = RelayNet(relays=context.relays)
    context.view = RelayedView(
        ctx=context.stage.ctx,
        site=SITE,
        seeds=lambda: addresses,
        distance=lambda site: 0 if site == SITE else 3,
    )
    context.keeping = None


@given('"{names}" know things {age_ms:d} ms old')
def given_old(context: Any, names: str, age_ms: int) -> None:
    for name in names.split(", "):
        context.relays[name].age_us = age_ms * 1_000


def tell(*, context: Any, names: str, key: str, value: bytes, round: int) -> None:
    for name in names.split(", "):
        relay = context.relays[name]
        relay.noise = False
        relay.revision += 1
        relay.values = (RelayedValue(key=key, ballot=Ballot(round, 1), value=value),)


@given('"{names}" tell the plan of version {version:d} under round {round:d}')
def given_tell_plan(context: Any, names: str, version: int, round: int) -> None:
    tell(context=context, names=names, key=PLAN_KEY, value=plan(version=version).bytes(), round=round)


@given('"{names}" tell noise')
def given_noise(context: Any, names: str) -> None:
    for name in names.split(", "):
        context.relays[name].noise = True


@given('"{names}" tell a {what} that is none')
def given_tell_none(context: Any, names: str, what: str) -> None:
    key = {"plan": PLAN_KEY, "lead": service_primary_key(service="s")}[what]
    tell(context=context, names=names, key=key, value=b"\x01\x02\x03", round=1)


@when("the view keeps itself for {wait_ms:d} ms")
def when_keeps(context: Any, wait_ms: int) -> None:
    # why: it is begun once, as a proxy begins it, and goes on by itself
    if context.keeping is None:
        context.keeping = context.stage.call(call=lambda: context.stage.ctx.spawn(work=context.view.keep()))
    context.stage.advance(for_us=wait_ms * 1_000)
    with contextlib.suppress(ValueError):
        assert not context.keeping.done() or context.keeping.result()


@given('"{name}" is {away_ms:d} ms away')
def given_far(context: Any, name: str, away_ms: int) -> None:
    context.relays[name].away_us = away_ms * 1_000


@given('"{name}" stands in another zone')
def given_other_zone(context: Any, name: str) -> None:
    context.relays[name].site = "elsewhere"


@given('"{name}" is silent')
def given_silent(context: Any, name: str) -> None:
    context.relays[name].silent = True


@when("the view chooses, and keeps itself for {wait_ms:d} ms")
def when_chooses(context: Any, wait_ms: int) -> None:
    began_us = context.stage.now_us
    context.stage.run(work=context.view.choose())
    context.took_us = context.stage.now_us - began_us
    when_keeps(context=context, wait_ms=wait_ms)


@when('"{name}" is {word}, and the view keeps itself for {wait_ms:d} ms')
def when_changes(context: Any, name: str, word: str, wait_ms: int) -> None:
    context.relays[name].silent = word == "silent"
    context.stage.advance(for_us=wait_ms * 1_000)


@then("that took at most {most_ms:d} ms")
def then_choice_took(context: Any, most_ms: int) -> None:
    assert context.took_us <= most_ms * 1_000, context.took_us


@then('it asks "{name}"')
def then_asks(context: Any, name: str) -> None:
    assert context.view.controller == name, context.view.controller


@when('the controllers "{names}" are silent for {wait_ms:d} ms')
def when_silent(context: Any, names: str, wait_ms: int) -> None:
    for name in names.split(", "):
        context.relays[name].silent = True
    context.stage.advance(for_us=wait_ms * 1_000)


@when("the controller that it asks is silent for {wait_ms:d} ms")
def when_requested_silent(context: Any, wait_ms: int) -> None:
    context.relays[context.view.controller].silent = True
    context.stage.advance(for_us=wait_ms * 1_000)


@then("over {wait_ms:d} ms the view is never older than {most_ms:d} ms")
def then_never_older(context: Any, wait_ms: int, most_ms: int) -> None:
    for _ in range(wait_ms // 10):
        context.stage.advance(for_us=10_000)
        older_us = context.stage.now_us - context.view.as_of_us
        assert older_us <= most_ms * 1_000, older_us


@then("the view is current")
def then_current(context: Any) -> None:
    assert context.view.current


@then("the view is not current")
def then_not_current(context: Any) -> None:
    assert not context.view.current


@then("it asked for everything once, and stayed with one controller")
def then_stayed(context: Any) -> None:
    requested = sorted((relay.requested for relay in context.relays.values()), key=len)
    assert not requested[0] and len(requested[1]) >= 4, requested
    assert [revision == 0 for revision in requested[1]] == [True] + [False] * (len(requested[1]) - 1), requested


@then("the view's plan is {version:d}")
def then_plan(context: Any, version: int) -> None:
    assert context.view.plan is not None and context.view.plan.version == version, context.view.plan
