"""Probes backends that keep requests waiting, and aborts the requests where a backend is unreachable."""

from collections import Counter

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import ErrorCode
from .connection_pools import ConnectionPools
from .position_query import query_position

CHECK_EVERY_US = 500_000
# a backend is probed when a channel to it has been in use for this long
SILENT_US = 2_500_000
# consecutive unanswered probes after which the backend's requests are aborted
MAX_MISSED_PROBES = 2


class SilentBackendProbe(CommandQueueMixin):
    """Counts consecutive unanswered probes per backend.

    Detects a backend that only this HTTP proxy can't reach, while its heartbeats arrive by way of others.
    """

    def __init__(self, *, ctx: Context, connection_pools: ConnectionPools) -> None:
        self.ctx = ctx
        self.connection_pools = connection_pools
        self.missed_probes: Counter[str] = Counter()
        self.probing: set[str] = set()
        self.open_queue()
        self.every(every_us=CHECK_EVERY_US, command=self._check, name="silent_backends")

    def _check(self) -> None:
        for name, pool in self.connection_pools.pools.items():
            if pool.longest_hold_us < SILENT_US:
                self.missed_probes.pop(name, None)
            elif name not in self.probing:
                self.probing.add(name)
                self.ctx.spawn(work=self._probe(name=name), name=f"probe.{name}")

    async def _probe(self, *, name: str) -> None:
        try:
            position = await query_position(connection_pools=self.connection_pools, name=name)
        finally:
            self.probing.discard(name)
        # a slow statement is no fault while its backend answers position queries
        if position.is_ok() or position.error.code not in (ErrorCode.NO_RESPONSE, ErrorCode.REQUEST_NOT_SENT):
            self.missed_probes.pop(name, None)
            return
        self.missed_probes[name] += 1
        pool = self.connection_pools.pool(name=name)
        if self.missed_probes[name] >= MAX_MISSED_PROBES and pool is not None:
            self.ctx.counters.add(name="jobs.givenUp")
            pool.abort_requests()
