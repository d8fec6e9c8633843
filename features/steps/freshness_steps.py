"""Steps for the log position that reads of limited age require."""

import random
from typing import Any

from behave import given, then, when
from stage import (
    position,
    position_text,
)

from cinderstair.pooler.freshness import Freshness
from cinderstair.runtime.position import Position


@given('samples "{text}"')
def given_samples(context: Any, text: str) -> None:
    context.freshness = Freshness()
    note_all(context=context, text=text)


def note_all(*, context: Any, text: str) -> None:
    for each in text.split():
        requested_ms, _, at = each.partition(":")
        found = position(text=at)
        assert found is not None
        context.freshness.note(requested_us=int(requested_ms) * 1_000, position=found)


@when('late samples "{text}" arrive')
def when_late(context: Any, text: str) -> None:
    note_all(context=context, text=text)


@when("a fence at {at} is set as of {as_of_ms:d} ms")
def when_fence(context: Any, at: str, as_of_ms: int) -> None:
    found = position(text=at)
    assert found is not None
    context.freshness.fence(as_of_us=as_of_ms * 1_000, position=found)


@when("the position required since {since_ms:d} ms has been computed")
def when_computed(context: Any, since_ms: int) -> None:
    context.freshness.position_since(since_us=since_ms * 1_000)


@then("a read that must see all commits before {since_ms:d} ms requires {at}")
def then_requires(context: Any, since_ms: int, at: str) -> None:
    found = context.freshness.position_since(since_us=since_ms * 1_000)
    assert position_text(at=found) == at, found


@then("over {runs:d} seeded runs every required position covers all commits acknowledged before")
def then_covers_commits(context: Any, runs: int) -> None:
    for seed in range(runs):
        rng, freshness = random.Random(seed), Freshness()
        acknowledged: list[tuple[int, Position]] = []
        in_flight: list[tuple[int, int, Position]] = []
        at, answered = Position(1, 0), 0
        for now_ms in range(0, 2_000, 7):
            if rng.random() < 0.5:
                at = Position(at.term, at.number + 1)
                acknowledged.append((now_ms, at))
            if rng.random() < 0.6:
                # An answer's position may be that of any time between the request and the answer.
                in_flight.append((now_ms + rng.randrange(1, 60), now_ms, at))
            for entry in [entry for entry in in_flight if entry[0] <= now_ms]:
                in_flight.remove(entry)
                freshness.note(requested_us=entry[1] * 1_000, position=entry[2])
            since_ms = now_ms - rng.randrange(0, 400)
            found = freshness.position_since(since_us=since_ms * 1_000)
            if found is not None:
                answered += 1
                assert all(found >= commit for when, commit in acknowledged if when < since_ms), (seed, now_ms)
        assert answered > 100, (seed, answered)


@then("a minute of samples {every_ms:d} ms apart leaves at most {most:d}, dense enough for reads {age_ms:d} ms old")
def then_bounded(context: Any, every_ms: int, most: int, age_ms: int) -> None:
    freshness = Freshness()
    for now_ms in range(0, 60_000, every_ms):
        freshness.note(requested_us=now_ms * 1_000, position=Position(1, now_ms))
    assert len(freshness.samples) <= most, len(freshness.samples)
    since_us = freshness.newest_us - age_ms * 1_000
    found = freshness.position_since(since_us=since_us)
    assert found is not None and found.number * 1_000 - since_us <= 2 * max(20, every_ms) * 1_000, found
