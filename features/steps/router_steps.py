"""Steps for position samples shared by proxies: each machine has its own clock, and the test the true time."""

import random
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from stage import Stage, position, position_text

from cinderstair.control_plane.position_samples import PositionSamples
from cinderstair.failover.service_primary import PrimaryState, ServicePrimary
from cinderstair.membership.pooled_sample import PooledSample, ReportedSample, WantedSample
from cinderstair.pooler.sample_pool import SamplePool
from cinderstair.runtime.context import Context
from cinderstair.runtime.position import Position

SERVICE = "s"
MILLION = 1_000_000


class TrueTime:
    """The true time in microseconds, which no machine can read."""

    def __init__(self) -> None:
        self.us = 50 * MILLION


class Machine:
    """A context whose clock has an arbitrary offset and a small drift."""

    def __init__(self, *, stage: Stage, time: TrueTime, name: str, skew_us: int, drift_ppm: int) -> None:
        self.time, self.skew_us, self.drift_ppm = time, skew_us, drift_ppm
        self.ctx: Context = stage.context(name=name)
        self.ctx.clock = lambda: self.clock_us(true_us=time.us)

    def clock_us(self, *, true_us: int) -> int:
        return self.skew_us + true_us + true_us * self.drift_ppm // MILLION


class FakeSampleController:
    """One run of a controller's sample exchange, without a network; `source` is the number of the run."""

    def __init__(self, *, machine: Machine, source: int) -> None:
        self.machine, self.source = machine, source
        self.position_samples = PositionSamples(ctx=machine.ctx)
        self.answered: list[PooledSample] = []
        self.requested: list[str] = []

    def answer(
        self, *, source: int, samples: tuple[ReportedSample, ...], wanted: tuple[WantedSample, ...]
    ) -> tuple[int, int, tuple[PooledSample, ...]]:
        if source == self.source:
            self.position_samples.add(samples=samples)
        given_samples = self.position_samples.newer_than(wanted=wanted, same_source=source == self.source)
        self.answered, self.requested = list(given_samples), list(self.position_samples.assign_asks(wanted=wanted))
        return self.source, self.machine.ctx.now_us(), given_samples


class PoolingProxy:
    """A proxy's sample pool, and every sample that it has accepted with the request time that it computed."""

    def __init__(self, *, machine: Machine) -> None:
        self.machine = machine
        self.assignment = ServicePrimary(term=3, primary="a", state=PrimaryState.settled)
        self.pool = SamplePool(ctx=machine.ctx, assignment=lambda service: self.assignment)
        self.pool.wanted = lambda: (SERVICE,)
        self.pool.note = lambda service, requested_us, at: self.noted.append((requested_us, at))
        self.noted: list[tuple[int, Position]] = []
        self.source = 0
        self.reported: tuple[ReportedSample, ...] = ()
        self.requested_sample: tuple[int, int] | None = None

    def pull(
        self, *, controller: FakeSampleController, time: TrueTime, there_us: int, back_us: int, lost: bool = False
    ) -> None:
        requested_us = self.machine.ctx.now_us()
        self.reported, source = self.pool.reported(source=self.source), self.source
        wanted = self.pool.wanted_samples()
        time.us += there_us
        source, answered_us, samples = controller.answer(source=source, samples=self.reported, wanted=wanted)
        time.us += back_us
        if not lost:
            self.source = source
            self.pool.answered(source=source, answered_us=answered_us, requested_us=requested_us, samples=samples)


def new_pooling(*, context: Any, seed: int, names: list[str]) -> None:
    rng = context.rng = random.Random(f"pooling/{seed}")
    context.time = TrueTime()

    def machine(name: str) -> Machine:
        return Machine(
            stage=context.stage,
            time=context.time,
            name=name,
            skew_us=rng.randrange(10**12),
            drift_ppm=rng.randrange(-400, 401),
        )

    context.machine = machine
    context.controller = FakeSampleController(machine=machine("hall"), source=rng.getrandbits(62) | 1)
    context.proxies = {name: PoolingProxy(machine=machine(name)) for name in names}
    context.true_us = {}
    context.net_us = (1_000, 1_000)


