"""Steps for trials on the simulated platform, and for the faults that prove their checkers."""

import sys
from pathlib import Path
from typing import Any

from behave import then, when

# why: the adapter lies beside the product and is no part of its package
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))

from cinderstair.fairground.platformsim.platform_faults import switched_in  # noqa: E402
from cinderstair.fairground.platformsim.platform_trials import run_trial  # noqa: E402
from cinderstair.fairground.platformsim.platform_world import PlatformWorld  # noqa: E402
from cinderstair.fairground.platformsim.repository import see_adapter  # noqa: E402
from cinderstair.fairground.platformsim.shard_trials import moved, propose  # noqa: E402
from cinderstair.guildhall.status_text import status_text  # noqa: E402


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


@when("a simulated platform serves, and the map of version {version:d} is put to its booths")
def when_serves(context: Any, version: int) -> None:
    see_adapter()
    context.world = PlatformWorld(seed=1)
    context.worlds.append(context.world)
    context.world.begin()
    assert not propose(world=context.world, version=version)
    moved(world=context.world, version=version)


@then("a guildhall tells of the vaults, services, backends, booths, duties and the map of version {version:d}")
def then_tells(context: Any, version: int) -> None:
    world = context.world
    texts = [status_text(guildhall=world.roles[name].guildhall) for name in world.guildhalls]
    for text in texts:
        assert f"map {version}: ledger0-primary at ledger1" in text and "NOT CURRENT" not in text, text
        for name in [*world.guildhalls, *world.backends, *world.services]:
            assert f" {name}" in f"\n{text}".replace("\n", "\n "), (name, text)
    together = "\n".join(texts)
    assert all(f"booth {name}: asked" in together for name in world.booths), together
    assert "holds the duty of promotions" in together and "holds the duty of slots" in together, together
