"""Steps for the samples that booths share: every machine has a clock of its own, and the test the true time."""

import random
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

from behave import given, then, when
from stage import Stage, position, shown

from cinderstair.control_plane.sample_board import SampleBoard
from cinderstair.failover.service_lead import LeadState, ServiceLead
from cinderstair.membership.pooled_sample import PooledSample, ToldSample, WantedSample
from cinderstair.pooler.sample_pool import SamplePool
from cinderstair.runtime.context import Context
from cinderstair.runtime.position import Position

SERVICE = "s"
MILLION = 1_000_000


class TrueTime:
    """Microseconds that no machine knows."""

    def __init__(self) -> None:
        self.us = 50 * MILLION


class Machine:
    """A context whose steady clock began anywhere and runs a little fast or slow."""

    def __init__(self, *, stage: Stage, time: TrueTime, name: str, skew_us: int, drift_ppm: int) -> None:
        self.time, self.skew_us, self.drift_ppm = time, skew_us, drift_ppm
        self.ctx: Context = stage.context(name=name)
        self.ctx.clock = lambda: self.shows(true_us=time.us)

    def shows(self, *, true_us: int) -> int:
        return self.skew_us + true_us + true_us * self.drift_ppm // MILLION


class Hall:
    def __init__(self, *, machine: Machine, source: int) -> None:
        self.machine, self.source = machine, source
        self.board = SampleBoard(ctx=machine.ctx)
        self.answered: list[PooledSample] = []
        self.asked: list[str] = []

    def answer(
        self, *, source: int, samples: tuple[ToldSample, ...], wanted: tuple[WantedSample, ...]
    ) -> tuple[int, int, tuple[PooledSample, ...]]:
        if source == self.source:
            self.board.tell(samples=samples)
        given_samples = self.board.given(wanted=wanted, known=source == self.source)
        self.answered, self.asked = list(given_samples), list(self.board.missing(wanted=wanted))
        return self.source, self.machine.ctx.now_us(), given_samples


class PoolingBooth:
    """A booth's pool, and every sample that it was given with the moment at which it says that it was asked for."""

    def __init__(self, *, machine: Machine) -> None:
        self.machine = machine
        self.lead = ServiceLead(term=3, primary="a", state=LeadState.settled)
        self.pool = SamplePool(ctx=machine.ctx, lead=lambda service: self.lead)
        self.pool.wanted = lambda: (SERVICE,)
        self.pool.note = lambda service, asked_us, at: self.noted.append((asked_us, at))
        self.noted: list[tuple[int, Position]] = []
        self.source = 0
        self.told: tuple[ToldSample, ...] = ()
        self.asking: tuple[int, int] | None = None

    def ask(self, *, hall: Hall, time: TrueTime, there_us: int, back_us: int, lost: bool = False) -> None:
        asked_us = self.machine.ctx.now_us()
        self.told, source = self.pool.told(source=self.source), self.source
        wanted = self.pool.wants()
        time.us += there_us
        source, answered_us, samples = hall.answer(source=source, samples=self.told, wanted=wanted)
        time.us += back_us
        if not lost:
            self.source = source
            self.pool.answered(source=source, answered_us=answered_us, asked_us=asked_us, samples=samples)


def new_pooling(*, context: Any, seed: int, names: list[str]) -> None:
    luck = context.luck = random.Random(f"pooling/{seed}")
    context.time = TrueTime()

    def machine(name: str) -> Machine:
        return Machine(
            stage=context.stage,
            time=context.time,
            name=name,
            skew_us=luck.randrange(10**12),
            drift_ppm=luck.randrange(-400, 401),
        )

    context.machine = machine
    context.hall = Hall(machine=machine("hall"), source=luck.getrandbits(62) | 1)
    context.booths = {name: PoolingBooth(machine=machine(name)) for name in names}
    context.true_us = {}
    context.net_us = (1_000, 1_000)


@given('a guildhall\'s board of samples, and booths "{names}" that ask it, all with clocks of their own')
def given_board(context: Any, names: str) -> None:
    context.stage = Stage(context=context)
    new_pooling(context=context, seed=0, names=names.split(", "))


@given("a question takes {there_ms:d} ms and an answer {back_ms:d} ms")
def given_net(context: Any, there_ms: int, back_ms: int) -> None:
    context.net_us = there_ms * 1_000, back_ms * 1_000


def ask(*, context: Any, name: str, lost: bool = False) -> None:
    there_us, back_us = context.net_us
    context.last = context.booths[name]
    context.last.ask(hall=context.hall, time=context.time, there_us=there_us, back_us=back_us, lost=lost)


@when('"{name}" asks the guildhall')
def when_asks(context: Any, name: str) -> None:
    ask(context=context, name=name)


@when('"{name}" asks the guildhall, whose answer is lost')
def when_asks_lost(context: Any, name: str) -> None:
    ask(context=context, name=name, lost=True)


@when('"{name}" begins to ask the primary of term {term:d}')
def when_begins(context: Any, name: str, term: int) -> None:
    booth = context.booths[name]
    booth.asking = term, booth.machine.ctx.now_us()
    context.asked_true_us = context.time.us


@when('"{name}" is shown {at} by the primary that it asked')
def when_shown(context: Any, name: str, at: str) -> None:
    booth, found = context.booths[name], position(text=at)
    term, asked_us = booth.asking
    context.true_us[found] = context.asked_true_us
    booth.pool.saw(service=SERVICE, term=term, asked_us=asked_us, position=found)


@when('"{name}" is shown {at} by the primary of term {term:d}, after {wait_ms:d} ms')
def when_shown_after(context: Any, name: str, at: str, term: int, wait_ms: int) -> None:
    when_begins(context=context, name=name, term=term)
    context.time.us += wait_ms * 1_000
    when_shown(context=context, name=name, at=at)


