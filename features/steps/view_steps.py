"""Steps for a proxy's view of the register, and for its choice of a controller."""

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


class FakeController:
    """A controller that answers relay requests with the values, age and delay that the test sets."""

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.revision = 1
        self.age_us = 0
        self.silent = False
        self.delay_us = 2_000
        self.site = SITE
        self.undecodable = False
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
        if self.undecodable:
            return b"\xff" * 40
        return RelayAnswer(
            source=self.number,
            revision=self.revision,
            age_us=self.age_us,
            full=full,
            values=self.values if full or question.revision < self.revision else (),
            controllers=("g1", "g2"),
        ).bytes()


class ControllerNet:
    """A network that delivers relay requests to the fake controllers; a silent one times out."""

    def __init__(self, *, controllers: dict[str, FakeController]) -> None:
        self.controllers = controllers

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        controller = self.controllers[address]
        if controller.silent:
            await asyncio.sleep(wait_us / 1_000_000)
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: silent"))
        await asyncio.sleep(controller.delay_us / 1_000_000)
        return Ok(controller.answer(body=body))


@given('a view with controllers "{names}"')
def given_view(context: Any, names: str) -> None:
    context.stage = Stage(context=context)
    addresses = tuple(names.split(", "))
    context.controllers = {name: FakeController(number=number) for number, name in enumerate(addresses, start=1)}
    context.stage.ctx.net = ControllerNet(controllers=context.controllers)
    context.view = RelayedView(
        ctx=context.stage.ctx,
        site=SITE,
        seeds=lambda: addresses,
        distance=lambda site: 0 if site == SITE else 3,
    )
    context.running = None


@given('the state of "{names}" is {age_ms:d} ms old')
def given_state_age(context: Any, names: str, age_ms: int) -> None:
    for name in names.split(", "):
        context.controllers[name].age_us = age_ms * 1_000


def relay_value(*, context: Any, names: str, key: str, value: bytes, round: int) -> None:
    for name in names.split(", "):
        controller = context.controllers[name]
        controller.undecodable = False
        controller.revision += 1
        controller.values = (RelayedValue(key=key, ballot=Ballot(round, 1), value=value),)


@given('"{names}" relay the plan of version {version:d} with ballot round {round:d}')
def given_relayed_plan(context: Any, names: str, version: int, round: int) -> None:
    relay_value(context=context, names=names, key=PLAN_KEY, value=plan(version=version).bytes(), round=round)


@given('"{names}" relay an answer that can\'t be decoded')
def given_undecodable_answer(context: Any, names: str) -> None:
    for name in names.split(", "):
        context.controllers[name].undecodable = True


@given('"{names}" relay a {what} value that can\'t be decoded')
def given_undecodable_value(context: Any, names: str, what: str) -> None:
    key = {"plan": PLAN_KEY, "primary": service_primary_key(service="s")}[what]
    relay_value(context=context, names=names, key=key, value=b"\x01\x02\x03", round=1)


@when("the view runs for {wait_ms:d} ms")
def when_view_runs(context: Any, wait_ms: int) -> None:
    # The view's loop is started once, as a proxy does; later steps only let time pass.
    if context.running is None:
        context.running = context.stage.call(call=lambda: context.stage.ctx.spawn(work=context.view.run()))
    context.stage.advance(for_us=wait_ms * 1_000)
    with contextlib.suppress(ValueError):
        assert not context.running.done() or context.running.result()


@given('"{name}" answers after {delay_ms:d} ms')
def given_delay(context: Any, name: str, delay_ms: int) -> None:
    context.controllers[name].delay_us = delay_ms * 1_000


@given('"{name}" is in another zone')
def given_other_zone(context: Any, name: str) -> None:
    context.controllers[name].site = "elsewhere"


@given('"{name}" is silent')
def given_silent(context: Any, name: str) -> None:
    context.controllers[name].silent = True


@when("the view chooses a controller and runs for {wait_ms:d} ms")
def when_controller_chosen(context: Any, wait_ms: int) -> None:
    began_us = context.stage.now_us
    context.stage.run(work=context.view.choose_controller())
    context.took_us = context.stage.now_us - began_us
    when_view_runs(context=context, wait_ms=wait_ms)


@when('"{name}" is {word}, and the view runs for {wait_ms:d} ms')
def when_changes(context: Any, name: str, word: str, wait_ms: int) -> None:
    context.controllers[name].silent = word == "silent"
    context.stage.advance(for_us=wait_ms * 1_000)


@then("the choice took at most {most_ms:d} ms")
def then_choice_took(context: Any, most_ms: int) -> None:
    assert context.took_us <= most_ms * 1_000, context.took_us


@then('the current controller is "{name}"')
def then_controller(context: Any, name: str) -> None:
    assert context.view.controller == name, context.view.controller


@when('the controllers "{names}" are silent for {wait_ms:d} ms')
def when_silent(context: Any, names: str, wait_ms: int) -> None:
    for name in names.split(", "):
        context.controllers[name].silent = True
    context.stage.advance(for_us=wait_ms * 1_000)


@when("the current controller is silent for {wait_ms:d} ms")
def when_current_silent(context: Any, wait_ms: int) -> None:
    context.controllers[context.view.controller].silent = True
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


@then("it requested the full state once, and always from the same controller")
def then_one_full_request(context: Any) -> None:
    requested = sorted((controller.requested for controller in context.controllers.values()), key=len)
    assert not requested[0] and len(requested[1]) >= 4, requested
    assert [revision == 0 for revision in requested[1]] == [True] + [False] * (len(requested[1]) - 1), requested


@then("the view's plan has version {version:d}")
def then_plan(context: Any, version: int) -> None:
    assert context.view.plan is not None and context.view.plan.version == version, context.view.plan
