"""Whether this HTTP proxy reaches any backend at all, though the heartbeats call some of them fit."""

from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from .connection_pools import ConnectionPools
from .position_query import query_position

CHECK_EVERY_US = 500_000
# without an answer for so long, this proxy counts as cut off from all backends
ISOLATED_AFTER_US = 4_000_000


class BackendReachability(CommandQueueMixin):
    """Owns the time of the last answer from any backend.

    An HTTP proxy that sees none neither serves nor leads duties.
    """

    def __init__(self, *, ctx: Context, connection_pools: ConnectionPools, heartbeat_table: HeartbeatTable) -> None:
        self.ctx = ctx
        self.connection_pools = connection_pools
        self.heartbeat_table = heartbeat_table
        self.last_answer_us = ctx.now_us()
        self.last_check_us = ctx.now_us()
        self.open_queue()
        self.every(every_us=CHECK_EVERY_US, command=self._check, name="sight")

    @property
    def isolated(self) -> bool:
        """Whether no backend has answered for BLIND_US."""
        # measured between checks: a process that stood still has received nothing meanwhile, which proves nothing
        return self.last_check_us - self.last_answer_us > ISOLATED_AFTER_US

    def record_answer(self) -> None:
        """Records that a backend has answered just now."""
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
        # where no backend is fit, none can answer
        if not healthy:
            self.record_answer()
        elif now_us - self.last_answer_us > CHECK_EVERY_US:
            self.ctx.spawn(work=self._probe(name=self.ctx.rng.choice(healthy)), name="sight.ask")

    async def _probe(self, *, name: str) -> None:
        position = await query_position(connection_pools=self.connection_pools, name=name)
        if position.is_ok():
            self.record_answer()
