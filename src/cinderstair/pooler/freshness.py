"""Samples of a primary's log position, and the position that a replica must have reached to serve a read."""

from bisect import bisect_left, insort
from operator import attrgetter
from typing import NamedTuple

from ..runtime.position import START, Position

# A sample is dropped when the samples before and after it are closer together than this.
MIN_INTERVAL_US = 20_000
MAX_SAMPLES = 256
# Earlier than any reading of a proxy's clock.
LONG_AGO_US = -(1 << 62)


class PositionSample(NamedTuple):
    """A primary's log position, and when it was requested, by this proxy's clock."""

    requested_us: int
    position: Position


_requested_us = attrgetter("requested_us")


class Freshness:
    """Samples of the log position of one service's primary, ordered by the time of their request.

    A sample requested at t is at or past every commit that was acknowledged before t. All times are by this proxy's
    clock. `wanted_us`: when a read last needed a sample; `wanted_age_us`: the smallest maximum age of recent reads.
    """

    def __init__(self) -> None:
        self.samples: list[PositionSample] = []
        self.wanted_us = LONG_AGO_US
        self.wanted_age_us = 0

    def note(self, *, requested_us: int, position: Position) -> None:
        """Adds a sample from a backend that was the confirmed primary when it was asked."""
        index = bisect_left(self.samples, requested_us, key=_requested_us)
        # A sample that was requested later and shows no higher position serves every read that this one would.
        if any(sample.position <= position for sample in self.samples[index:]):
            return
        # This sample in turn replaces earlier ones that show no lower position.
        while index and self.samples[index - 1].position >= position:
            index -= 1
            del self.samples[index]
        if index > 1 and requested_us - self.samples[index - 2].requested_us < MIN_INTERVAL_US:
            del self.samples[index - 1]
        insort(self.samples, PositionSample(requested_us, position), key=_requested_us)
        del self.samples[:-MAX_SAMPLES]

    def fence(self, *, as_of_us: int, position: Position) -> None:
        """Drops samples past a promotion's fence, and adds the fence itself as a sample.

        Nothing past the fence was acknowledged before `as_of_us`, and the promotion may discard it.
        """
        self.samples = [sample for sample in self.samples if sample.position <= position]
        if not self.samples or self.samples[-1].requested_us < as_of_us:
            self.samples.append(PositionSample(as_of_us, position))

    def position_since(self, *, since_us: int) -> Position | None:
        """A position at or past every commit acknowledged before `since_us`; None without a sample since then."""
        index = bisect_left(self.samples, since_us, key=_requested_us)
        return self.samples[index].position if index < len(self.samples) else None

    @property
    def newest_position(self) -> Position:
        """The position of the newest sample: the primary's log has reached it; START if there is no sample."""
        return self.samples[-1].position if self.samples else START

    @property
    def newest_us(self) -> int:
        """When the newest sample was requested; LONG_AGO_US if there is none."""
        return self.samples[-1].requested_us if self.samples else LONG_AGO_US
