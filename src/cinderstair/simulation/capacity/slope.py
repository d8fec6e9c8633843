"""Which quantity of which role is fitted to which terms."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from .fit import TERMS, Fit, fit_significant_terms
from .sample import Sample
from .step import Step

Value = Callable[[Sample, Sample | None], float]


@dataclass(frozen=True, kw_only=True)
class Slope:
    """`value` is given the phase's sample and the idle one of the same step and role."""

    name: str
    role: str
    phase: str
    unit: str
    terms: tuple[str, ...]
    value: Value
    # memory is of a process, so proxies that share one are counted by the process
    per_process: bool = False

    def points(self, *, samples: Sequence[Sample]) -> tuple[list[Step], list[float]]:
        """Only of processes that kept up: one that is too busy sheds work, and bends the slope."""
        idle: Sample | None = None
        steps: list[Step] = []
        values: list[float] = []
        for sample in samples:
            if sample.role != self.role or not sample.instances:
                continue
            # why: each step tells how it idles before it tells of events, and a step may be run more than once
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
        """None where there are too few points for any fit."""
        steps, values = self.points(samples=samples)
        terms = [
            term for term in self.terms if len({_column(term=term, step=step) for step in steps}) > 1 or term == "1"
        ]
        while terms and len(steps) <= len(terms):
            terms.pop()
        while terms:
            try:
                return fit_significant_terms(steps=steps, values=values, terms=terms)
            except ValueError:
                # why: a short run may not tell all terms apart; the plainer ones come first
                terms.pop()
        return None


def _column(*, term: str, step: Step) -> float:
    return TERMS[term](step)
