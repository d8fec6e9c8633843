"""Steps for the explorer's search and its models."""

import contextlib
import io
from typing import Any

from behave import given, then, when

from cinderstair.simulation.explorer.__main__ import main
from cinderstair.simulation.explorer.exploration import Exploration
from cinderstair.simulation.explorer.explored_world import ExploredWorld
from cinderstair.simulation.explorer.models import MODELS
from cinderstair.simulation.explorer.search import Search, replay
from cinderstair.simulation.explorer.world_state import Budget

COUNTER_NAMES = ("first", "second")
COUNTER_MAX = 3


class Counters:
    """A space of two counters, each of which can be incremented up to COUNTER_MAX."""

    def __init__(self, *, forbidden: tuple[int, int] | None = None) -> None:
        self.forbidden = forbidden

    def initial(self) -> tuple[int, int]:
        return 0, 0

    def enabled_actions(self, *, state: tuple[int, int]) -> list[int]:
        return [counter for counter in (0, 1) if state[counter] < COUNTER_MAX]

    def step(self, *, state: tuple[int, int], action: int) -> tuple[int, int]:
        return (state[0] + 1, state[1]) if action == 0 else (state[0], state[1] + 1)

    def digest(self, *, state: tuple[int, int]) -> bytes:
        return bytes(state)

    def violation(self, *, state: tuple[int, int]) -> str:
        return "forbidden" if state == self.forbidden else ""

    def describe(self, *, state: tuple[int, int], action: int) -> str:
        return f"increment {COUNTER_NAMES[action]}"


@given("an invariant that forbids the first counter at 1 with the second at 2")
def given_forbidden_state(context: Any) -> None:
    context.space = Counters(forbidden=(1, 2))


def search(*, context: Any, depth: int, turns: int | None = None) -> None:
    context.space = getattr(context, "space", None) or Counters()
    context.report = Search(space=context.space, depth=depth, turns=turns).run()


@when("the counters are searched to depth {depth:d}")
def when_searched(context: Any, depth: int) -> None:
    search(context=context, depth=depth)


@when("the counters are searched to depth {depth:d} with {turns:d} turns")
def when_searched_turns(context: Any, depth: int, turns: int) -> None:
    search(context=context, depth=depth, turns=turns)


@then("{states:d} states and {transitions:d} transitions were explored, and nothing was cut off")
def then_exhausted(context: Any, states: int, transitions: int) -> None:
    assert (context.report.states, context.report.transitions) == (states, transitions), context.report
    assert context.report.exhausted and context.report.ends == 1, context.report


@then(
    "{states:d} states and {transitions:d} transitions were explored, and the depth bound cut off {pruned:d} states"
)
def then_pruned(context: Any, states: int, transitions: int, pruned: int) -> None:
    report = context.report
    assert (report.states, report.transitions, report.pruned) == (states, transitions, pruned), report
    assert not report.exhausted


@then("{states:d} states and {transitions:d} transitions were explored, and {held_back:d} actions exceeded the turns")
def then_held_back(context: Any, states: int, transitions: int, held_back: int) -> None:
    report = context.report
    assert (report.states, report.transitions, report.held_back) == (states, transitions, held_back), report
    assert not report.exhausted


@then('the counterexample consists of "{actions}"')
def then_counterexample(context: Any, actions: str) -> None:
    assert context.report.wrong == "forbidden"
    assert sorted(context.report.reported) == sorted(actions.split(", ")), context.report


@then("replaying its schedule leads to the same violation")
def then_replayed(context: Any) -> None:
    assert replay(space=context.space, choices=context.report.choices) == (context.report.reported, "forbidden")


@when('the model "{model}" is explored twice to depth {depth:d}')
def when_twice(context: Any, model: str, depth: int) -> None:
    context.reports = [Exploration(model=model, breadth=True, depth=depth).run() for _ in range(2)]


@then("both search reports are equal")
def then_equal(context: Any) -> None:
    assert context.reports[0] == context.reports[1]


@when('the model "{name}" is explored within {turns:d} turns with and without merging')
def when_merging(context: Any, name: str, turns: int) -> None:
    context.observations, context.state_counts = [], []
    for merging in (True, False):
        model = MODELS[name]()
        world = ExploredWorld(model=model, budget=Budget(losses=1), merging=merging)
        observations = set()
        violation = model.violation

        def record_observation(
            *, local_states: Any, monitor: Any, observations: Any = observations, violation: Any = violation
        ) -> str:
            observations.add((monitor, tuple(local.observation for local in local_states)))
            return violation(local_states=local_states, monitor=monitor)

        model.violation = record_observation  # type: ignore[method-assign]
        report = Search(space=world, depth=200, turns=turns).run()
        world.close()
        assert not report.wrong, report
        context.observations.append(observations)
        context.state_counts.append(report.states)


@then("both explorations reach the same observations, and merging needs fewer states")
def then_merging_equivalent(context: Any) -> None:
    merged, unmerged = context.observations
    assert merged == unmerged, (len(merged), len(unmerged))
    assert context.state_counts[0] < context.state_counts[1], context.state_counts


@when('the explorer command line runs with "{arguments}"')
def when_command_line(context: Any, arguments: str) -> None:
    context.stderr = io.StringIO()
    context.exit_code = 0
    with contextlib.redirect_stderr(context.stderr):
        try:
            context.exit_code = main(arguments.split())
        except SystemExit as exit_error:
            context.exit_code = exit_error.code


@then('the explorer exits with {code:d} and reports "{words}"')
def then_rejected(context: Any, code: int, words: str) -> None:
    assert context.exit_code == code and words in context.stderr.getvalue(), context.stderr.getvalue()


@when('the model "{model}" is explored within {turns:d} turns')
def when_explored(context: Any, model: str, turns: int) -> None:
    context.report = Exploration(model=model, turns=turns).run()


@when('the model "{model}" is explored to depth {depth:d}')
def when_explored_depth(context: Any, model: str, depth: int) -> None:
    context.report = Exploration(model=model, breadth=True, depth=depth).run()


@when('the model "{model}" is explored within {turns:d} turns with the seeded bug {fault} and the budget "{budget}"')
def when_explored_with_bug(context: Any, model: str, turns: int, fault: str, budget: str) -> None:
    given_budget: dict[str, int] = {}
    if budget != "default":
        given_budget = dict.fromkeys(Budget._fields, 0)
    if budget not in ("default", "empty"):
        number, name = budget.split()
        given_budget[name] = int(number)
    context.report = Exploration(model=model, turns=turns, fault=fault, budget=given_budget).run()


@then("no state violates an invariant, and all states within the bounds, at least {states:d}, were explored")
def then_no_violation(context: Any, states: int) -> None:
    report = context.report
    assert not report.wrong, (report.wrong, report.reported)
    assert report.states >= states and not report.left, report


@then('a violation with "{words}" is reported with its counterexample')
def then_violation(context: Any, words: str) -> None:
    assert words in context.report.wrong, context.report
    assert context.report.reported
