"""The controller: a register replica and the services built on the register."""

import asyncio
from collections.abc import Callable

from expression import Ok, Result

from ..consensus.register_replica import RegisterReplica
from ..consensus.register_view import RegisterView
from ..failover.backend_control import BackendControl, Promoter
from ..failover.service_failover import ServiceFailover
from ..failover.shard_map_coordinator import Handover, ShardMapCoordinator
from ..failover.shard_state import ShardState
from ..failover.shard_votes import ProxyVote
from ..failover.view_expiry import view_expiry_us
from ..membership.announcement import Announcement, read_announcement
from ..membership.heartbeat_table import HeartbeatTable
from ..membership.membership import Membership
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from ..runtime.settings import Settings
from .announcer import Announcer
from .backend_registry import BackendRegistry
from .compiled_plan import without_document
from .controller_addresses import ControllerAddresses
from .controller_status import ControllerStatus
from .plan_store import PlanStore
from .proxy_census import ProxyCensus, ShardMapStep
from .proxy_id_assigner import ProxyIdAssigner
from .proxy_notifier import ProxyNotifier
from .reachability_poll import ReachabilityPoll
from .relay import Relay
from .shard_map_handler import ShardMapHandler
from .status_handler import StatusHandler
from .suspicion_reporter import SuspicionReporter

VIEW_PULL_PERIOD_US = 200_000
HEARTBEAT_PULL_PERIOD_US = 250_000
# two peers asked at once would send the same heartbeats twice
HEARTBEAT_PULL_PEERS = 1
CENSUS_PERIOD_US = 200_000


