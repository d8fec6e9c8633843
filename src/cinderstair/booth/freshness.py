"""What a backend's log must have so that a read on it is fresh enough."""

from collections import deque

from ..pitch.position import Position

APART_US = 20_000
MOST = 256


class Freshness:
    """Samples of the primary's position, each with the moment at which it was asked for.

    A sample asked for at t is at or past every commit that was acknowledged before t. No clocks of two machines
    are compared.
    """

    def __init__(self) -> None:
        self.samples: deque[tuple[int, Position]] = deque()
        self.wanted_us = 0

    def note(self, *, asked_us: int, position: Position) -> None:
        """Takes a sample from a primary that was known to lead when it was asked."""
        while self.samples and self.samples[-1][0] >= asked_us:
            # why: an answer that comes late adds nothing to one that was asked for after it
            if self.samples[-1][1] >= position:
                return
            self.samples.pop()
        if len(self.samples) > 1 and asked_us - self.samples[-2][0] < APART_US:
            self.samples.pop()
        self.samples.append((asked_us, position))
        while len(self.samples) > MOST:
            self.samples.popleft()

    def fence(self, *, as_of_us: int, position: Position) -> None:
        """Nothing past this position was acknowledged before that moment; what lies past it may be cut back."""
        self.samples = deque(sample for sample in self.samples if sample[1] <= position)
        if not self.samples or self.samples[-1][0] < as_of_us:
            self.samples.append((as_of_us, position))

    def needed(self, *, since_us: int) -> Position | None:
        """A position at or past all that was acknowledged before `since_us`; None where nobody has asked since."""
        while len(self.samples) > 1 and self.samples[0][0] < since_us:
            self.samples.popleft()
        return self.samples[0][1] if self.samples and self.samples[0][0] >= since_us else None

    @property
    def newest_us(self) -> int:
        return self.samples[-1][0] if self.samples else -(1 << 62)
