"""Steps for the capacity tool: samples, fits, and projections to a target size."""

import json
import math
import random
import time
from typing import Any

from behave import given, then, when
from common import run

from cinderstair.pooler.proxy import Proxy
from cinderstair.pooler.statement import Statement, Verb
from cinderstair.runtime.no_disk import NoDisk
from cinderstair.simulation.capacity.child import metered_context
from cinderstair.simulation.capacity.fit import fit_significant_terms, least_squares
from cinderstair.simulation.capacity.percentiles import percentiles_of
from cinderstair.simulation.capacity.projection import Projection
from cinderstair.simulation.capacity.reading import Reading, read_reading
from cinderstair.simulation.capacity.results import Results
from cinderstair.simulation.capacity.run import Run
from cinderstair.simulation.capacity.sample import aggregate, read_sample
from cinderstair.simulation.capacity.step import Step, read_step
from cinderstair.simulation.capacity.stub_link import StubLink, stub_dialer
from cinderstair.simulation.capacity.synthetic_state import full_answer
from cinderstair.simulation.capacity.target_size import TargetSize

SECOND = 1_000_000


def numbers(*, text: str) -> list[int]:
    return [int(part) for part in text.replace(" and ", ", ").split(", ")]


def reading(*, at_s: float, **values: int) -> Reading:
    return Reading(**{"at_us": int(at_s * SECOND), "cpu_us": 0, "rss_bytes": 30_000_000, **values})


# -- the fit --


@given("steps of {proxies} proxies with {databases} databases each")
def given_steps(context: Any, proxies: str, databases: str) -> None:
    context.steps = [
        Step(controllers=5, proxies=n, databases=d) for n in numbers(text=proxies) for d in numbers(text=databases)
    ]


@given("a cost of {base:g} and {more:g} more per database")
def given_by_database(context: Any, base: float, more: float) -> None:
    context.values = [base + more * step.databases for step in context.steps]


@given("a cost of {base:g} and {more:g} more per proxy")
def given_by_proxy(context: Any, base: float, more: float) -> None:
    context.values = [base + more * step.proxies for step in context.steps]


@given("a cost of {base:g} and {more:g} more per proxy and database")
def given_by_both(context: Any, base: float, more: float) -> None:
    context.values = [base + more * step.proxies * step.databases for step in context.steps]


@given("noise of {percent:d} percent from seed {seed:d}")
def given_noise(context: Any, percent: int, seed: int) -> None:
    rng = random.Random(seed)
    context.values = [value * (1 + rng.gauss(0, percent / 100)) for value in context.values]


@given("the cost at the largest step is 50 percent higher")
def given_outlier(context: Any) -> None:
    context.values[-1] *= 1.5


@when("the significant terms of {terms} are fitted")
def when_significant_fitted(context: Any, terms: str) -> None:
    context.fit = fit_significant_terms(steps=context.steps, values=context.values, terms=terms.split(", "))


@when("all terms of {terms} are fitted")
def when_fitted(context: Any, terms: str) -> None:
    context.fit = least_squares(steps=context.steps, values=context.values, terms=terms.split(", "))


@then("the only coefficients are {one} = {first:g} and {other} = {second:g}")
def then_only_coefficients(context: Any, one: str, first: float, other: str, second: float) -> None:
    found = context.fit.coefficients
    assert set(found) == {one, other}, found
    assert math.isclose(found[one], first, rel_tol=1e-6) and math.isclose(found[other], second, rel_tol=1e-6), found


@then("the coefficient of {one} is between {least:g} and {most:g}")
def then_coefficient_between(context: Any, one: str, least: float, most: float) -> None:
    assert least < context.fit.coefficients[one] < most, context.fit.coefficients


@then("the only term left is {one}")
def then_only_term(context: Any, one: str) -> None:
    assert set(context.fit.coefficients) == {one}, context.fit.coefficients


@then("every standard error is below {most:g}")
def then_errors(context: Any, most: float) -> None:
    assert all(error < most for error in context.fit.errors.values()), context.fit.errors


@then("the standard errors are unknown")
def then_no_errors(context: Any) -> None:
    assert all(math.isnan(error) for error in context.fit.errors.values()), context.fit.errors


