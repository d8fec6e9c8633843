"""What a soak run found, as text and as JSON."""

from collections import Counter
from dataclasses import asdict, dataclass, field
from typing import Any

from .fault_schedule import InjectedFault

MAX_LINES = 20


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Totals since the start of the faults: time in microseconds, and operations served and attempted."""

    at_us: int
    served: int
    attempted: int


@dataclass(kw_only=True)
class SoakReport:
    """The result of one run.

    :param command: plays the run again.
    :param breaches: broken rules, processes that ended by themselves, limits that were exceeded.
    :param without_primary: services whose last primary does not run at the end; the rule PRIMARY judges commits.
    """

    command: str
    breaches: list[str] = field(default_factory=list)
    without_primary: list[str] = field(default_factory=list)
    checks: dict[str, int] = field(default_factory=dict)
    answers: dict[str, int] = field(default_factory=dict)
    faults: list[InjectedFault] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)
    promotions: int = 0
    served: int = 0
    attempted: int = 0
    most_memory_bytes: int = 0
    most_descriptors: int = 0
    folder: str = ""

    def json(self) -> dict[str, Any]:
        """All fields as JSON values."""
        return asdict(self)

    def lines(self) -> list[str]:
        """The report for people."""
        kinds = Counter(fault.kind for fault in self.faults)
        lines = [
            f"{self.served} of {self.attempted} operations served, {self.promotions} promotions requested, "
            f"{len(self.faults)} faults: {', '.join(f'{kind} {count}' for kind, count in sorted(kinds.items()))}",
            f"checks: {', '.join(f'{rule} {count}' for rule, count in sorted(self.checks.items()) if count)}",
            f"answers: {', '.join(f'{code} {count}' for code, count in sorted(self.answers.items())) or 'no errors'}",
            f"largest process: {self.most_memory_bytes // 1_000_000} MB, {self.most_descriptors} descriptors",
        ]
        if self.without_primary:
            lines.append(f"without a primary that serves at the end: {', '.join(self.without_primary)}")
        if not self.breaches:
            return [*lines, "no rule is broken"]
        lines += [f"broken: {breach}" for breach in self.breaches[:MAX_LINES]]
        if len(self.breaches) > MAX_LINES:
            lines.append(f"and {len(self.breaches) - MAX_LINES} more")
        return [*lines, f"logs: {self.folder}", f"again: {self.command}"]
