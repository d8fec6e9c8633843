"""Resources that the processes of one role used in one phase of a step."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .reading import Reading
from .step import Step

# CPU share of one core above which a process answers late and sheds or repeats work, which distorts slopes.
SATURATED_UTILIZATION = 0.7


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Sums over the processes of a role, between the start and the end of a phase.

    `instances` is the number of proxies, controllers or backends that the processes run or emulate, `events` how
    often the event of the phase happened (0 when idle), `seconds` the mean duration, and `max_utilization` the CPU
    share of the busiest process.
    """

    step: Step
    phase: str
    role: str
    processes: int
    instances: int
    events: int
    seconds: float
    max_utilization: float
    delta: Reading

    @property
    def saturated(self) -> bool:
        """Tells whether any of the processes was too busy for its figures to count."""
        return self.max_utilization > SATURATED_UTILIZATION

    def rate(self, *, name: str) -> float:
        """Returns a counter per second and instance."""
        if not self.instances or self.seconds <= 0:
            raise ValueError("the sample has no instances or no duration")
        return float(getattr(self.delta, name)) / self.seconds / self.instances

    def per_event(self, *, name: str, idle: "Sample") -> float:
        """Returns a counter per event and instance, above the rate of the idle sample."""
        if not self.events or idle.step != self.step or idle.role != self.role or not self.instances:
            raise ValueError("the sample has no events, or the idle sample is of another step or role")
        spent = float(getattr(self.delta, name)) / self.instances
        return (spent - idle.rate(name=name) * self.seconds) / self.events

    def value(self) -> dict[str, Any]:
        """Returns the JSON object that `read_sample` reads."""
        return {
            "kind": "sample",
            **self.step.value(),
            "phase": self.phase,
            "role": self.role,
            "processes": self.processes,
            "things": self.instances,
            "events": self.events,
            "seconds": round(self.seconds, 3),
            "busiest": round(self.max_utilization, 3),
            **self.delta.value(),
        }


def aggregate(
    *,
    step: Step,
    phase: str,
    role: str,
    instances: int,
    events: int,
    before: Sequence[Reading],
    after: Sequence[Reading],
) -> Sample:
    """Sums up the processes of one role, each with a reading before and after the phase; else ValueError."""
    if not before or len(before) != len(after):
        raise ValueError("every process needs a reading before and after the phase")
    differences = [late.since(before=early) for early, late in zip(before, after, strict=True)]
    names = [name for name in vars(differences[0]) if name != "at_us"]
    seconds = sum(difference.at_us for difference in differences) / len(differences) / 1_000_000
    total = Reading(
        at_us=int(seconds * 1_000_000),
        **{n: sum(getattr(difference, n) for difference in differences) for n in names},
    )
    return Sample(
        step=step,
        phase=phase,
        role=role,
        processes=len(differences),
        instances=instances,
        events=events,
        seconds=seconds,
        max_utilization=max(difference.cpu_us / max(1, difference.at_us) for difference in differences),
        delta=total,
    )


def read_sample(*, value: dict[str, Any]) -> Sample:
    """Reads a sample from a line of the results; KeyError where a field is missing."""
    names = Reading.__dataclass_fields__
    return Sample(
        step=Step(**{name: value[name] for name in Step.__dataclass_fields__}),
        phase=value["phase"],
        role=value["role"],
        processes=value["processes"],
        instances=value["things"],
        events=value["events"],
        seconds=value["seconds"],
        max_utilization=value["busiest"],
        delta=Reading(**{name: value[name] for name in names}),
    )
