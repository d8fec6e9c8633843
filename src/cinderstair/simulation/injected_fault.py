"""One failure of a day: what, when, and for how long."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class InjectedFault:
    """Whom it strikes is drawn when it falls, by its own number, so that leaving others out changes little."""

    number: int
    kind: str
    at_us: int
    length_us: int

    def __str__(self) -> str:
        return f"{self.number}:{self.kind}@{self.at_us / 1_000_000:.1f}+{self.length_us / 1_000_000:.1f}"