@given('a controller that shares samples between proxies "{names}", each machine with its own clock')
def given_controller(context: Any, names: str) -> None:
    context.stage = Stage(context=context)
    new_pooling(context=context, seed=0, names=names.split(", "))


@given("a request takes {there_ms:d} ms and its answer {back_ms:d} ms")
def given_net(context: Any, there_ms: int, back_ms: int) -> None:
    context.net_us = there_ms * 1_000, back_ms * 1_000


def pull(*, context: Any, name: str, lost: bool = False) -> None:
    there_us, back_us = context.net_us
    context.last = context.proxies[name]
    context.last.pull(controller=context.controller, time=context.time, there_us=there_us, back_us=back_us, lost=lost)


@when('"{name}" pulls from the controller')
def when_pulls(context: Any, name: str) -> None:
    pull(context=context, name=name)


@when('"{name}" pulls from the controller, and the answer is lost')
def when_pulls_lost(context: Any, name: str) -> None:
    pull(context=context, name=name, lost=True)


@when('"{name}" requests a sample from the primary of term {term:d}')
def when_requests(context: Any, name: str, term: int) -> None:
    proxy = context.proxies[name]
    proxy.requested_sample = term, proxy.machine.ctx.now_us()
    context.requested_true_us = context.time.us


@when('"{name}" receives the requested sample {at}')
def when_received(context: Any, name: str, at: str) -> None:
    proxy, found = context.proxies[name], position(text=at)
    term, requested_us = proxy.requested_sample
    context.true_us[found] = context.requested_true_us
    proxy.pool.add_own(service=SERVICE, term=term, requested_us=requested_us, position=found)


@when('"{name}" samples {at} from the primary of term {term:d} within {wait_ms:d} ms')
def when_sampled(context: Any, name: str, at: str, term: int, wait_ms: int) -> None:
    when_requests(context=context, name=name, term=term)
    context.time.us += wait_ms * 1_000
    when_received(context=context, name=name, at=at)


@when("{wait_ms:d} ms pass on all machines")
def when_passes(context: Any, wait_ms: int) -> None:
    context.time.us += wait_ms * 1_000


@when("the controller restarts")
def when_controller_restarts(context: Any) -> None:
    machine = context.machine("hall")
    # The new clock stays close to the old one; a distant one would make a mix-up obvious.
    machine.skew_us = context.controller.machine.skew_us + context.rng.randrange(-3 * MILLION, 3 * MILLION)
    context.controller = FakeSampleController(machine=machine, source=context.rng.getrandbits(62) | 1)


@given('the assignment known to "{name}" is {state} in term {term:d}')
def given_assignment(context: Any, name: str, state: str, term: int) -> None:
    context.proxies[name].assignment = ServicePrimary(term=term, primary="a", state=PrimaryState[state])


@when('"{name}" needs no samples')
def when_needs_none(context: Any, name: str) -> None:
    context.proxies[name].pool.wanted = tuple


@then('"{name}" has a sample of {at} that seems {least_ms:d} to {most_ms:d} ms older than it is')
def then_has(context: Any, name: str, at: str, least_ms: int, most_ms: int) -> None:
    proxy, found = context.proxies[name], position(text=at)
    reported_us = next(us for us, each in proxy.noted if each == found)
    older_us = proxy.machine.clock_us(true_us=context.true_us[found]) - reported_us
    assert least_ms * 1_000 <= older_us <= most_ms * 1_000, older_us


@then('"{name}" has no sample')
def then_has_none(context: Any, name: str) -> None:
    assert not context.proxies[name].noted, context.proxies[name].noted


@then("the controller has sample {at} of term {term:d}")
def then_controller_sample(context: Any, at: str, term: int) -> None:
    entry = context.controller.position_samples.samples[SERVICE]
    assert (position_text(at=entry.position), entry.term) == (at, term), entry


@then("the last request reported {count:d} samples")
def then_reported(context: Any, count: int) -> None:
    assert len(context.last.reported) == count, context.last.reported


