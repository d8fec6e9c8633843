"""Percentiles of the times at which many observers saw an event."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Percentiles:
    """In the unit of the times. `missing` counts observers that timed out; they are in no other figure."""

    count: int
    missing: int
    median: float
    p99: float
    maximum: float

    def value(self) -> dict[str, float | int]:
        """Returns the JSON object; without any times it has only the counts."""
        if not self.count:
            return {"count": 0, "missing": self.missing}
        return {
            "count": self.count,
            "missing": self.missing,
            "median": round(self.median, 4),
            "p99": round(self.p99, 4),
            "max": round(self.maximum, 4),
        }


def percentiles_of(*, times: Sequence[float], missing: int = 0) -> Percentiles:
    """Computes percentiles by nearest rank, so that each is a measured time; nan without any times."""
    if not times:
        return Percentiles(count=0, missing=missing, median=math.nan, p99=math.nan, maximum=math.nan)
    ordered = sorted(times)

    def nearest_rank(part: float) -> float:
        return ordered[max(0, math.ceil(part * len(ordered)) - 1)]

    return Percentiles(
        count=len(ordered), missing=missing, median=nearest_rank(0.5), p99=nearest_rank(0.99), maximum=ordered[-1]
    )
