"""Steps for the relay of register values and backends to proxies."""

from typing import Any

from behave import given, then, when
from cluster_stage import new_controller, new_stage, put
from stage import announcement

from cinderstair.config.service_plan import PLAN_KEY
from cinderstair.control_plane.relay import Relay
from cinderstair.membership.announcement import GONE
from cinderstair.membership.heartbeat import EMPTYING, READY
from cinderstair.membership.pooled_sample import ReportedSample
from cinderstair.membership.relay_record import RelayAnswer, RelayQuestion, read_relay_answer
from cinderstair.runtime.message_types import MessageType
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.position import Position


def shorten(key: str, value: bytes) -> bytes:
    return value[:2] if key == PLAN_KEY else value


@given("a relay")
def given_relay(context: Any) -> None:
    new_stage(context=context)
    context.suspected = []
    context.controllers = ("10.0.0.1:1",)
    controller = context.controller = new_controller(context=context)

    def work() -> None:
        controller.relay = Relay(
            ctx=controller.ctx,
            dispatcher=controller.dispatcher,
            view=controller.view,
            heartbeat_table=controller.heartbeat_table,
            controllers=lambda: context.controllers,
            on_link_failure=lambda name, proxy: context.suspected.append(f"{name} by {proxy}"),
            shorten=shorten,
        )

    context.stage.call(call=work)
    context.source = context.revision = 0
    context.numbers = {}
    context.stage.advance(for_us=500_000)


@given('the backends "{names}" send heartbeats')
@when('the backends "{names}" send heartbeats')
@when('the backends "{names}" send heartbeats again')
def when_backends_heartbeat(context: Any, names: str) -> None:
    heartbeat_all(context=context, names=names)


def heartbeat_all(*, context: Any, names: str, **changes: Any) -> None:
    for name in names.split(", "):
        context.numbers[name] = context.numbers.get(name, 0) + 1
        received = announcement(name=name, number=context.numbers[name], **changes)
        context.stage.call(
            call=lambda received=received: context.controller.heartbeat_table.receive(heartbeat=received)
        )
    context.stage.advance(for_us=150_000)


@when('the backends "{names}" send heartbeats as {what}')
def when_heartbeat_as(context: Any, names: str, what: str) -> None:
    changes = {"primary": {"is_primary": True}, "emptying": {"state": EMPTYING}, "gone": {"state": GONE}}[what]
    heartbeat_all(context=context, names=names, **changes)


@given('the register holds "{key}" as "{value}"')
@when('the register holds "{key}" as "{value}"')
def when_register_holds(context: Any, key: str, value: str) -> None:
    put(context=context, key=key, value=value.encode())
    context.stage.advance(for_us=500_000)


@when("{wait_ms:d} ms pass at the relay")
def when_time_passes_at_relay(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@when('the controllers are "{addresses}"')
def when_controllers(context: Any, addresses: str) -> None:
    context.controllers = tuple(addresses.split(", "))
    context.stage.advance(for_us=150_000)


def ask_relay(*, context: Any, proxy: str = "proxy-1", suspected: tuple[str, ...] = ()) -> RelayAnswer:
    question = RelayQuestion(
        proxy=proxy, site="kingston", source=context.source, revision=context.revision, suspected=suspected
    )
    body = question.write(packer=Packer().u8(value=MessageType.RELAY)).bytes()
    answer = read_relay_answer(data=context.stage.run(work=context.controller.dispatcher.dispatch(body)))
    context.source, context.revision = answer.source, answer.revision
    return answer


@then(
    'a proxy that asks gets {what}: the values "{values}", the backends "{backends}", the controllers "{controllers}"'
)
def then_relay_answers(context: Any, what: str, values: str, backends: str, controllers: str) -> None:
    answer = ask_relay(context=context)
    found = (
        "the full state" if answer.full else "changes",
        " ".join(sorted(f"{each.key}={each.value.decode()}" for each in answer.values)) or "none",
        " ".join(
            sorted(
                each.announcement.name
                + ("!" if each.announcement.is_primary else "")
                + ("" if each.announcement.state == READY else f"-{each.announcement.state}")
                + ("?" if each.silent else "")
                for each in answer.backends
            )
        )
        or "none",
        " ".join(answer.controllers) or "none",
    )
    assert found == (what, values, backends, controllers), found


@when("the proxy asks with {revision}")
def when_asks_with_revision(context: Any, revision: str) -> None:
    context.source, context.revision = {
        "the revision of another relay": (12345, 2),
        "a revision later than the newest": (context.source, 10**9),
    }[revision]


@then("the answer is between {least_ms:d} and {most_ms:d} ms old")
def then_age(context: Any, least_ms: int, most_ms: int) -> None:
    age_us = ask_relay(context=context).age_us
    assert least_ms * 1_000 <= age_us <= most_ms * 1_000, age_us


@then('a brief question gets the site "{site}", an age below {most_ms:d} ms, and nothing else')
def then_brief(context: Any, site: str, most_ms: int) -> None:
    question = RelayQuestion(proxy="proxy-9", site="kingston", brief=True)
    body = question.write(packer=Packer().u8(value=MessageType.RELAY)).bytes()
    answer = read_relay_answer(data=context.stage.run(work=context.controller.dispatcher.dispatch(body)))
    assert answer.site == site and 0 <= answer.age_us <= most_ms * 1_000, answer
    assert not (answer.values or answer.backends or answer.controllers or answer.samples or answer.ask), answer


@when("a proxy reports a sample timed by {what} process")
def when_reports_sample(context: Any, what: str) -> None:
    ask_relay(context=context)
    sample = ReportedSample(
        service="s", term=3, moment_us=context.controller.ctx.now_us() - 1_000, position=Position(3, 7)
    )
    source = context.source + (what == "another")
    question = RelayQuestion(proxy="proxy-1", site="kingston", source=source, revision=1, samples=(sample,))
    body = question.write(packer=Packer().u8(value=MessageType.RELAY)).bytes()
    context.stage.run(work=context.controller.dispatcher.dispatch(body))


@then("the relay holds {count:d} samples")
def then_reported_samples(context: Any, count: int) -> None:
    assert len(context.controller.relay.position_samples.samples) == count, (
        context.controller.relay.position_samples.samples
    )


@when("the relay's controller loses the register")
def when_register_lost(context: Any) -> None:
    context.controller.register.cut = True


@when('"{proxy}" asks and suspects "{names}"')
def when_suspects(context: Any, proxy: str, names: str) -> None:
    ask_relay(context=context, proxy=proxy, suspected=tuple(names.split(", ")))


@then('the reported suspicions are "{suspicions}"')
def then_suspicions(context: Any, suspicions: str) -> None:
    assert ", ".join(context.suspected) == suspicions, context.suspected


@then('within {within_ms:d} ms the proxies that asked were "{names}"')
def then_recent_proxies(context: Any, within_ms: int, names: str) -> None:
    seen = context.controller.relay.recent_proxies(within_us=within_ms * 1_000)
    assert (" ".join(sorted(entry.name for entry in seen)) or "none") == names, seen
