"""Steps for the relay."""

from typing import Any

from behave import given, then, when
from clusterstage import new_hall, new_stage, put
from stage import announcement

from cinderstair.config.service_plan import PLAN_KEY
from cinderstair.control_plane.relay import Relay
from cinderstair.membership.announcement import GONE
from cinderstair.membership.beat import EMPTYING, READY
from cinderstair.membership.pooled_sample import ToldSample
from cinderstair.membership.relay_record import RelayAnswer, RelayQuestion, read_relay_answer
from cinderstair.runtime.desks import RELAY
from cinderstair.runtime.packer import Packer
from cinderstair.runtime.position import Position


def shorten(key: str, value: bytes) -> bytes:
    return value[:2] if key == PLAN_KEY else value


@given("a relay")
def given_relay(context: Any) -> None:
    new_stage(context=context)
    context.troubled = []
    context.guildhalls = ("10.0.0.1:1",)
    hall = context.hall = new_hall(context=context)

    def work() -> None:
        hall.relay = Relay(
            ctx=hall.ctx,
            desk=hall.desk,
            view=hall.view,
            news=hall.news,
            guildhalls=lambda: context.guildhalls,
            on_trouble=lambda name, booth: context.troubled.append(f"{name} by {booth}"),
            shorten=shorten,
        )

    context.stage.call(call=work)
    context.source = context.edition = 0
    context.numbers = {}
    context.stage.advance(for_us=500_000)


@given('the backends "{names}" beat')
@when('the backends "{names}" beat')
@when('the backends "{names}" beat again')
def when_backends_beat(context: Any, names: str) -> None:
    beat_all(context=context, names=names)


def beat_all(*, context: Any, names: str, **changes: Any) -> None:
    for name in names.split(", "):
        context.numbers[name] = context.numbers.get(name, 0) + 1
        word = announcement(name=name, number=context.numbers[name], **changes)
        context.stage.call(call=lambda word=word: context.hall.news.hear(beat=word))
    context.stage.advance(for_us=150_000)


@when('the backends "{names}" beat as {what}')
def when_beat_as(context: Any, names: str, what: str) -> None:
    changes = {"primary": {"leads": True}, "emptying": {"state": EMPTYING}, "gone": {"state": GONE}}[what]
    beat_all(context=context, names=names, **changes)


@given('the register holds "{key}" as "{value}"')
@when('the register holds "{key}" as "{value}"')
def when_holds(context: Any, key: str, value: str) -> None:
    put(context=context, key=key, value=value.encode())
    context.stage.advance(for_us=500_000)


@when("{wait_ms:d} ms pass at the relay")
def when_relay_passes(context: Any, wait_ms: int) -> None:
    context.stage.advance(for_us=wait_ms * 1_000)


@when('the guildhalls are "{addresses}"')
def when_guildhalls(context: Any, addresses: str) -> None:
    context.guildhalls = tuple(addresses.split(", "))
    context.stage.advance(for_us=150_000)


def ask_relay(*, context: Any, booth: str = "booth-1", troubled: tuple[str, ...] = ()) -> RelayAnswer:
    question = RelayQuestion(
        booth=booth, site="kingston", source=context.source, edition=context.edition, troubled=troubled
    )
    body = question.write(packer=Packer().u8(value=RELAY)).bytes()
    answer = read_relay_answer(data=context.stage.run(work=context.hall.desk.answer(body)))
    context.source, context.edition = answer.source, answer.edition
    return answer


@then('a booth that asks is told {what}: the values "{values}", the backends "{backends}", the guildhalls "{halls}"')
def then_relay_tells(context: Any, what: str, values: str, backends: str, halls: str) -> None:
    answer = ask_relay(context=context)
    found = (
        "all" if answer.whole else "changes",
        " ".join(sorted(f"{each.key}={each.value.decode()}" for each in answer.values)) or "none",
        " ".join(
            sorted(
                each.announcement.name
                + ("!" if each.announcement.leads else "")
                + ("" if each.announcement.state == READY else f"-{each.announcement.state}")
                + ("?" if each.quiet else "")
                for each in answer.backends
            )
        )
        or "none",
        " ".join(answer.guildhalls) or "none",
    )
    assert found == (what, values, backends, halls), found


@when("the booth asks with {what} of another relay")
def when_other_relay(context: Any, what: str) -> None:
    context.source, context.edition = {"the edition": (12345, 2), "a later edition": (context.source, 10**9)}[what]


@then("the answer is between {least_ms:d} and {most_ms:d} ms old")
def then_age(context: Any, least_ms: int, most_ms: int) -> None:
    age_us = ask_relay(context=context).age_us
    assert least_ms * 1_000 <= age_us <= most_ms * 1_000, age_us


@then('a booth that looks for the nearest is told the site "{site}", an age below {most_ms:d} ms, and nothing else')
def then_brief(context: Any, site: str, most_ms: int) -> None:
    question = RelayQuestion(booth="booth-9", site="kingston", brief=True)
    body = question.write(packer=Packer().u8(value=RELAY)).bytes()
    answer = read_relay_answer(data=context.stage.run(work=context.hall.desk.answer(body)))
    assert answer.site == site and 0 <= answer.age_us <= most_ms * 1_000, answer
    assert not (answer.values or answer.backends or answer.guildhalls or answer.samples or answer.ask), answer


@when("a booth tells of a sample as from {what} life")
def when_tells_sample(context: Any, what: str) -> None:
    ask_relay(context=context)
    sample = ToldSample(service="s", term=3, moment_us=context.hall.ctx.now_us() - 1_000, position=Position(3, 7))
    source = context.source + (what == "another")
    question = RelayQuestion(booth="booth-1", site="kingston", source=source, edition=1, samples=(sample,))
    body = question.write(packer=Packer().u8(value=RELAY)).bytes()
    context.stage.run(work=context.hall.desk.answer(body))


@then("the relay has been told of {count:d} samples")
def then_told_samples(context: Any, count: int) -> None:
    assert len(context.hall.relay.board.entries) == count, context.hall.relay.board.entries


@when("the relay's guildhall is cut off from the register")
def when_relay_cut(context: Any) -> None:
    context.hall.register.cut = True


@when('"{booth}" asks and finds "{names}" silent')
def when_finds_silent(context: Any, booth: str, names: str) -> None:
    ask_relay(context=context, booth=booth, troubled=tuple(names.split(", ")))


@then('it was told of trouble with "{words}"')
def then_trouble(context: Any, words: str) -> None:
    assert ", ".join(context.troubled) == words, context.troubled


@then('within {within_ms:d} ms it saw the booths "{names}"')
def then_saw(context: Any, within_ms: int, names: str) -> None:
    seen = context.hall.relay.seen(within_us=within_ms * 1_000)
    assert (" ".join(sorted(entry[0] for entry in seen)) or "none") == names, seen
