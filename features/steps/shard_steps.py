"""Steps for the validation of shard maps and the encoding of shard states."""

import json
import random
from types import SimpleNamespace
from typing import Any

from behave import given, then, when

from cinderstair.config.shard_check import shard_map_problems
from cinderstair.config.shard_map import ShardMap, check_shard_map
from cinderstair.failover.shard_state import ShardPhase, ShardState, read_shard_state


@when("the shard map {document} is checked")
def when_checked(context: Any, document: str) -> None:
    context.checked = check_shard_map(raw=document.encode())


@then("the shard map is {found}")
def then_found(context: Any, found: str) -> None:
    checked = context.checked
    if found.startswith("refused: "):
        assert checked.is_error() and checked.error.reason.startswith(found.removeprefix("refused: ")), checked
        return
    wanted = checked.ok
    placements = ", ".join(f"{database} at {service}" for database, service in sorted(wanted.placements.items()))
    assert f"version {wanted.version}, {wanted.agree_percent} %, {placements or 'nothing'}" == found, wanted


def placements_of(*, text: str) -> dict[str, str]:
    return dict(each.split(": ", 1) for each in text.split(", ")) if text else {}  # type: ignore[misc]


@given('databases "{databases}", services "{services}", and a map in force with "{current}"')
def given_configuration(context: Any, databases: str, services: str, current: str) -> None:
    context.plan = SimpleNamespace(
        version=7, routes=dict.fromkeys(databases.split(", ")), services=dict.fromkeys(services.split(", "))
    )
    context.current = ShardMap(version=1, placements=placements_of(text=current))


@given('databases "{databases}", services "{services}", and a map in force with ""')
def given_no_map(context: Any, databases: str, services: str) -> None:
    given_configuration(context=context, databases=databases, services=services, current="")


@when('a map with the places "{places}", one per line, is checked')
def when_map_checked(context: Any, places: str) -> None:
    document = json.dumps({"version": 2, "places": placements_of(text=places)}, indent=1)
    wanted = check_shard_map(raw=document.encode()).ok
    context.problems = shard_map_problems(text=document, wanted=wanted, current=context.current, plan=context.plan)


@then('the problems are "{problems}"')
def then_problems(context: Any, problems: str) -> None:
    assert (" / ".join(context.problems) or "none") == problems, context.problems


def random_shard_map(*, rng: random.Random) -> ShardMap:
    names = [f"database-{number}" for number in range(rng.randrange(6))]
    placements = {name: f"service-{rng.randrange(3)}" for name in names}
    return ShardMap(version=rng.randrange(2**63), placements=placements, agree_percent=rng.randrange(51, 101))


def random_states(*, count: int) -> list[ShardState]:
    rng = random.Random(7)
    return [
        ShardState(
            phase=rng.choice(list(ShardPhase)),
            current=random_shard_map(rng=rng),
            following=random_shard_map(rng=rng),
            ready_in_us=rng.randrange(2**40),
            proposal=rng.randrange(2**40),
            in_flight_us=rng.randrange(2**40),
            reason=rng.choice(("", "too few agree")),
        )
        for _ in range(count)
    ]


@then("{count:d} random shard states decode to what was encoded")
def then_states_decode(context: Any, count: int) -> None:
    context.states = random_states(count=count)
    for state in context.states:
        assert read_shard_state(data=state.bytes()) == state
    assert read_shard_state(data=b"") == ShardState()


@then("every truncation of their encodings is rejected")
def then_truncations_rejected(context: Any) -> None:
    for state in context.states:
        for length in range(1, len(state.bytes())):
            try:
                read_shard_state(data=state.bytes()[:length])
            except ValueError:
                continue
            raise AssertionError((state, length))
