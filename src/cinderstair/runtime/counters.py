"""The metrics of a process."""

from collections import Counter


class Counters:
    """Counters, which only grow, and gauges, which are set. Both hold whole numbers."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, int] = {}

    def add(self, *, name: str, count: int = 1) -> None:
        """Increase a counter, which starts at 0."""
        self.counts[name] += count

    def gauge(self, *, name: str, value: int) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def snapshot(self) -> dict[str, int]:
        """Return a copy of all values, sorted by name."""
        return dict(sorted({**self.counts, **self.gauges}.items()))
