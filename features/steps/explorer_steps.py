"""Steps for the explorer and its models."""

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

NAMES = ("first", "second")
MOST = 3


class Counters:
    """Two numbers, each of which may go up."""

    def __init__(self, *, forbidden: tuple[int, int] | None = None) -> None:
        self.forbidden = forbidden

    def initial(self) -> tuple[int, int]:
        return 0, 0

    def choices(self, *, state: tuple[int, int]) -> list[int]:
        return [at for at in (0, 1) if state[at] < MOST]

    def step(self, *, state: tuple[int, int], action: int) -> tuple[int, int]:
        return (state[0] + 1, state[1]) if action == 0 else (state[0], state[1] + 1)

    def digest(self, *, state: tuple[int, int]) -> bytes:
        return bytes(state)

    def wrong(self, *, state: tuple[int, int]) -> str:
        return "forbidden" if state == self.forbidden else ""

    def reported(self, *, state: tuple[int, int], action: int) -> str:
        return f"{NAMES[action]} goes up"


@given("a counter that must not reach 2 while the other is at 1")
def given_forbidden(context: Any) -> None:
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


@then("{states:d} states were seen with {transitions:d} transitions, and nothing was cut off")
def then_all(context: Any, states: int, transitions: int) -> None:
    assert (context.report.states, context.report.transitions) == (states, transitions), context.report
    assert context.report.exhausted and context.report.ends == 1, context.report


@then("{states:d} states were seen with {transitions:d} transitions, and {pruned:d} were cut off by the depth")
def then_pruned(context: Any, states: int, transitions: int, pruned: int) -> None:
    report = context.report
    assert (report.states, report.transitions, report.pruned) == (states, transitions, pruned), report
    assert not report.exhausted


@then("{states:d} states were seen with {transitions:d} transitions, and {held:d} choices were held back")
def then_held(context: Any, states: int, transitions: int, held: int) -> None:
    report = context.report
    assert (report.states, report.transitions, report.held_back) == (states, transitions, held), report
    assert not report.exhausted


@then('the wrong state was found after "{reported}"')
def then_found(context: Any, reported: str) -> None:
    assert context.report.wrong == "forbidden"
    assert sorted(context.report.reported) == sorted(reported.split(", ")), context.report


@then("the same choices lead to it again")
def then_again(context: Any) -> None:
    assert replay(space=context.space, choices=context.report.choices) == (context.report.reported, "forbidden")


@when('the model "{model}" is explored twice to depth {depth:d}')
def when_twice(context: Any, model: str, depth: int) -> None:
    context.reports = [Exploration(model=model, breadth=True, depth=depth).run() for _ in range(2)]


@then("both reports are the same")
def then_same(context: Any) -> None:
    assert context.reports[0] == context.reports[1]


@when('the model "{name}" is explored within {turns:d} turns with and without merging')
def when_merging(context: Any, name: str, turns: int) -> None:
    context.known, context.counts = [], []
    for merging in (True, False):
        model = MODELS[name]()
        world = ExploredWorld(model=model, budget=Budget(losses=1), merging=merging)
        known = set()
        wrong = model.wrong

        def noted(*, local_states: Any, monitor: Any, known: Any = known, wrong: Any = wrong) -> str:
            known.add((monitor, tuple(local.observation for local in local_states)))
            return wrong(local_states=local_states, monitor=monitor)

        model.wrong = noted  # type: ignore[method-assign]
        report = Search(space=world, depth=200, turns=turns).run()
        world.close()
        assert not report.wrong, report
        context.known.append(known)
        context.counts.append(report.states)


@then("what clients and disks were seen to know is the same, with fewer states")
def then_merged(context: Any) -> None:
    merged, unmerged = context.known
    assert merged == unmerged, (len(merged), len(unmerged))
    assert context.counts[0] < context.counts[1], context.counts


@when('the explorer is called with "{arguments}"')
def when_called(context: Any, arguments: str) -> None:
    context.said = io.StringIO()
    context.code = 0
    with contextlib.redirect_stderr(context.said):
        try:
            context.code = main(arguments.split())
        except SystemExit as ended:
            context.code = ended.code


@then('it ends with {code:d} and names "{words}"')
def then_named(context: Any, code: int, words: str) -> None:
    assert context.code == code and words in context.said.getvalue(), context.said.getvalue()


@when('the model "{model}" is explored within {turns:d} turns')
def when_explored(context: Any, model: str, turns: int) -> None:
    context.report = Exploration(model=model, turns=turns).run()


@when('the model "{model}" is explored to depth {depth:d}')
def when_explored_depth(context: Any, model: str, depth: int) -> None:
    context.report = Exploration(model=model, breadth=True, depth=depth).run()


@when('the model "{model}" is explored within {turns:d} turns with the fault {fault} and {budget}')
def when_fault(context: Any, model: str, turns: int, fault: str, budget: str) -> None:
    given_budget: dict[str, int] = {}
    if budget != "its own budget":
        given_budget = dict.fromkeys(Budget._fields, 0)
    if budget not in ("its own budget", "nothing"):
        number, name = budget.split()
        given_budget[name] = int(number)
    context.report = Exploration(model=model, turns=turns, fault=fault, budget=given_budget).run()


@then("no state is wrong, and all of at least {states:d} within the bounds were seen")
def then_none(context: Any, states: int) -> None:
    report = context.report
    assert not report.wrong, (report.wrong, report.reported)
    assert report.states >= states and not report.left, report


@then('a state is wrong: "{words}"')
def then_wrong(context: Any, words: str) -> None:
    assert words in context.report.wrong, context.report
    assert context.report.reported