@then("the only coefficients are {one} and {other}, within {count:d} standard errors of {first:g} and {second:g}")
def then_coefficients_within(context: Any, one: str, other: str, count: int, first: float, second: float) -> None:
    fit = context.fit
    assert set(fit.coefficients) == {one, other}, fit.coefficients
    for name, truth in ((one, first), (other, second)):
        gap = abs(fit.coefficients[name] - truth)
        assert 0 < gap <= count * fit.errors[name], (name, fit.coefficients, fit.errors)


@then(
    "the prediction for {proxies:d} proxies and {databases:d} databases"
    " is within {count:d} standard errors of {truth:g}"
)
def then_prediction_within(context: Any, proxies: int, databases: int, count: int, truth: float) -> None:
    step = Step(controllers=5, proxies=proxies, databases=databases)
    gap, standard_error = abs(context.fit.predict(step=step) - truth), context.fit.standard_error(step=step)
    assert gap <= count * standard_error < truth, (gap, standard_error)


@then("a fit of {terms} is refused")
def then_refused(context: Any, terms: str) -> None:
    try:
        least_squares(steps=context.steps, values=context.values, terms=terms.split(", "))
    except ValueError:
        return
    raise AssertionError("collinear terms were fitted")


# -- samples --


def sample_around_phase(*, context: Any, phase: str, events: int, seconds: float, count: int, cpu_ms: int) -> Any:
    before = [reading(at_s=100), reading(at_s=200)]
    after = [
        reading(at_s=at + seconds, bytes_in=count, cpu_us=cpu_ms * 1_000, rss_bytes=31_000_000) for at in (100, 200)
    ]
    return aggregate(
        step=context.step, phase=phase, role="booth", instances=10, events=events, before=before, after=after
    )


@given(
    "two processes of 5 proxies, each with {count:d} bytes and {cpu_ms:d} ms of CPU time in {seconds:d} s of idling"
)
def given_idle(context: Any, seconds: int, count: int, cpu_ms: int) -> None:
    context.step = Step(controllers=5, proxies=10, databases=3)
    context.idle = sample_around_phase(
        context=context, phase="idle", events=0, seconds=seconds, count=count, cpu_ms=cpu_ms
    )


@given(
    "a phase of {seconds:d} s with {events:d} events, in which each uses {count:d} bytes"
    " and {cpu_ms:d} ms of CPU time"
)
def given_phase(context: Any, seconds: int, events: int, count: int, cpu_ms: int) -> None:
    context.sample = sample_around_phase(
        context=context, phase="primary", events=events, seconds=seconds, count=count, cpu_ms=cpu_ms
    )


@then("an idle proxy uses {count:d} bytes and {cpu_us:d} microseconds per second")
def then_idle(context: Any, count: int, cpu_us: int) -> None:
    found = context.idle.rate(name="bytes_in"), context.idle.rate(name="cpu_us")
    assert found == (count, cpu_us), found
    assert context.idle.delta.rss_bytes == 62_000_000, context.idle.delta


@then("an event costs each proxy {count:d} bytes and {cpu_us:d} microseconds")
def then_event(context: Any, count: int, cpu_us: int) -> None:
    sample, idle = context.sample, context.idle
    found = sample.per_event(name="bytes_in", idle=idle), sample.per_event(name="cpu_us", idle=idle)
    assert found == (count, cpu_us), found


@then("the sample written as JSON is read back unchanged")
def then_read_back(context: Any) -> None:
    assert read_sample(value=json.loads(json.dumps(context.sample.value()))) == context.sample


@then("subtracting a later reading from an earlier one is refused")
def then_out_of_order_refused(context: Any) -> None:
    try:
        reading(at_s=1).since(before=reading(at_s=2))
    except ValueError:
        return
    raise AssertionError("a later reading was subtracted from an earlier one")


@then("a reading without a byte counter is refused")
def then_incomplete_refused(context: Any) -> None:
    value = reading(at_s=1).value()
    del value["bytes_in"]
    try:
        read_reading(value=value)
    except ValueError:
        return
    raise AssertionError("an incomplete reading was accepted")


@then("a phase without a second reading of each process is refused")
def then_phase_incomplete_refused(context: Any) -> None:
    step = Step(controllers=5, proxies=10, databases=3)
    before, after = [reading(at_s=1), reading(at_s=1)], [reading(at_s=2)]
    for early, late in ((before, after), ([], [])):
        try:
            aggregate(step=step, phase="idle", role="booth", instances=10, events=0, before=early, after=late)
        except ValueError as error:
            assert "before and after" in str(error), error
            continue
        raise AssertionError("a sample without all readings was accepted")


# -- synthetic runs --


