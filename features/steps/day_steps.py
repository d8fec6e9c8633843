"""Steps for days of overlapping faults."""

from typing import Any

from behave import given, then, when

from cinderstair.simulation.days import minimize_faults, plan, run_day
from cinderstair.simulation.injected_fault import InjectedFault


@when("a short day with the workload {workload} is run with seed {seed:d}")
def when_day(context: Any, workload: str, seed: int) -> None:
    context.verdict = run_day(
        workload=workload, seed=seed, injected_faults=plan(workload=workload, seed=seed, whole=False)
    )
    context.wrong = context.verdict.wrong


@then("at least {injected:d} faults were injected, and at least {done:d} operations were completed")
def then_injected(context: Any, injected: int, done: int) -> None:
    count = sum(number for name, number in context.verdict.chances.items() if name.startswith("injected "))
    assert count >= injected and context.verdict.done >= done, (count, context.verdict.done)


@given("a day of {count:d} faults that fails whenever the faults 7, 8 and 31 are injected")
def given_failing(context: Any, count: int) -> None:
    context.injected_faults = [
        InjectedFault(number=n, kind="load_spike", at_us=n * 1_000_000, length_us=500_000) for n in range(count)
    ]
    context.runs = 0

    def fails(injected_faults: list[InjectedFault]) -> bool:
        context.runs += 1
        return {7, 8, 31} <= {injected_fault.number for injected_fault in injected_faults}

    context.fails = fails


@when("the day is shrunk")
def when_shrunk(context: Any) -> None:
    context.left = minimize_faults(injected_faults=context.injected_faults, fails=context.fails)


@then("exactly these three faults are left, after fewer than {limit:d} runs")
def then_left(context: Any, limit: int) -> None:
    assert [injected_fault.number for injected_fault in context.left] == [7, 8, 31], context.left
    assert context.runs < limit, context.runs
