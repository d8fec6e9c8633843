"""How times are spread over many observers."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Spread:
    """`missing` never saw it while they were waited for; they are in no other figure."""

    count: int
    missing: int
    median: float
    p99: float
    most: float

    def value(self) -> dict[str, float | int]:
        """Without the figures that nobody gave."""
        if not self.count:
            return {"count": 0, "missing": self.missing}
        return {
            "count": self.count,
            "missing": self.missing,
            "median": round(self.median, 4),
            "p99": round(self.p99, 4),
            "max": round(self.most, 4),
        }


def spread_of(*, times: Sequence[float], missing: int = 0) -> Spread:
    """By the nearest rank, so that each figure is one that was seen."""
    if not times:
        return Spread(count=0, missing=missing, median=math.nan, p99=math.nan, most=math.nan)
    ordered = sorted(times)

    def rank(part: float) -> float:
        return ordered[max(0, math.ceil(part * len(ordered)) - 1)]

    return Spread(count=len(ordered), missing=missing, median=rank(0.5), p99=rank(0.99), most=ordered[-1])
