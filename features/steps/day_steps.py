"""Steps for whole days."""

from typing import Any

from behave import given, then, when

from cinderstair.simulation.days import minimize_faults, plan, run_day
from cinderstair.simulation.injected_fault import InjectedFault


@when("a short day in {workload} is run with seed {seed:d}")
def when_day(context: Any, workload: str, seed: int) -> None:
    context.verdict = run_day(
        workload=workload, seed=seed, injected_faults=plan(workload=workload, seed=seed, whole=False)
    )
    context.wrong = context.verdict.wrong


@then("at least {fallen:d} failures fell, and at least {done:d} jobs were done")
def then_fell(context: Any, fallen: int, done: int) -> None:
    fell = sum(count for name, count in context.verdict.chances.items() if name.startswith("injected "))
    assert fell >= fallen and context.verdict.done >= done, (fell, context.verdict.done)


@given("a day of {count:d} failures that fails whenever the 7th, the 8th and the 31st fall")
def given_failing(context: Any, count: int) -> None:
    context.injected_faults = [
        InjectedFault(number=n, kind="load_spike", at_us=n * 1_000_000, length_us=500_000) for n in range(count)
    ]
    context.runs = 0

    def fails(injected_faults: list[InjectedFault]) -> bool:
        context.runs += 1
        return {7, 8, 31} <= {injected_fault.number for injected_fault in injected_faults}

    context.fails = fails


@when("it is shrunk")
def when_shrunk(context: Any) -> None:
    context.left = minimize_faults(injected_faults=context.injected_faults, fails=context.fails)


@then("just these three are left, after fewer than {most:d} runs")
def then_left(context: Any, most: int) -> None:
    assert [injected_fault.number for injected_fault in context.left] == [7, 8, 31], context.left
    assert context.runs < most, context.runs
