"""Collects a controller's status and serves it to operators."""

from ..consensus.lease import Lease
from ..consensus.register_replica import RegisterReplica
from ..consensus.register_view import RegisterView
from ..failover.service_failover import ServiceFailover
from ..failover.shard_map_coordinator import ShardMapCoordinator
from ..membership.announcement import Announcement
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.message_types import MessageType
from ..runtime.unpacker import Unpacker
from .controller_status import BackendStatus, ControllerStatus, QuorumStatus, ServiceStatus, VoterStatus
from .operator_answer import operator_answer
from .relay import Relay
from .status_text import status_text

RECENT_PROXY_US = 10_000_000


class StatusHandler:
    """Serves the status as text.

    :param leases: the controller's leases by the names shown to operators.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        register_replica: RegisterReplica,
        view: RegisterView,
        heartbeat_table: HeartbeatTable[Announcement],
        relay: Relay,
        service_failover: ServiceFailover,
        shards: ShardMapCoordinator,
        leases: dict[str, Lease],
    ) -> None:
        self.ctx = ctx
        self.register_replica = register_replica
        self.view = view
        self.heartbeat_table = heartbeat_table
        self.relay = relay
        self.service_failover = service_failover
        self.shards = shards
        self.leases = leases
        register_replica.dispatcher.add_handler(message_type=MessageType.CONTROLLER, handler=self._on_status)

    async def _on_status(self, unpacker: Unpacker) -> bytes:
        unpacker.done()
        return operator_answer(text=status_text(status=self.snapshot())).bytes()

    def snapshot(self) -> ControllerStatus:
        """The controller's current status; lists the proxies that asked within `RECENT_PROXY_US`."""
        plan = self.service_failover.plan
        proxies = self.relay.recent_proxies(within_us=RECENT_PROXY_US)
        return ControllerStatus(
            name=self.ctx.name,
            register_age_us=self.ctx.now_us() - self.view.as_of_us,
            current=self.view.current,
            plan_version=None if plan is None else plan.version,
            shard_state=self.shards.state,
            withdrawn_reason=self.shards.reason,
            quorum=self._quorum(),
            services=self._services(),
            backends=self._backends(),
            proxies=tuple(sorted(proxies, key=lambda proxy: proxy.name)),
            leases_held=tuple(name for name, lease in self.leases.items() if lease.held),
            counters=self.ctx.counters.snapshot(),
        )

    def _quorum(self) -> QuorumStatus | None:
        replica = self.register_replica
        roster, membership, missing_since_us = replica.roster, replica.membership, replica.missing_votes.since_us
        if roster is None:
            return None
        return QuorumStatus(
            voters=tuple(
                VoterStatus(
                    name=voter.name,
                    address=voter.address,
                    standing=None if membership is None else membership.standing(name=voter.name),
                )
                for voter in roster.voters
            ),
            alive_count=len(replica.alive_voters()),
            target_count=replica.max_voters,
            epoch=roster.epoch,
            tolerable_losses=replica.tolerable_losses(),
            votes_missing_us=None if missing_since_us is None else self.ctx.now_us() - missing_since_us,
            standbys=tuple(replica.standbys()),
        )

    def _services(self) -> tuple[ServiceStatus, ...]:
        reasons = self.service_failover.reasons
        return tuple(
            ServiceStatus(name=name, primary=primary, blocked_reason=reasons.get(name, ""))
            for name, primary in sorted(self.service_failover.primaries.items())
        )

    def _backends(self) -> tuple[BackendStatus, ...]:
        return tuple(
            BackendStatus(announcement=received.heartbeat, silent=self.heartbeat_table.silent(name=name))
            for name, received in sorted(self.heartbeat_table.newest.items())
        )
