"""Probes backends that keep a job waiting, and gives their jobs up where they can't be reached."""

from collections import Counter

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import ErrorCode
from .connection_pools import ConnectionPools
from .position_query import query_position

CHECK_EVERY_US = 500_000
# a channel in use for so long has its backend probed
SILENT_US = 2_500_000
# probes in a row without an answer, after which the backend's jobs are given up
MAX_MISSES = 2


class SilentBackendProbe(CommandQueueMixin):
    """Owns the missed probes. Heartbeats may call a backend fit that this one HTTP proxy is cut off from."""

    def __init__(self, *, ctx: Context, connection_pools: ConnectionPools) -> None:
        self.ctx = ctx
        self.connection_pools = connection_pools
        self.misses: Counter[str] = Counter()
        self.asking: set[str] = set()
        self.open_queue()
        self.every(every_us=CHECK_EVERY_US, command=self._check, name="doubts")

    def _check(self) -> None:
        for name, pool in self.connection_pools.pools.items():
            if pool.oldest_us < SILENT_US:
                self.misses.pop(name, None)
            elif name not in self.asking:
                self.asking.add(name)
                self.ctx.spawn(work=self._probe(name=name), name=f"doubt.{name}")

    async def _probe(self, *, name: str) -> None:
        try:
            reading = await query_position(connection_pools=self.connection_pools, name=name)
        finally:
            self.asking.discard(name)
        # a slow statement is no sign of anything while its backend still answers other questions
        if reading.is_ok() or reading.error.code not in (ErrorCode.NO_RESPONSE, ErrorCode.REQUEST_NOT_SENT):
            self.misses.pop(name, None)
            return
        self.misses[name] += 1
        pool = self.connection_pools.pool(name=name)
        if self.misses[name] >= MAX_MISSES and pool is not None:
            self.ctx.counters.add(name="jobs.givenUp")
            pool.expire_in_flight()
