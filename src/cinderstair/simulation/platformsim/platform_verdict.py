"""What a trial on the simulated platform has shown."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class PlatformVerdict:
    """`worst_ms` and `figures` are for reading; `wrong` decides."""

    wrong: list[str] = field(default_factory=list)
    chances: Counter[str] = field(default_factory=Counter)
    served: int = 0
    owed: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    figures: dict[str, int] = field(default_factory=dict)
