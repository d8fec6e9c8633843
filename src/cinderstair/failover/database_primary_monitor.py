"""Decides whether the primary of a database must be replaced, and why. It changes nothing."""

from ..config.configuration import Configuration
from ..http_frontend.position_query import query_position
from ..membership.heartbeat import EMPTYING
from ..membership.heartbeat_table import SILENT_AFTER_US
from .database_failover_context import DatabaseFailoverContext
from .database_primary import DatabasePrimary
from .move_reason import MoveReason

# Heartbeats are missed only after this daemon has run for as long as they may take, and one look more.
FIRST_LOOK_US = 200_000


class DatabasePrimaryMonitor:
    """Invariant: a daemon that hears no backend at all, and so may itself be cut off, never replaces a primary."""

    def __init__(self, *, failover: DatabaseFailoverContext) -> None:
        self.failover = failover
        self.started_us = failover.ctx.now_us()

    async def move_reason(self, *, assignment: DatabasePrimary, configuration: Configuration) -> MoveReason | None:
        """Why this backend can't stay primary; None where it can."""
        name, table = assignment.primary, self.failover.heartbeat_table
        if name not in configuration.backends:
            return MoveReason.UNDECLARED
        heard = table.latest(name=name)
        if heard is not None and not table.silent(name=name):
            if heard.heartbeat.state == EMPTYING:
                return MoveReason.EMPTYING
            # A primary that was restarted leads no more, whatever the register still says.
            return MoveReason.RESTARTED if heard.heartbeat.incarnation > assignment.incarnation else None
        running_us = self.failover.ctx.now_us() - self.started_us
        if running_us < SILENT_AFTER_US + FIRST_LOOK_US or not table.connected:
            return None
        position = await query_position(connection_pools=self.failover.connection_pools, name=name, direct=True)
        return None if position.is_ok() and position.ok.is_primary else MoveReason.HEARTBEATS_MISSED
