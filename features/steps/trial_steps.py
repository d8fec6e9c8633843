"""Steps for trials and for the faults that prove their checkers."""

from typing import Any

from behave import then, when

from cinderstair.simulation.seeded_bugs import switched_in
from cinderstair.simulation.trials import run_trial


def run_all(*, context: Any, trial: str, first: int, last: int, fault: str) -> None:
    context.wrong, context.done = [], 0
    for seed in range(first, last + 1):
        with switched_in(name=fault):
            verdict = run_trial(name=trial, seed=seed)
        context.wrong += [f"seed {seed}: {line}" for line in verdict.wrong]
        context.done += verdict.done


@when("the trial {trial} is run with seeds {first:d} to {last:d}")
def when_trial(context: Any, trial: str, first: int, last: int) -> None:
    run_all(context=context, trial=trial, first=first, last=last, fault="")


@when("the trial {trial} is run with seeds {first:d} to {last:d} and the fault {fault}")
def when_fault(context: Any, trial: str, first: int, last: int, fault: str) -> None:
    run_all(context=context, trial=trial, first=first, last=last, fault=fault)


@then("the checkers find nothing")
def then_nothing(context: Any) -> None:
    assert not context.wrong, context.wrong[:5]


@then('the checkers find "{words}"')
def then_words(context: Any, words: str) -> None:
    assert any(words in line for line in context.wrong), context.wrong[:5]


@then("at least {count:d} jobs were done")
def then_done(context: Any, count: int) -> None:
    assert context.done >= count, context.done
