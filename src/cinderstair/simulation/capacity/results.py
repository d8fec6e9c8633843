"""The results of a run by kind, and the slopes fitted to them."""

import math
from collections.abc import Sequence
from typing import Any

from .fit import Fit, fit_significant_terms
from .sample import Sample, read_sample
from .slopes import SLOPES
from .step import Step

# Fits of microbenchmarks: kind, quantity, unit, terms.
MICROBENCHMARK_FITS: Sequence[tuple[str, str, str, tuple[str, ...]]] = (
    ("booth", "reckon_us", "us", ("1", "D", "DD", "N", "ND")),
    ("booth", "tend_us", "us", ("1", "D")),
    ("booth", "held_bytes", "B", ("1", "D", "N")),
    ("booth", "links", "", ("D",)),
    ("whole", "take_us", "us", ("D", "ND", "DDD")),
    ("whole", "answer_bytes", "B", ("1", "D", "N")),
    ("guildhall", "look_us", "us", ("1", "D")),
    ("guildhall", "whole_us", "us", ("1", "D")),
    ("guildhall", "whole_bytes", "B", ("1", "D", "N")),
    ("guildhall", "nothing_us", "us", ("1", "D")),
    ("guildhall", "vector_bytes", "B", ("1", "D")),
    ("guildhall", "news_vector_us", "us", ("1", "D")),
    ("guildhall", "news_answer_us", "us", ("1", "D")),
    ("guildhall", "held_bytes", "B", ("1", "D")),
)

# Fits of durations in seconds: what, figure, terms.
DURATION_FITS: Sequence[tuple[str, str, tuple[str, ...]]] = (
    ("leads of all databases", "seconds", ("1", "D", "DD")),
    ("configuration accepted", "median", ("1", "D", "DD")),
    ("configuration known", "p99", ("1", "N", "D")),
    ("primary known", "p99", ("1", "N", "D")),
    ("new proxy known", "p99", ("1", "N", "D")),
    ("oldest view after the holder is lost", "max", ("1", "D")),
    ("oldest view after a controller is lost", "max", ("1", "N", "D")),
)


# Scheduling jitter of the machine delays up to this share of heartbeats; above it the system sheds load.
MAX_LATE_RATIO = 0.01


def unsaturated_samples(*, lines: Sequence[dict[str, Any]]) -> list[Sample]:
    """Returns the samples of steps in which no backend was silent and at most MAX_LATE_RATIO of heartbeats were late.

    The other steps shed load, which would distort the slopes.
    """
    kept: list[Sample] = []
    step: list[Sample] = []
    overloaded = False
    for line in [*lines, {"kind": "load"}]:
        if line["kind"] == "load":
            kept += [] if overloaded else step
            step, overloaded = [], False
        elif line["kind"] == "sample":
            step.append(read_sample(value=line))
        elif line["kind"] == "time" and line["what"] == "whole":
            overloaded = line["quiet"] > 0 or line["beats"]["late"] > MAX_LATE_RATIO * max(1, line["beats"]["sent"])
    return kept


class Results:
    """Samples, microbenchmarks, times and fits from the JSON lines of one or more runs."""

    def __init__(self, *, lines: Sequence[dict[str, Any]]) -> None:
        self.lines = lines
        self.samples: list[Sample] = unsaturated_samples(lines=lines)
        self.microbenchmarks = [line for line in lines if line["kind"] == "alone"]
        self.times = [line for line in lines if line["kind"] == "time"]
        self.slopes: dict[str, Fit] = {}
        self.units: dict[str, str] = {}
        for slope in SLOPES:
            fit = slope.fit(samples=self.samples)
            if fit is not None:
                self.slopes[slope.name], self.units[slope.name] = fit, slope.unit
        for what, quantity, unit, terms in MICROBENCHMARK_FITS:
            fit = self._fit_microbenchmark(what=what, quantity=quantity, terms=terms)
            if fit is not None:
                name = f"{what} turn {quantity}"
                self.slopes[name], self.units[name] = fit, unit
        for what, figure, terms in DURATION_FITS:
            timed = [line for line in self.time(what=what) if not math.isnan(line.get(figure, math.nan))]
            fit = self._fit(lines=timed, quantity=figure, terms=terms)
            if fit is not None:
                self.slopes[f"{what}, {figure}"], self.units[f"{what}, {figure}"] = fit, "s"

    def _fit_microbenchmark(self, *, what: str, quantity: str, terms: tuple[str, ...]) -> Fit | None:
        found = [{"guildhalls": 1, "voters": 0, **line} for line in self.microbenchmarks if line["what"] == what]
        return self._fit(lines=found, quantity=quantity, terms=terms)

    def _fit(self, *, lines: list[dict[str, Any]], quantity: str, terms: tuple[str, ...]) -> Fit | None:
        steps = [Step(**{name: line[name] for name in Step.__dataclass_fields__}) for line in lines]
        values = [float(line[quantity]) for line in lines]
        remaining = list(terms)
        while remaining and len(steps) <= len(remaining):
            remaining.pop()
        while remaining:
            try:
                return fit_significant_terms(steps=steps, values=values, terms=remaining)
            except ValueError:
                # Terms are collinear in short runs; the simpler terms come first and stay.
                remaining.pop()
        return None

    def measured(self, *, what: str, quantity: str, **size: int) -> float | None:
        """Returns a microbenchmark's result that was measured at exactly this size, or None."""
        for line in self.microbenchmarks:
            if line["what"] == what and all(line.get(name) == value for name, value in size.items()):
                return float(line[quantity])
        return None

    def time(self, *, what: str) -> list[dict[str, Any]]:
        """Returns the lines of one kind of duration."""
        return [line for line in self.times if line["what"] == what]
