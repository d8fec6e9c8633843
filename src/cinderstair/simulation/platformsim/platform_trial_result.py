"""The result of a trial on the simulated platform."""

from collections import Counter
from dataclasses import dataclass, field


@dataclass(kw_only=True)
class PlatformTrialResult:
    """The trial passed if `wrong` is empty; `checks` counts checks by rule.

    `served` of `attempted` operations succeeded, `answers` counts the error codes that clients received, and
    `figures` are measurements.
    """

    wrong: list[str] = field(default_factory=list)
    checks: Counter[str] = field(default_factory=Counter)
    served: int = 0
    attempted: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    figures: dict[str, int] = field(default_factory=dict)
