"""One quantity of one role, and the terms to which it is fitted."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .fit import TERMS, Fit, fit_significant_terms
from .sample import Sample
from .step import Step

Value = Callable[[Sample, Sample | None], float]


@dataclass(frozen=True, kw_only=True)
class Slope:
    """`value` computes the quantity from the phase's sample and the idle sample of the same step and role.

    With `per_process`, N is the number of proxies in each process, as memory can be measured per process only.
    """

    name: str
    role: str
    phase: str
    unit: str
    terms: tuple[str, ...]
    value: Value
    per_process: bool = False

    def points(self, *, samples: Sequence[Sample]) -> tuple[list[Step], list[float]]:
        """Returns steps and values, without those of saturated processes, which shed work and distort the slope."""
        idle: Sample | None = None
        steps: list[Step] = []
        values: list[float] = []
        for sample in samples:
            if sample.role != self.role or not sample.instances:
                continue
            # The idle sample precedes the event samples of its step, and a step may be run more than once.
            if sample.phase == "idle":
                idle = sample
            if sample.phase != self.phase or sample.saturated:
                continue
            if idle is None or idle.step != sample.step or idle.saturated:
                continue
            step = sample.step
            if self.per_process:
                step = Step(
                    controllers=step.controllers,
                    proxies=round(sample.instances / sample.processes),
                    databases=step.databases,
                    voters=step.voting,
                )
            steps.append(step)
            values.append(self.value(sample, idle))
        return steps, values

    def fit(self, *, samples: Sequence[Sample]) -> Fit | None:
        """Fits the significant terms; None where there are too few points for any fit."""
        steps, values = self.points(samples=samples)
        terms = [
            term
            for term in self.terms
            if len({_term_value(term=term, step=step) for step in steps}) > 1 or term == "1"
        ]
        while terms and len(steps) <= len(terms):
            terms.pop()
        while terms:
            try:
                return fit_significant_terms(steps=steps, values=values, terms=terms)
            except ValueError:
                # Terms are collinear in short runs; the simpler terms come first and stay.
                terms.pop()
        return None


def _term_value(*, term: str, step: Step) -> float:
    return TERMS[term](step)
