"""One line of the reckoning: what a role would take at the users' size, against what it may."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class ProjectionRow:
    """`source` says which measured slopes it was reckoned from. A limit of nan is none that anybody set."""

    role: str
    what: str
    projected: float
    unit: str
    limit: float = math.nan
    source: str = ""
    standard_error: float = math.nan

    @property
    def factor(self) -> float:
        """Over 1: today's design breaks it by so much."""
        return self.projected / self.limit

    @property
    def verdict(self) -> str:
        if math.isnan(self.limit):
            return "no limit set"
        if self.factor > 1:
            return f"broken x{self.factor:.2g}"
        return f"held, x{1 / self.factor:.2g} room" if self.factor else "held"

    def line(self) -> str:
        limit = "-" if math.isnan(self.limit) else f"{self.limit:,.4g}"
        standard_error = "" if math.isnan(self.standard_error) else f" ± {self.standard_error:,.2g}"
        projected = f"{self.projected:,.4g}{standard_error} {self.unit}".rstrip()
        return f"| {self.role} | {self.what} | {self.source} | {projected} | {limit} | {self.verdict} |"