def synthetic_sample_line(
    *, step: Step, phase: str, events: int, bytes_each: int, busy: float = 0.1
) -> dict[str, Any]:
    seconds = 10
    before, after = (
        reading(at_s=0),
        reading(
            at_s=seconds,
            bytes_in=bytes_each * step.proxies,
            records_in=40 * step.proxies,
            cpu_us=int(busy * seconds * SECOND),
        ),
    )
    return aggregate(
        step=step, phase=phase, role="booth", instances=step.proxies, events=events, before=[before], after=[after]
    ).value()


@given("a run of synthetic samples in which an idle proxy uses {count:d} bytes per second")
def given_synthetic_run(context: Any, count: int) -> None:
    context.steps = [Step(controllers=5, proxies=n, databases=d) for n, d in ((10, 3), (10, 30), (30, 10), (100, 30))]
    context.lines = [
        synthetic_sample_line(step=step, phase="idle", events=0, bytes_each=10 * count) for step in context.steps
    ]


@given("another step whose idle proxies use {percent:d} percent of a core and {count:d} bytes per second")
def given_saturated_step(context: Any, percent: int, count: int) -> None:
    step = Step(controllers=5, proxies=300, databases=100)
    context.lines.append(
        synthetic_sample_line(step=step, phase="idle", events=0, bytes_each=10 * count, busy=percent / 100)
    )


@given(
    "another step whose idle proxies use {count:d} bytes per second, with {quiet:d} silent backends"
    " and {late:d} of 100 heartbeats late"
)
def given_overloaded_step(context: Any, count: int, quiet: int, late: int) -> None:
    step = Step(controllers=5, proxies=10, databases=1000)
    context.lines += [
        {"kind": "load"},
        synthetic_sample_line(step=step, phase="idle", events=0, bytes_each=10 * count),
        {"kind": "time", **step.value(), "what": "whole", "quiet": quiet, "beats": {"sent": 100, "late": late}},
    ]


@given("a configuration costs each proxy {count:d} bytes per database")
def given_configuration(context: Any, count: int) -> None:
    lines = []
    for step, idle in zip(context.steps, context.lines, strict=True):
        # Two events in ten seconds, in addition to the idle 400 bytes per second.
        bytes_each = 4_000 + 2 * count * step.databases
        lines += [idle, synthetic_sample_line(step=step, phase="configuration", events=2, bytes_each=bytes_each)]
    context.lines = lines


@given("a configuration costs each proxy of that step {count:d} bytes")
def given_there(context: Any, count: int) -> None:
    step = Step(controllers=5, proxies=300, databases=100)
    context.lines.append(
        synthetic_sample_line(step=step, phase="configuration", events=2, bytes_each=100 + 2 * count)
    )


@then("the bytes per configuration are fitted as {count:d} per database from {points:d} points")
def then_configuration(context: Any, count: int, points: int) -> None:
    fit = Results(lines=context.lines).slopes["proxy bytes a configuration"]
    assert fit.points == points and math.isclose(fit.coefficients["D"], count), fit


@then("the idle bytes of a proxy are fitted as a constant {count:d} from {points:d} points")
def then_fitted(context: Any, count: int, points: int) -> None:
    fit = Results(lines=context.lines).slopes["proxy idle bytes"]
    assert fit.points == points and math.isclose(fit.coefficients["1"], count) and len(fit.coefficients) == 1, fit


@when("the costs at the target size are projected")
def when_projected(context: Any) -> None:
    projection = Projection(results=Results(lines=context.lines), size=TargetSize())
    context.rows = {(row.role, row.what): row for row in projection.rows}


@then("an idle proxy uses {count:d} bytes per second, within the limit")
def then_within_limit(context: Any, count: int) -> None:
    row = context.rows["booth", "bytes, idle"]
    assert math.isclose(row.projected, count) and row.factor < 1 and row.verdict.startswith("held"), row


@then("configurations cost a proxy {count:d} bytes per second, {factor:g} times the limit")
def then_over_limit(context: Any, count: int, factor: float) -> None:
    row = context.rows["booth", "bytes for configurations"]
    assert math.isclose(row.projected, count, rel_tol=1e-3), row
    assert row.verdict == f"broken x{factor}", row.verdict


@then("there are no rows for slopes that the run lacks")
def then_no_missing_rows(context: Any) -> None:
    assert not any(math.isnan(row.projected) for row in context.rows.values()), context.rows
    assert ("guildhall", "processor, idle") not in context.rows
    assert ("booth", "bytes, all") not in context.rows