@then("the last answer contained {count:d} samples")
def then_answer_contained(context: Any, count: int) -> None:
    assert len(context.controller.answered) == count, context.controller.answered


@then("the last answer requested a sample of the primary: {word}")
def then_sample_requested(context: Any, word: str) -> None:
    assert bool(context.controller.requested) == (word == "yes"), context.controller.requested


# -- seeded runs --


def count_too_recent(*, context: Any, seed: int) -> tuple[int, int]:
    """How often a sample seemed newer than it is to a controller or a proxy, and how many were accepted."""
    new_pooling(context=context, seed=seed, names=["b1", "b2", "b3"])
    rng, time, wrong, accepted = context.rng, context.time, 0, 0
    slow_us = rng.choice((2_000, 50_000, 400_000))
    in_flight: list[tuple[PoolingProxy, int, int, Position]] = []
    number = 0
    for _ in range(150):
        time.us += rng.choice((0, 1_000, rng.randrange(300_000)))
        proxy = rng.choice(list(context.proxies.values()))
        draw = rng.random()
        if draw < 0.3:
            number += 1
            at = Position(3, number)
            in_flight.append((proxy, time.us, proxy.machine.ctx.now_us(), at))
        elif draw < 0.55 and in_flight:
            sampler, true_us, requested_us, at = in_flight.pop(rng.randrange(len(in_flight)))
            context.true_us[at] = true_us
            sampler.pool.add_own(service=SERVICE, term=3, requested_us=requested_us, position=at)
        elif draw < 0.58:
            time.us += rng.randrange(4 * MILLION)
        elif draw < 0.6:
            when_controller_restarts(context=context)
        else:
            delays = rng.randrange(slow_us), rng.randrange(slow_us)
            proxy.pull(
                controller=context.controller,
                time=time,
                there_us=delays[0],
                back_us=delays[1],
                lost=rng.random() < 0.1,
            )
        for entry in context.controller.position_samples.samples.values():
            wrong += entry.moment_us > context.controller.machine.clock_us(true_us=context.true_us[entry.position])
        for each in context.proxies.values():
            accepted += len(each.noted)
            wrong += sum(us > each.machine.clock_us(true_us=context.true_us[at]) for us, at in each.noted)
            each.noted.clear()
    return wrong, accepted


@then("over {runs:d} seeded runs with clock drift, slow networks, freezes and restarts no sample seems too recent")
def then_none_too_recent(context: Any, runs: int) -> None:
    accepted = 0
    for seed in range(runs):
        wrong, some = count_too_recent(context=context, seed=seed)
        assert not wrong, (seed, wrong)
        accepted += some
    assert accepted > 10 * runs, accepted


def from_answer(self: SamplePool, *, requested_us: int, age_us: int) -> int:
    return self.ctx.now_us() - age_us


def from_question(self: SamplePool, *, reference: Any, requested_us: int) -> int:
    # Assumes a transit time of 1 ms for the answer, half of a typical round trip, instead of none.
    return int(reference.answered_us + requested_us - reference.received_us + 1_000)


def across_restart(controller: FakeSampleController) -> Callable[..., Any]:
    answer = controller.answer

    def answer_any_run(*, source: int, **named: Any) -> Any:
        return answer(source=controller.source, **named)

    return answer_any_run


@then("with {fault} some sample seems too recent")
def then_fault_seen(context: Any, fault: str) -> None:
    if fault == "times kept across a restart":
        begin = FakeSampleController.__init__

        def keeping(self: FakeSampleController, **named: Any) -> None:
            begin(self, **named)
            self.answer = across_restart(self)  # type: ignore[method-assign]

        patched: Any = patch.object(FakeSampleController, "__init__", keeping)
    elif fault == "ages counted from the answer":
        patched = patch.object(SamplePool, "_at_us", from_answer)
    else:
        patched = patch.object(SamplePool, "_moment_us", from_question)
    with patched:
        assert sum(count_too_recent(context=context, seed=seed)[0] for seed in range(20)) > 0
