"""Steps for trials on the simulated platform, and for the faults that prove their checkers."""

import sys
from pathlib import Path
from typing import Any

from behave import then, when

# why: the adapter lies beside the product and is no part of its package
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))

from cinderstair.fairground.platformsim.platform_faults import switched_in  # noqa: E402
from cinderstair.fairground.platformsim.platform_trials import run_trial  # noqa: E402


def play(*, context: Any, trial: str, first: int, last: int, fault: str) -> None:
    context.trial, context.verdicts = trial, []
    for seed in range(first, last + 1):
        with switched_in(name=fault):
            context.verdicts.append((seed, run_trial(name=trial, seed=seed)))


def wrong(*, context: Any) -> list[str]:
    return [f"seed {seed}: {line}" for seed, verdict in context.verdicts for line in verdict.wrong]


@when("the platform trial {trial} is played with seeds {first:d} to {last:d}")
def when_trial(context: Any, trial: str, first: int, last: int) -> None:
    play(context=context, trial=trial, first=first, last=last, fault="")


@when("the platform trial {trial} is played with seed {seed:d} and the fault {fault}")
def when_fault(context: Any, trial: str, seed: int, fault: str) -> None:
    play(context=context, trial=trial, first=seed, last=seed, fault=fault)


@when("the platform trial {trial} is played with seed {seed:d} and no clients")
def when_nobody(context: Any, trial: str, seed: int) -> None:
    context.verdicts = [(seed, run_trial(name=trial, seed=seed, clients=0))]


@then("the rule {rule} had no chance, and the run has failed")
def then_no_chance(context: Any, rule: str) -> None:
    found = wrong(context=context)
    assert any(f"no chance to break {rule}" in line for line in found), found[:5]


@then("no rule of the platform was broken, and each had its chances")
def then_nothing(context: Any) -> None:
    assert not wrong(context=context), wrong(context=context)[:5]


@then("at least {share:d} in a hundred operations were served")
def then_served(context: Any, share: int) -> None:
    for seed, verdict in context.verdicts:
        assert verdict.served * 100 >= share * verdict.owed, (seed, verdict.served, verdict.owed, verdict.answers)


@then('the rule {rule} was seen broken: "{words}"')
def then_words(context: Any, rule: str, words: str) -> None:
    found = wrong(context=context)
    assert any(f" {rule}: " in line and words in line for line in found), found[:5]


@then("the same seed once more is the same run")
def then_same(context: Any) -> None:
    for seed, verdict in context.verdicts:
        again = run_trial(name=context.trial, seed=seed)
        assert (again.chances, again.served, again.owed) == (verdict.chances, verdict.served, verdict.owed), seed
