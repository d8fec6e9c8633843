"""What one role's processes spent and carried in one phase of one step."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .reading import Reading
from .step import Step

# why: a process that is busier than this answers late, and what it sheds or repeats bends every slope
BUSY = 0.7


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Sums over the processes of a role. `things` is how many proxies, controllers or backends they stand for.

    `events` is how often what the phase is named for happened; a phase without events is idle.
    """

    step: Step
    phase: str
    role: str
    processes: int
    things: int
    events: int
    seconds: float
    busiest: float
    added: Reading

    @property
    def saturated(self) -> bool:
        return self.busiest > BUSY

    def rate(self, *, name: str) -> float:
        """A second, for one thing."""
        if not self.things or self.seconds <= 0:
            raise ValueError("nothing was measured")
        return float(getattr(self.added, name)) / self.seconds / self.things

    def each(self, *, name: str, idle: "Sample") -> float:
        """What one event added for one thing, over what it spends anyway."""
        if not self.events or idle.step != self.step or idle.role != self.role or not self.things:
            raise ValueError("no events, or another step's idle phase")
        spent = float(getattr(self.added, name)) / self.things
        return (spent - idle.rate(name=name) * self.seconds) / self.events

    def value(self) -> dict[str, Any]:
        return {
            "kind": "sample",
            **self.step.value(),
            "phase": self.phase,
            "role": self.role,
            "processes": self.processes,
            "things": self.things,
            "events": self.events,
            "seconds": round(self.seconds, 3),
            "busiest": round(self.busiest, 3),
            **self.added.value(),
        }


def gathered(
    *,
    step: Step,
    phase: str,
    role: str,
    things: int,
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
        things=things,
        events=events,
        seconds=seconds,
        busiest=max(part.cpu_us / max(1, part.at_us) for part in parts),
        added=total,
    )


def read_sample(*, value: dict[str, Any]) -> Sample:
    """From a line of the results; raises KeyError where a field is missing."""
    names = Reading.__dataclass_fields__
    return Sample(
        step=Step(**{name: value[name] for name in Step.__dataclass_fields__}),
        phase=value["phase"],
        role=value["role"],
        processes=value["processes"],
        things=value["things"],
        events=value["events"],
        seconds=value["seconds"],
        busiest=value["busiest"],
        added=Reading(**{name: value[name] for name in names}),
    )