@when("{wait_ms:d} ms pass for all")
def when_passes(context: Any, wait_ms: int) -> None:
    context.time.us += wait_ms * 1_000


@when("the guildhall begins another life")
def when_another_life(context: Any) -> None:
    machine = context.machine("hall")
    # why: a clock that is far from the one before would give itself away
    machine.skew_us = context.hall.machine.skew_us + context.luck.randrange(-3 * MILLION, 3 * MILLION)
    context.hall = Hall(machine=machine, source=context.luck.getrandbits(62) | 1)


@given('"{name}" says that the lead is {state} under term {term:d}')
def given_lead(context: Any, name: str, state: str, term: int) -> None:
    context.booths[name].lead = ServiceLead(term=term, primary="a", state=LeadState[state])


@when('"{name}" wants nothing')
def when_wants_nothing(context: Any, name: str) -> None:
    context.booths[name].pool.wanted = tuple


@then('"{name}" has a sample of {at}, between {least_ms:d} and {most_ms:d} ms older than it is')
def then_has(context: Any, name: str, at: str, least_ms: int, most_ms: int) -> None:
    booth, found = context.booths[name], position(text=at)
    told_us = next(us for us, each in booth.noted if each == found)
    older_us = booth.machine.shows(true_us=context.true_us[found]) - told_us
    assert least_ms * 1_000 <= older_us <= most_ms * 1_000, older_us


@then('"{name}" has no sample')
def then_has_none(context: Any, name: str) -> None:
    assert not context.booths[name].noted, context.booths[name].noted


@then("the board holds {at} under term {term:d}")
def then_board(context: Any, at: str, term: int) -> None:
    entry = context.hall.board.entries[SERVICE]
    assert (shown(at=entry.position), entry.term) == (at, term), entry


@then("the last question told {count:d} samples")
def then_told(context: Any, count: int) -> None:
    assert len(context.last.told) == count, context.last.told


@then("the last answer gave {count:d} samples")
def then_gave(context: Any, count: int) -> None:
    assert len(context.hall.answered) == count, context.hall.answered


@then("the last answer sent the booth to the primary: {word}")
def then_sent_to_primary(context: Any, word: str) -> None:
    assert bool(context.hall.asked) == (word == "yes"), context.hall.asked


# -- seeded runs --


def too_young(*, context: Any, seed: int) -> tuple[int, int]:
    """How many samples were taken for younger than they are at the guildhall or a booth, and how many came at all."""
    new_pooling(context=context, seed=seed, names=["b1", "b2", "b3"])
    luck, time, wrong, came = context.luck, context.time, 0, 0
    slow_us = luck.choice((2_000, 50_000, 400_000))
    under_way: list[tuple[PoolingBooth, int, int, Position]] = []
    number = 0
    for _ in range(150):
        time.us += luck.choice((0, 1_000, luck.randrange(300_000)))
        booth = luck.choice(list(context.booths.values()))
        draw = luck.random()
        if draw < 0.3:
            number += 1
            at = Position(3, number)
            under_way.append((booth, time.us, booth.machine.ctx.now_us(), at))
        elif draw < 0.55 and under_way:
            shown_by, true_us, asked_us, at = under_way.pop(luck.randrange(len(under_way)))
            context.true_us[at] = true_us
            shown_by.pool.saw(service=SERVICE, term=3, asked_us=asked_us, position=at)
        elif draw < 0.58:
            time.us += luck.randrange(4 * MILLION)
        elif draw < 0.6:
            when_another_life(context=context)
        else:
            delays = luck.randrange(slow_us), luck.randrange(slow_us)
            booth.ask(hall=context.hall, time=time, there_us=delays[0], back_us=delays[1], lost=luck.random() < 0.1)
        for entry in context.hall.board.entries.values():
            wrong += entry.moment_us > context.hall.machine.shows(true_us=context.true_us[entry.position])
        for each in context.booths.values():
            came += len(each.noted)
            wrong += sum(us > each.machine.shows(true_us=context.true_us[at]) for us, at in each.noted)
            each.noted.clear()
    return wrong, came


@then("over {runs:d} seeded runs with clocks that drift, slow nets, freezes and restarts none is too young")
def then_never_young(context: Any, runs: int) -> None:
    came = 0
    for seed in range(runs):
        wrong, some = too_young(context=context, seed=seed)
        assert not wrong, (seed, wrong)
        came += some
    assert came > 10 * runs, came


def from_answer(self: SamplePool, *, asked_us: int, age_us: int) -> int:
    return self.ctx.now_us() - age_us


def from_question(self: SamplePool, *, reference: Any, asked_us: int) -> int:
    # why: half of the way there and back is what a hopeful reckoning would take the answer's way for
    return int(reference.answered_us + asked_us - reference.received_us + 1_000)


def kept_over(hall: Hall) -> Callable[..., Any]:
    answer = hall.answer

    def any_life(*, source: int, **named: Any) -> Any:
        return answer(source=hall.source, **named)

    return any_life


@then("with {fault} it is seen that a sample is too young")
def then_fault_seen(context: Any, fault: str) -> None:
    if fault == "moments kept over a restart":
        begin = Hall.__init__

        def keeping(self: Hall, **named: Any) -> None:
            begin(self, **named)
            self.answer = kept_over(self)  # type: ignore[method-assign]

        patched: Any = patch.object(Hall, "__init__", keeping)
    elif fault == "ages taken from the answer":
        patched = patch.object(SamplePool, "_at_us", from_answer)
    else:
        patched = patch.object(SamplePool, "_moment_us", from_question)
    with patched:
        assert sum(too_young(context=context, seed=seed)[0] for seed in range(20)) > 0