class Controller:
    """Constructs and connects the services of one controller; each service has its own module.

    `start` constructs them, so their attributes exist only after it has succeeded.

    :param halt: called with the reason when the disk fails, after which the process must end.
    :param silent_after_us: a backend without a heartbeat for this time counts as silent.
    :param proxy_lease_us: how long a view of the register, also a proxy's, stays current after a pull.
    :param handover: moves a database's data to another service; None where shard maps can't move data.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        settings: Settings,
        control: BackendControl,
        promoter: Promoter,
        halt: Callable[[str], None],
        silent_after_us: int,
        proxy_lease_us: int,
        handover: Handover | None = None,
    ) -> None:
        self.ctx = ctx
        self.settings = settings
        self.control = control
        self.promoter = promoter
        self.register_replica = RegisterReplica(ctx=ctx, settings=settings, halt=halt)
        self.addresses = ControllerAddresses(settings=settings, register_replica=self.register_replica)
        self.silent_after_us = silent_after_us
        self.proxy_lease_us = proxy_lease_us
        self.handover = handover

    async def start(self) -> Result[None, CinderstairError]:
        """Opens the register replica, then starts the other services; fails if the replica's disk can't be opened."""
        started = await self.register_replica.start()
        if started.is_error():
            return started
        membership = self.register_replica.membership
        if membership is None:
            raise RuntimeError("a register replica that has started has a membership")
        # timers fire in the order in which these services are constructed
        self._start_tables(membership=membership)
        self._start_relay()
        self._start_failover()
        self._start_proxy_ids()
        self._start_shards()
        self._start_backend_registry()
        self.view.post(command=self.view.pull, once="view")
        self.heartbeat_table.begin()
        self._start_operator_handlers()
        return Ok(None)

    def _start_tables(self, *, membership: Membership) -> None:
        self.heartbeat_table: HeartbeatTable[Announcement] = HeartbeatTable(
            ctx=self.ctx,
            dispatcher=self.register_replica.dispatcher,
            membership=membership,
            read=lambda unpacker: read_announcement(unpacker=unpacker),
            peers=self.addresses.peers,
            every_us=HEARTBEAT_PULL_PERIOD_US,
            silent_after_us=self.silent_after_us,
            pull_peers=HEARTBEAT_PULL_PEERS,
        )
        self.view = RegisterView(
            ctx=self.ctx,
            register=self.register_replica.register,
            every_us=VIEW_PULL_PERIOD_US,
            lease_us=self.proxy_lease_us,
        )

    def _start_relay(self) -> None:
        self.relay = Relay(
            ctx=self.ctx,
            dispatcher=self.register_replica.dispatcher,
            view=self.view,
            heartbeat_table=self.heartbeat_table,
            controllers=self.addresses.controllers,
            on_link_failure=lambda backend, proxy: self.suspicion_reporter.report(backend=backend),
            shorten=without_document,
        )

    def _start_failover(self) -> None:
        self.reachability_poll = ReachabilityPoll(
            ctx=self.ctx,
            dispatcher=self.register_replica.dispatcher,
            heartbeat_table=self.heartbeat_table,
            control=self.control,
            peers=self.addresses.peers,
        )
        self.proxy_notifier = ProxyNotifier(
            ctx=self.ctx,
            dispatcher=self.register_replica.dispatcher,
            view=self.view,
            relay=self.relay,
            peers=self.addresses.relaying_peers,
            expiry_us=view_expiry_us(lease_us=self.proxy_lease_us),
        )
        self.service_failover = ServiceFailover(
            ctx=self.ctx,
            register=self.register_replica.register,
            view=self.view,
            heartbeat_table=self.heartbeat_table,
            control=self.control,
            promoter=self.promoter,
            reachability_poll=self.reachability_poll.poll,
            notify_proxies=self.proxy_notifier.notify,
            refresh_heartbeats=self._refresh_heartbeats,
            lease_us=self.proxy_lease_us,
        )
        self.suspicion_reporter = SuspicionReporter(
            ctx=self.ctx,
            dispatcher=self.register_replica.dispatcher,
            service_failover=self.service_failover,
            peers=self.addresses.peers,
        )

    def _start_proxy_ids(self) -> None:
        self.census = ProxyCensus(
            ctx=self.ctx,
            dispatcher=self.register_replica.dispatcher,
            relay=self.relay,
            peers=self.addresses.peers,
            shard_map_step=lambda: _shard_map_step(self.shards.state),
        )
        self.proxy_id_assigner = ProxyIdAssigner(
            ctx=self.ctx, register=self.register_replica.register, view=self.view, census=self.census
        )

    def _start_shards(self) -> None:
        self.shards = ShardMapCoordinator(
            ctx=self.ctx,
            register=self.register_replica.register,
            view=self.view,
            census=self._gather_votes,
            all_controllers_notified=lambda state: self.census.peers_agree(step=_shard_map_step(state)),
            planned=self._planned_service,
            handover=self.handover,
            lease_us=self.proxy_lease_us,
            in_flight_us=self.settings.in_flight_us,
        )

    def _start_backend_registry(self) -> None:
        announcer = Announcer(
            ctx=self.ctx,
            dispatcher=self.register_replica.dispatcher,
            heartbeat_table=self.heartbeat_table,
            voters=self.addresses.voters,
            departure_record=self.service_failover.records,
        )
        self.backend_registry = BackendRegistry(
            heartbeat_table=self.heartbeat_table, announcer=announcer, view=self.view
        )

    def _start_operator_handlers(self) -> None:
        self.plan_store = PlanStore(register=self.register_replica.register, view=self.view)
        self.shard_map_handler = ShardMapHandler(
            dispatcher=self.register_replica.dispatcher,
            register=self.register_replica.register,
            shards=self.shards,
            plan=lambda: self.service_failover.plan,
            planned_service=self._planned_service,
            can_move_data=lambda: self.handover is not None,
        )
        self.status_handler = StatusHandler(
            ctx=self.ctx,
            register_replica=self.register_replica,
            view=self.view,
            heartbeat_table=self.heartbeat_table,
            relay=self.relay,
            service_failover=self.service_failover,
            shards=self.shards,
            leases={
                "promotions": self.service_failover.lease,
                "slots": self.proxy_id_assigner.lease,
                "shards": self.shards.lease,
            },
        )

    async def _refresh_heartbeats(self) -> None:
        await self.heartbeat_table.refresh(peers=tuple(self.addresses.relaying_peers()))

    async def _gather_votes(self) -> dict[str, ProxyVote]:
        return dict(await self.census.gather(every_us=CENSUS_PERIOD_US))

    def _planned_service(self, database: str) -> str:
        """The service to which the plan routes a database; empty if there is no plan or no route."""
        plan = self.service_failover.plan
        route = None if plan is None else plan.routes.get(database)
        return "" if route is None else route.service

    async def receive(self, *, announcement: Announcement) -> bool:
        """Records a backend's heartbeat; returns whether it may be acknowledged."""
        return await self.backend_registry.receive(announcement=announcement)

    async def deregister(self, *, name: str) -> bool:
        """Records a backend's deregistration; returns whether it may be acknowledged."""
        return await self.backend_registry.deregister(name=name)

    def status(self) -> ControllerStatus:
        """A snapshot of what this controller knows."""
        return self.status_handler.snapshot()

    async def drain(self) -> None:
        """Prepares a planned stop: releases the leases, then drains the register replica."""
        await asyncio.gather(
            self.service_failover.lease.drop(), self.proxy_id_assigner.lease.drop(), self.shards.lease.drop()
        )
        await self.register_replica.drain()

    def update_settings(self, *, settings: Settings) -> None:
        """Applies new settings to the running controller."""
        self.settings = self.addresses.settings = settings
        self.register_replica.update_settings(settings=settings)


def _shard_map_step(state: ShardState) -> ShardMapStep:
    return ShardMapStep(proposal=state.proposal, phase=state.phase)
