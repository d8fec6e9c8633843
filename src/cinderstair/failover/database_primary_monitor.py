"""Decides whether the primary of a database must be replaced, and why. Has no side effects on backends."""

from ..config.configuration import Configuration
from ..http_frontend.position_query import query_position
from ..membership.heartbeat import EMPTYING
from ..membership.heartbeat_table import SILENT_AFTER_US
from .database_failover_context import DatabaseFailoverContext
from .database_primary import DatabasePrimary
from .move_reason import MoveReason

# Added to the heartbeat timeout after the daemon's start before missing heartbeats count, in microseconds.
STARTUP_MARGIN_US = 200_000


class DatabasePrimaryMonitor:
    """Checks primaries against the configuration and their heartbeats; owns the daemon's start time.

    Invariant: a daemon that receives no heartbeats at all, and may itself be partitioned, never replaces a primary.
    """

    def __init__(self, *, failover: DatabaseFailoverContext) -> None:
        self.failover = failover
        self.started_us = failover.ctx.now_us()

    async def move_reason(self, *, assignment: DatabasePrimary, configuration: Configuration) -> MoveReason | None:
        """Why the assigned backend can't stay primary; None if it can."""
        name, table = assignment.primary, self.failover.heartbeat_table
        if name not in configuration.backends:
            return MoveReason.UNDECLARED
        received = table.latest(name=name)
        if received is not None and not table.silent(name=name):
            if received.heartbeat.state == EMPTYING:
                return MoveReason.EMPTYING
            # A restarted process is not a primary any longer, even if the register still assigns it.
            return MoveReason.RESTARTED if received.heartbeat.incarnation > assignment.incarnation else None
        running_us = self.failover.ctx.now_us() - self.started_us
        if running_us < SILENT_AFTER_US + STARTUP_MARGIN_US or not table.connected:
            return None
        position = await query_position(connection_pools=self.failover.connection_pools, name=name, direct=True)
        return None if position.is_ok() and position.ok.is_primary else MoveReason.HEARTBEATS_MISSED
