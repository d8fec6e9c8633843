"""One fault of a day: its kind, time and duration."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class InjectedFault:
    """A fault to inject; its number seeds the choice of the machine, so that removing other faults changes little."""

    number: int
    kind: str
    at_us: int
    length_us: int

    def __str__(self) -> str:
        return f"{self.number}:{self.kind}@{self.at_us / 1_000_000:.1f}+{self.length_us / 1_000_000:.1f}"
