"""The log position that a replica must have reached for a read on it to be fresh enough."""

from bisect import bisect_left, insort
from operator import attrgetter
from typing import NamedTuple

from ..runtime.position import Position

# Samples that are closer together than this are thinned out.
MIN_INTERVAL_US = 20_000
MAX_SAMPLES = 256
# Earlier than any moment of a proxy's clock.
LONG_AGO_US = -(1 << 62)


class PositionSample(NamedTuple):
    """A primary's position, and when it was asked for, by this proxy's clock."""

    requested_us: int
    position: Position


_requested_us = attrgetter("requested_us")


class Freshness:
    """Samples of one primary's position, ordered by the moment at which they were asked for.

    A sample asked for at t is at or past every commit that was acknowledged before t. No clocks of two machines are
    compared. `wanted_us`: when a read last needed a sample; `wanted_age_us`: the smallest maximum age of such reads.
    """

    def __init__(self) -> None:
        self.samples: list[PositionSample] = []
        self.wanted_us = LONG_AGO_US
        self.wanted_age_us = 0

    def note(self, *, requested_us: int, position: Position) -> None:
        """Takes a sample of a backend that was known to be the primary when it was asked."""
        index = bisect_left(self.samples, requested_us, key=_requested_us)
        # A later sample with no higher position serves every read that this one would.
        if any(sample.position <= position for sample in self.samples[index:]):
            return
        # This sample in turn replaces earlier ones with no lower position.
        while index and self.samples[index - 1].position >= position:
            index -= 1
            del self.samples[index]
        if index > 1 and requested_us - self.samples[index - 2].requested_us < MIN_INTERVAL_US:
            del self.samples[index - 1]
        insort(self.samples, PositionSample(requested_us, position), key=_requested_us)
        del self.samples[:-MAX_SAMPLES]

    def fence(self, *, as_of_us: int, position: Position) -> None:
        """Drops samples past a fence: nothing past it was acknowledged before `as_of_us`, and it may be cut off."""
        self.samples = [sample for sample in self.samples if sample.position <= position]
        if not self.samples or self.samples[-1].requested_us < as_of_us:
            self.samples.append(PositionSample(as_of_us, position))

    def needed(self, *, since_us: int) -> Position | None:
        """A position at or past all that was acknowledged before `since_us`; None where none was sampled since."""
        index = bisect_left(self.samples, since_us, key=_requested_us)
        return self.samples[index].position if index < len(self.samples) else None

    @property
    def newest_us(self) -> int:
        """When the newest sample was asked for; LONG_AGO_US where there is none."""
        return self.samples[-1].requested_us if self.samples else LONG_AGO_US
