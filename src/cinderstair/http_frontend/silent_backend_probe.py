"""Whether a backend that keeps a job waiting can be reached from here at all."""

from collections import Counter

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import ErrorCode
from .connection_pools import ConnectionPools
from .position_query import query_position

LOOK_EVERY_US = 500_000
DOUBT_US = 2_500_000
MISSES = 2


class SilentBackendProbe(CommandQueueMixin):
    """Owns the doubts. The news may call a backend fit that this one HTTP proxy is cut off from."""

    def __init__(self, *, ctx: Context, connection_pools: ConnectionPools) -> None:
        self.ctx = ctx
        self.connection_pools = connection_pools
        self.misses: Counter[str] = Counter()
        self.asking: set[str] = set()
        self.open_queue()
        self.every(every_us=LOOK_EVERY_US, command=self._look, name="doubts")

    def _look(self) -> None:
        for name, pool in self.connection_pools.pools.items():
            if pool.oldest_us < DOUBT_US:
                self.misses.pop(name, None)
            elif name not in self.asking:
                self.asking.add(name)
                self.ctx.spawn(work=self._ask(name=name), name=f"doubt.{name}")

    async def _ask(self, *, name: str) -> None:
        try:
            reading = await query_position(connection_pools=self.connection_pools, name=name)
        finally:
            self.asking.discard(name)
        # a slow statement is no sign of anything while its backend still answers other questions
        if reading.is_ok() or reading.error.code not in (ErrorCode.WIRE_UNSURE, ErrorCode.WIRE_UNSENT):
            self.misses.pop(name, None)
            return
        self.misses[name] += 1
        pool = self.connection_pools.pool(name=name)
        if self.misses[name] >= MISSES and pool is not None:
            self.ctx.counters.add(name="jobs.givenUp")
            pool.give_up()
