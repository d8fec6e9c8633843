"""One line of the reckoning: what a role would take at the users' size, against what it may."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Row:
    """`source` says which measured slopes it was reckoned from. A limit of nan is none that anybody set."""

    role: str
    what: str
    reckoned: float
    unit: str
    limit: float = math.nan
    source: str = ""
    spread: float = math.nan

    @property
    def factor(self) -> float:
        """Over 1: today's design breaks it by so much."""
        return self.reckoned / self.limit

    @property
    def verdict(self) -> str:
        if math.isnan(self.limit):
            return "no limit set"
        if self.factor > 1:
            return f"broken x{self.factor:.2g}"
        return f"held, x{1 / self.factor:.2g} room" if self.factor else "held"

    def line(self) -> str:
        limit = "-" if math.isnan(self.limit) else f"{self.limit:,.4g}"
        spread = "" if math.isnan(self.spread) else f" ± {self.spread:,.2g}"
        reckoned = f"{self.reckoned:,.4g}{spread} {self.unit}".rstrip()
        return f"| {self.role} | {self.what} | {self.source} | {reckoned} | {limit} | {self.verdict} |"
