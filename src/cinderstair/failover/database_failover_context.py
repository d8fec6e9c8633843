"""State shared by the steps of database failover."""

import asyncio
from dataclasses import dataclass

from ..http_frontend.connection_pools import ConnectionPools
from ..http_frontend.position_query import BackendPosition, query_position
from ..http_frontend.view import View
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from .blocking_reasons import BlockingReasons
from .database_assignments import DatabaseAssignments


@dataclass(kw_only=True)
class DatabaseFailoverContext:
    """The tables that the steps read, and `assignments`, through which they change assignments."""

    ctx: Context
    view: View
    heartbeat_table: HeartbeatTable
    connection_pools: ConnectionPools
    assignments: DatabaseAssignments
    blocking: BlockingReasons

    async def positions(self, *, names: tuple[str, ...]) -> dict[str, BackendPosition]:
        """The log positions of these backends by name; backends that do not answer are omitted."""
        results = await asyncio.gather(
            *(query_position(connection_pools=self.connection_pools, name=name, direct=True) for name in names)
        )
        return {name: result.ok for name, result in zip(names, results, strict=True) if result.is_ok()}

    def healthy(self, *, names: tuple[str, ...]) -> tuple[str, ...]:
        """The backends among `names` that are healthy by their heartbeats, in the same order."""
        return tuple(name for name in names if self.heartbeat_table.healthy(name=name))

    def in_maintenance(self, *, name: str) -> bool:
        """Whether an open maintenance window drains the backend."""
        return name in self.view.leaving.backends

    def staying(self, *, names: tuple[str, ...]) -> tuple[str, ...]:
        """The healthy backends among `names` that no open maintenance window drains, in the same order."""
        return tuple(name for name in self.healthy(names=names) if not self.in_maintenance(name=name))
