"""Whether a backend that keeps a job waiting can be reached from here at all."""

from collections import Counter

from ..runtime.context import Context
from ..runtime.kind import Kind
from ..runtime.ownermixin import OwnerMixin
from .gauge import read_gauge
from .yard import Yard

LOOK_EVERY_US = 500_000
DOUBT_US = 2_500_000
MISSES = 2


class Doubts(OwnerMixin):
    """Owns the doubts. The news may call a backend fit that this one stall is cut off from."""

    def __init__(self, *, ctx: Context, yard: Yard) -> None:
        self.ctx = ctx
        self.yard = yard
        self.misses: Counter[str] = Counter()
        self.asking: set[str] = set()
        self.open_queue()
        self.every(every_us=LOOK_EVERY_US, command=self._look, name="doubts")

    def _look(self) -> None:
        for name, pool in self.yard.pools.items():
            if pool.oldest_us < DOUBT_US:
                self.misses.pop(name, None)
            elif name not in self.asking:
                self.asking.add(name)
                self.ctx.spawn(work=self._ask(name=name), name=f"doubt.{name}")

    async def _ask(self, *, name: str) -> None:
        try:
            reading = await read_gauge(yard=self.yard, name=name)
        finally:
            self.asking.discard(name)
        # why: a slow statement is no sign of anything while its backend still answers other questions
        if reading.is_ok() or reading.error.kind not in (Kind.wireUnsure, Kind.wireUnsent):
            self.misses.pop(name, None)
            return
        self.misses[name] += 1
        pool = self.yard.pool(name=name)
        if self.misses[name] >= MISSES and pool is not None:
            self.ctx.counters.add(name="jobs.givenUp")
            pool.give_up()
