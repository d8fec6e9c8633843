"""What faults of all kinds share: the world, the draws, what was injected, and what is still to be done."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from .soak_world import SoakWorld


@dataclass(frozen=True, kw_only=True)
class InjectedFault:
    """One fault, when it was injected, in microseconds since the start of the faults, and what it struck."""

    at_us: int
    kind: str
    target: str


class FaultSchedule:
    """Owns the calls that are due later, and the record of the injected faults."""

    def __init__(self, *, world: SoakWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.began_us = world.now_us
        self.injected: list[InjectedFault] = []
        self.scheduled: list[tuple[int, Callable[[], None]]] = []

    def at(self, *, in_ms: int, call: Callable[[], None]) -> None:
        """Has a call made after this time."""
        self.scheduled.append((self.world.now_us + in_ms * 1_000, call))

    def run_due(self) -> None:
        """Makes the calls that are due."""
        now_us = self.world.now_us
        due = [call for at_us, call in self.scheduled if at_us <= now_us]
        self.scheduled = [entry for entry in self.scheduled if entry[0] > now_us]
        for call in due:
            call()

    def record(self, *, kind: str, target: str) -> None:
        """Records a fault that is injected now."""
        self.injected.append(InjectedFault(at_us=self.world.now_us - self.began_us, kind=kind, target=target))


class FaultGroup:
    """The base of faults that strike one kind of target."""

    def __init__(self, *, schedule: FaultSchedule) -> None:
        self.schedule = schedule
        self.world = schedule.world
        self.rng = schedule.rng

    def _at(self, *, in_ms: int, call: Callable[[], None]) -> None:
        self.schedule.at(in_ms=in_ms, call=call)

    def _record(self, *, kind: str, target: str) -> None:
        self.schedule.record(kind=kind, target=target)
