"""Detects that this HTTP proxy is cut off from all backends although heartbeats report some of them healthy."""

from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from .connection_pools import ConnectionPools
from .position_query import query_position

CHECK_EVERY_US = 500_000
# without any answer for this long, the proxy counts as cut off from all backends
ISOLATED_AFTER_US = 4_000_000


class BackendReachability(CommandQueueMixin):
    """Tracks the time of the last answer from any backend.

    While isolated, an HTTP proxy rejects requests and runs no failover.
    """

    def __init__(self, *, ctx: Context, connection_pools: ConnectionPools, heartbeat_table: HeartbeatTable) -> None:
        self.ctx = ctx
        self.connection_pools = connection_pools
        self.heartbeat_table = heartbeat_table
        self.last_answer_us = ctx.now_us()
        self.last_check_us = ctx.now_us()
        self.open_queue()
        self.every(every_us=CHECK_EVERY_US, command=self._check, name="reachability")

    @property
    def isolated(self) -> bool:
        """Whether no backend has answered for ISOLATED_AFTER_US."""
        # measured up to the last check: a paused process receives nothing, so a pause proves nothing about backends
        return self.last_check_us - self.last_answer_us > ISOLATED_AFTER_US

    def record_answer(self) -> None:
        """Records that a backend has just answered."""
        self.last_answer_us = max(self.last_answer_us, self.ctx.now_us())

    async def _check(self) -> None:
        now_us = self.ctx.now_us()
        if now_us - self.last_check_us > 2 * CHECK_EVERY_US:
            self.last_answer_us += now_us - self.last_check_us
        self.last_check_us = now_us
        healthy = [
            name
            for name in self.connection_pools.pools
            if self.heartbeat_table.healthy(name=name) and self.connection_pools.open(name=name)
        ]
        # without a healthy backend no answer can be expected, so silence does not count
        if not healthy:
            self.record_answer()
        elif now_us - self.last_answer_us > CHECK_EVERY_US:
            self.ctx.spawn(work=self._probe(name=self.ctx.rng.choice(healthy)), name="reachability.probe")

    async def _probe(self, *, name: str) -> None:
        position = await query_position(connection_pools=self.connection_pools, name=name)
        if position.is_ok():
            self.record_answer()
