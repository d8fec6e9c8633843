"""One row of the projection: a resource that a role needs at the target size, against its limit."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class ProjectionRow:
    """`source` names the measured slopes behind the value; `standard_error` is nan if unknown, `limit` if not set."""

    role: str
    what: str
    projected: float
    unit: str
    limit: float = math.nan
    source: str = ""
    standard_error: float = math.nan

    @property
    def factor(self) -> float:
        """The projected value relative to the limit; above 1 the limit is broken."""
        return self.projected / self.limit

    @property
    def verdict(self) -> str:
        """Says whether the limit is held, and by which factor."""
        if math.isnan(self.limit):
            return "no limit set"
        if self.factor > 1:
            return f"broken x{self.factor:.2g}"
        return f"held, x{1 / self.factor:.2g} room" if self.factor else "held"

    def line(self) -> str:
        """Formats the row for the report's table."""
        limit = "-" if math.isnan(self.limit) else f"{self.limit:,.4g}"
        standard_error = "" if math.isnan(self.standard_error) else f" ± {self.standard_error:,.2g}"
        projected = f"{self.projected:,.4g}{standard_error} {self.unit}".rstrip()
        return f"| {self.role} | {self.what} | {self.source} | {projected} | {limit} | {self.verdict} |"
