"""Counters first: what a process did, in numbers."""

from collections import Counter


class Counters:
    """Named whole numbers that only go up, except for gauges, which are set."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.gauges: dict[str, int] = {}

    def add(self, *, name: str, count: int = 1) -> None:
        self.counts[name] += count

    def gauge(self, *, name: str, value: int) -> None:
        self.gauges[name] = value

    def snapshot(self) -> dict[str, int]:
        return dict(sorted({**self.counts, **self.gauges}.items()))
