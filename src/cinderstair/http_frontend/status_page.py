"""The status page: the state of an HTTP proxy and its view of the system."""

from typing import Any

from ..failover.database_failover import DatabaseFailover
from ..membership.heartbeat_table import HeartbeatTable
from ..membership.membership import Membership
from ..runtime.context import Context
from .connection_pools import ConnectionPools
from .session_replicas import SessionReplicas
from .session_replicator import SessionReplicator
from .sessions import Sessions
from .view import View


class StatusPage:
    """Collects the fields of `GET /status`."""

    def __init__(
        self,
        *,
        ctx: Context,
        view: View,
        membership: Membership,
        heartbeat_table: HeartbeatTable,
        connection_pools: ConnectionPools,
        sessions: Sessions,
        database_failover: DatabaseFailover,
        session_replicator: SessionReplicator,
        session_replicas: SessionReplicas,
    ) -> None:
        self.session_replicator = session_replicator
        self.session_replicas = session_replicas
        self.ctx = ctx
        self.view = view
        self.membership = membership
        self.heartbeat_table = heartbeat_table
        self.connection_pools = connection_pools
        self.sessions = sessions
        self.database_failover = database_failover

    def value(self) -> dict[str, Any]:
        """The fields of the page as JSON values."""
        configuration, roster = self.view.configuration, self.view.register.roster
        return {
            "stall": self.ctx.name,
            "site": self.ctx.site,
            "slot": self.view.proxy_ids.id_of(name=self.ctx.name),
            "viewCurrent": self.view.current,
            "configuration": None if configuration is None else configuration.version,
            "warnings": [] if configuration is None else list(configuration.warnings),
            "roster": {}
            if roster is None
            else {"epoch": roster.epoch, "vaults": [voter.name for voter in roster.voters]},
            "members": [
                {"name": m.name, "role": m.role, "site": m.site, "http": m.http, "standing": m.standing.name}
                for m in (self.membership.me, *self.membership.members.values())
            ],
            "slots": [{"id": number, "name": name} for number, name in self.view.proxy_ids.names],
            "leads": {
                database: {
                    "term": assignment.term,
                    "primary": assignment.primary,
                    "state": assignment.state,
                    "inSync": list(assignment.in_sync),
                    "joining": list(assignment.joining),
                }
                for database, assignment in sorted(self.view.primaries.items())
            },
            "held": {database: reason for database, reason in self.hold_reasons().items()},
            "windows": self._windows(),
            "duties": ["lead"] if self.database_failover.lease.held else [],
            "backends": {name: self._backend(name=name) for name in sorted(self.connection_pools.pools)},
            "shares": {
                database: list(names) for database, names in self.connection_pools.subsets_by_database.items()
            },
            "sessions": len(self.sessions.open),
            "sessionsOnOneStall": self.session_replicator.unreplicated,
            "copies": len(self.session_replicas.held),
            "queueMost": self.connection_pools.queue_limit,
        }

    def hold_reasons(self) -> dict[str, str]:
        """Reasons why a failover, replica change or window can't proceed, by database, as known to this proxy."""
        hold_reasons = {database: reason for database, reason in self.database_failover.reasons.items() if reason}
        return {
            **hold_reasons,
            **self.database_failover.replica_drain_blockers,
            **self.database_failover.primary_drain_blockers,
        }

    def _windows(self) -> dict[str, Any]:
        """For each configured window its stage, the backends and proxies it drains, and what is left to drain."""
        configuration = self.view.configuration
        leaving = self.view.leaving
        windows: dict[str, Any] = {}
        for window in () if configuration is None else configuration.windows:
            backends = [name for name, ws in leaving.backends.items() if window.name in ws]
            blockers = [
                f"{name} {'leads' if assignment.primary == name else 'is in sync for'} {database}"
                for database, assignment in sorted(self.view.primaries.items())
                for name in backends
                if name in (assignment.primary, *assignment.confirmers)
            ]
            windows[window.name] = {
                "stage": self.view.window_states.stage(window=window).name,
                "empties": window.drained.text,
                "backends": backends,
                "stalls": [name for name, ws in leaving.http_proxies.items() if window.name in ws],
                "left": blockers,
            }
        return windows

    def _backend(self, *, name: str) -> dict[str, Any]:
        pool, latest = self.connection_pools.pools[name], self.heartbeat_table.latest(name=name)
        return {
            "state": "unheard" if latest is None else latest.heartbeat.state,
            "fit": self.heartbeat_table.healthy(name=name),
            "ageUs": None if latest is None else self.heartbeat_table.age_us(name=name),
            "position": None if latest is None else latest.heartbeat.position,
            "channels": {
                "limit": pool.limit,
                "open": pool.open,
                "waiting": len(pool.waiters),
                "opened": pool.opened,
                "closed": pool.closed,
            },
        }
