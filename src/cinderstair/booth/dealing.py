"""Which copy a booth holds a lasting link to, where a cap is smaller than the number of booths. Pure functions."""

from collections.abc import Sequence
from typing import NamedTuple

SLACK = 8


class Spot(NamedTuple):
    """Where a booth or a backend stands."""

    site: str
    region: str

    def near(self, *, other: "Spot") -> int:
        """0 within a site, 1 within a region, else 2."""
        if self.site == other.site:
            return 0
        return 1 if self.region == other.region else 2


def dealt_copies(*, booths: Sequence[tuple[int, Spot]], copies: Sequence[Spot], room: int) -> dict[int, int]:
    """The number of one copy for each booth's id, nearest first and evenly; no copy gets more than `room` booths.

    Every booth reckons the same from the same lists. A booth for which there is no room is in no entry.
    """
    if not copies or room <= 0:
        return {}
    even = -(-len(booths) // len(copies))
    # why: a near copy must not fill up before a far one has any; a little more than even spares changes for one booth
    most = min(room, even + even // SLACK)
    taken = [0] * len(copies)
    dealt: dict[int, int] = {}
    for level in range(3):
        for booth_id, spot in sorted(booths):
            if booth_id in dealt:
                continue
            fit = [n for n, copy in enumerate(copies) if taken[n] < most and spot.near(other=copy) <= level]
            if fit:
                # why: by the id, and not by what others were dealt, so that one that goes changes few
                best = fit[booth_id % len(fit)]
                dealt[booth_id] = best
                taken[best] += 1
    return dealt
