"""Steps for trials and for the seeded bugs that their checkers must detect."""

from typing import Any

from behave import then, when

from cinderstair.simulation.seeded_bugs import apply_seeded_bug
from cinderstair.simulation.trials import run_trial


def run_all(*, context: Any, trial: str, first: int, last: int, bug: str) -> None:
    context.wrong, context.done = [], 0
    for seed in range(first, last + 1):
        with apply_seeded_bug(name=bug):
            verdict = run_trial(name=trial, seed=seed)
        context.wrong += [f"seed {seed}: {line}" for line in verdict.wrong]
        context.done += verdict.done


@when("the trial {trial} is run with seeds {first:d} to {last:d}")
def when_trial(context: Any, trial: str, first: int, last: int) -> None:
    run_all(context=context, trial=trial, first=first, last=last, bug="")


@when("the trial {trial} is run with seeds {first:d} to {last:d} and the seeded bug {bug}")
def when_seeded_bug(context: Any, trial: str, first: int, last: int, bug: str) -> None:
    run_all(context=context, trial=trial, first=first, last=last, bug=bug)


@then("the checkers find no violation")
def then_nothing(context: Any) -> None:
    assert not context.wrong, context.wrong[:5]


@then('the checkers report "{text}"')
def then_reported(context: Any, text: str) -> None:
    assert any(text in line for line in context.wrong), context.wrong[:5]


@then("at least {count:d} operations were completed")
def then_done(context: Any, count: int) -> None:
    assert context.done >= count, context.done