# -- percentiles, steps, limits --


@then("the times 1 to 100 have a median of {median:d}, a p99 of {p99:d} and a maximum of {maximum:d}")
def then_percentiles(context: Any, median: int, p99: int, maximum: int) -> None:
    times = [float(each) for each in range(1, 101)]
    random.Random(1).shuffle(times)
    found = percentiles_of(times=times)
    assert (found.median, found.p99, found.maximum, found.count, found.missing) == (median, p99, maximum, 100, 0), (
        found
    )


@then("{count:d} observers without a time are counted as missing")
def then_missing(context: Any, count: int) -> None:
    found = percentiles_of(times=[1.0, 2.0], missing=count)
    assert found.missing == count and found.count == 2 and found.maximum == 2.0, found


@then("without any times the percentiles are undefined")
def then_undefined(context: Any) -> None:
    found = percentiles_of(times=[], missing=2)
    assert found.count == 0 and math.isnan(found.median) and math.isnan(found.maximum), found


@then("the step text {text} gives {result}")
def then_step(context: Any, text: str, result: str) -> None:
    try:
        found = str(read_step(text=text))
    except ValueError:
        found = "refused"
    assert found == result, found


@given("a run with a budget of {cores:d} cores and {seconds:d} s left")
def given_run_limits(context: Any, cores: int, seconds: int) -> None:
    context.limited_run = Run(
        steps=(),
        seconds=seconds,
        cores=cores,
        max_bytes=1 << 40,
        seed=1,
        log_progress=lambda text: None,
        record=lambda value: None,
    )


@when("an idle proxy used {cores:g} cores in a step of {proxies:d} proxies and {databases:d} databases")
def when_proxy_measured(context: Any, proxies: int, databases: int, cores: float) -> None:
    step = Step(controllers=5, proxies=proxies, databases=databases)
    context.limited_run.proxy_cores.append((step, cores))


@then("a step of {proxies:d} proxies and {databases:d} databases is allowed")
def then_allowed(context: Any, proxies: int, databases: int) -> None:
    why = context.limited_run.skip_reason(step=Step(controllers=5, proxies=proxies, databases=databases))
    assert not why, why


@then('a step of {proxies:d} proxies and {databases:d} databases is skipped: "{reason}"')
def then_skipped(context: Any, proxies: int, databases: int, reason: str) -> None:
    why = context.limited_run.skip_reason(step=Step(controllers=5, proxies=proxies, databases=databases))
    assert why == reason, why


@then('with {seconds:d} s left a step of {proxies:d} proxies and {databases:d} databases is skipped: "{reason}"')
def then_skipped_for_time(context: Any, seconds: int, proxies: int, databases: int, reason: str) -> None:
    context.limited_run.deadline = time.monotonic() + seconds
    why = context.limited_run.skip_reason(step=Step(controllers=5, proxies=proxies, databases=databases))
    assert why == reason, why


# -- stub links --


@given("a proxy with stub links to {databases:d} databases")
def given_proxy(context: Any, databases: int) -> None:
    async def made() -> Proxy:
        ctx = metered_context(name="booth-0000", site="e1", disk=NoDisk(), seed=1)
        proxy = Proxy(ctx=ctx, site="e1", seeds=tuple, dialer=stub_dialer, distance=lambda site: 0)
        proxy.view._take(answer=full_answer(proxies=2, databases=databases, controllers=3))
        return proxy

    context.proxy = run(context=context, work=made())


@when("a session reads, writes and runs a transaction")
def when_session(context: Any) -> None:
    proxy = context.proxy

    async def work() -> list[Any]:
        proxy.view.as_of_us = proxy.ctx.now_us()
        session = proxy.open(database="ledger-0000.pool.example")
        verbs = (Verb.read, Verb.write, Verb.begin, Verb.read, Verb.write, Verb.commit)
        return [await session.run(statement=Statement(ident=b"1", verb=verb, text=b"x")) for verb in verbs]

    context.replies = run(context=context, work=work())


@then("no reply has a fault and all links are stubs")
def then_answers(context: Any) -> None:
    assert [reply.fault for reply in context.replies] == [None] * 6, context.replies
    links = [link for pool in context.proxy.router.pools.values() for link in pool.idle]
    assert links and all(isinstance(link, StubLink) for link in links), links
    context.proxy.stop()
