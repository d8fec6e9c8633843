"""What a backend's log must have so that a read on it is fresh enough."""

from bisect import bisect_left, insort

from ..runtime.position import Position

APART_US = 20_000
MOST = 256


def _asked_us(sample: tuple[int, Position]) -> int:
    return sample[0]


class Freshness:
    """Samples of the primary's position, each with the moment at which it was asked for.

    A sample asked for at t is at or past every commit that was acknowledged before t. No clocks of two machines
    are compared.
    """

    def __init__(self) -> None:
        self.samples: list[tuple[int, Position]] = []
        self.wanted_us = -(1 << 62)
        self.wanted_age_us = 0

    def note(self, *, requested_us: int, position: Position) -> None:
        """Takes a sample from a primary that was known to lead when it was asked."""
        place = bisect_left(self.samples, requested_us, key=_asked_us)
        # why: one that was asked for later and shows no more covers all that this one does
        if any(sample[1] <= position for sample in self.samples[place:]):
            return
        # why: and this one all that earlier ones cover that show no less
        while place and self.samples[place - 1][1] >= position:
            place -= 1
            del self.samples[place]
        if place > 1 and requested_us - self.samples[place - 2][0] < APART_US:
            del self.samples[place - 1]
        insort(self.samples, (requested_us, position), key=_asked_us)
        del self.samples[:-MOST]

    def fence(self, *, as_of_us: int, position: Position) -> None:
        """Nothing past this position was acknowledged before that moment; what lies past it may be cut back."""
        self.samples = [sample for sample in self.samples if sample[1] <= position]
        if not self.samples or self.samples[-1][0] < as_of_us:
            self.samples.append((as_of_us, position))

    def needed(self, *, since_us: int) -> Position | None:
        """A position at or past all that was acknowledged before `since_us`; None where nobody has asked since."""
        place = bisect_left(self.samples, since_us, key=_asked_us)
        return self.samples[place][1] if place < len(self.samples) else None

    @property
    def newest_us(self) -> int:
        return self.samples[-1][0] if self.samples else -(1 << 62)
