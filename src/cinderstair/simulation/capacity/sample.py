"""What one role's processes spent and carried in one phase of one step."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .reading import Reading
from .step import Step

# why: a process that is busier than this answers late, and what it sheds or repeats bends every slope
SATURATED_UTILIZATION = 0.7


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Sums over the processes of a role. `things` is how many proxies, controllers or backends they stand for.

    `events` is how often what the phase is named for happened; a phase without events is idle.
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
        return self.max_utilization > SATURATED_UTILIZATION

    def rate(self, *, name: str) -> float:
        """A second, for one thing."""
        if not self.instances or self.seconds <= 0:
            raise ValueError("nothing was measured")
        return float(getattr(self.delta, name)) / self.seconds / self.instances

    def per_event(self, *, name: str, idle: "Sample") -> float:
        """What one event added for one thing, over what it spends anyway."""
        if not self.events or idle.step != self.step or idle.role != self.role or not self.instances:
            raise ValueError("no events, or another step's idle phase")
        spent = float(getattr(self.delta, name)) / self.instances
        return (spent - idle.rate(name=name) * self.seconds) / self.events

    def value(self) -> dict[str, Any]:
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
    """The sum over one role's processes, each read before and after the phase."""
    if not before or len(before) != len(after):
        raise ValueError("every process is read before and after")
    parts = [late.since(before=early) for early, late in zip(before, after, strict=True)]
    names = [name for name in vars(parts[0]) if name != "at_us"]
    seconds = sum(part.at_us for part in parts) / len(parts) / 1_000_000
    total = Reading(at_us=int(seconds * 1_000_000), **{n: sum(getattr(part, n) for part in parts) for n in names})
    return Sample(
        step=step,
        phase=phase,
        role=role,
        processes=len(parts),
        instances=instances,
        events=events,
        seconds=seconds,
        max_utilization=max(part.cpu_us / max(1, part.at_us) for part in parts),
        delta=total,
    )


def read_sample(*, value: dict[str, Any]) -> Sample:
    """From a line of the results; raises KeyError where a field is missing."""
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
