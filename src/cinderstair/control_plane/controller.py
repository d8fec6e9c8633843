"""The control daemon of a machine with a disk: a register replica, and beside it what rests on the register."""

import asyncio
from collections.abc import Callable

from expression import Ok, Result

from ..config.service_plan import PLAN_KEY, read_service_plan
from ..consensus.register_replica import RegisterReplica
from ..consensus.register_view import RegisterView
from ..failover.backend_control import BackendControl, Promoter
from ..failover.backend_poller import PROBE_WAIT_US
from ..failover.reachability_votes import ReachabilityVotes
from ..failover.service_failover import ServiceFailover
from ..failover.shard_map_coordinator import Handover, ShardMapCoordinator
from ..failover.shard_votes import ProxyVote
from ..membership.announcement import Announcement, read_announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import CONTROLLER, OPINION, SUSPECT
from ..runtime.packer import Packer
from ..runtime.settings import Settings
from ..runtime.unpacker import Unpacker
from .announcer import Announcer
from .orders import Orders
from .proxy_census import ProxyCensus
from .proxy_id_assigner import ProxyIdAssigner
from .relay import Relay
from .shard_map_handler import ShardMapHandler
from .status_text import status_text

VIEW_EVERY_US = 200_000
HEARTBEAT_PULL_PERIOD_US = 250_000
# why: two that are asked at the same moment bring the same beats twice
HEARTBEAT_PULL_PEERS = 1
OPINION_WAIT_US = 900_000
TELL_WAIT_US = 400_000
TROUBLE_EVERY_US = 250_000
SUBMIT_TRIES = 4
CENSUS_EVERY_US = 200_000


class Controller:
    """Hears backends and operators, answers proxies, and holds duties under the register's leases."""

    def __init__(
        self,
        *,
        ctx: Context,
        settings: Settings,
        control: BackendControl,
        promoter: Promoter,
        halt: Callable[[str], None],
        quiet_us: int,
        proxy_lease_us: int,
        handover: Handover | None = None,
    ) -> None:
        self.ctx = ctx
        self.settings = settings
        self.control = control
        self.promoter = promoter
        self.register_replica = RegisterReplica(ctx=ctx, settings=settings, halt=halt)
        self.quiet_us = quiet_us
        self.proxy_lease_us = proxy_lease_us
        self.handover = handover
        self.troubled_us: dict[str, int] = {}

    async def start(self) -> Result[None, CinderstairError]:
        started = await self.register_replica.start()
        if started.is_error():
            return started
        ctx, register_replica = self.ctx, self.register_replica
        assert register_replica.membership is not None
        self.heartbeat_table: HeartbeatTable[Announcement] = HeartbeatTable(
            ctx=ctx,
            dispatcher=register_replica.dispatcher,
            membership=register_replica.membership,
            read=lambda unpacker: read_announcement(unpacker=unpacker),
            peers=self._neighbours,
            every_us=HEARTBEAT_PULL_PERIOD_US,
            quiet_us=self.quiet_us,
            pull_from=HEARTBEAT_PULL_PEERS,
        )
        self.view = RegisterView(
            ctx=ctx, register=register_replica.register, every_us=VIEW_EVERY_US, lease_us=self.proxy_lease_us
        )
        self.relay = Relay(
            ctx=ctx,
            dispatcher=register_replica.dispatcher,
            view=self.view,
            heartbeat_table=self.heartbeat_table,
            controllers=self._controllers,
            on_link_failure=self._troubled,
            shorten=self._shorten,
        )
        self.duty = ServiceFailover(
            ctx=ctx,
            register=register_replica.register,
            view=self.view,
            heartbeat_table=self.heartbeat_table,
            control=self.control,
            promoter=self.promoter,
            reachability_poll=self._reachability_votes,
            lease_us=self.proxy_lease_us,
        )
        self.census = ProxyCensus(
            ctx=ctx,
            dispatcher=register_replica.dispatcher,
            relay=self.relay,
            neighbours=self._neighbours,
            word=lambda: (self.shards.state.turn, self.shards.state.phase),
        )
        self.proxy_ids = ProxyIdAssigner(
            ctx=ctx, register=register_replica.register, view=self.view, census=self.census
        )
        self.shards = ShardMapCoordinator(
            ctx=ctx,
            register=register_replica.register,
            view=self.view,
            census=self._census,
            all_controllers_notified=lambda state: self.census.reported(word=(state.turn, state.phase)),
            planned=self._planned,
            handover=self.handover,
            lease_us=self.proxy_lease_us,
            under_way_us=self.settings.underWayUs,
        )
        self.announcer = Announcer(
            ctx=ctx, dispatcher=register_replica.dispatcher, heartbeat_table=self.heartbeat_table, voters=self._voters
        )
        self.view.post(command=self.view.pull, once="view")
        self.heartbeat_table.begin()
        self.orders = Orders(register=register_replica.register, view=self.view)
        self.shard_map_handler = ShardMapHandler(
            dispatcher=register_replica.dispatcher,
            register=register_replica.register,
            shards=self.shards,
            plan=lambda: self.duty.plan,
            planned=self._planned,
            brings=lambda: self.handover is not None,
        )
        register_replica.dispatcher.add_handler(message_type=CONTROLLER, handler=self._status_asked)
        register_replica.dispatcher.add_handler(message_type=SUSPECT, handler=self._suspected)
        register_replica.dispatcher.add_handler(message_type=OPINION, handler=self._opinion)
        return Ok(None)

    def _controllers(self) -> tuple[str, ...]:
        """The record addresses of all control daemons that are known to be there."""
        membership = self.register_replica.membership
        others = [] if membership is None else [member.records for member in membership.alive(role="vault")]
        return tuple(sorted({self.settings.records, *others}))

    def _voters(self) -> tuple[str, ...]:
        """The record addresses of those that vote; none while no roster is known."""
        roster = self.register_replica.register.roster or self.register_replica.roster
        return () if roster is None else tuple(voter.address for voter in roster.voters)

    def _neighbours(self) -> list[str]:
        """The others: those met, those that vote, and while nobody votes yet the seeds."""
        roster = self.register_replica.roster or self.register_replica.register.roster
        voters = self.settings.seeds if roster is None else tuple(voter.address for voter in roster.voters)
        addresses = dict.fromkeys((*self._controllers(), *voters))
        return [address for address in addresses if address != self.settings.records]

    async def _census(self) -> dict[str, ProxyVote]:
        return dict(await self.census.gather(every_us=CENSUS_EVERY_US))

    def _planned(self, database: str) -> str:
        plan = self.duty.plan
        route = None if plan is None else plan.routes.get(database)
        return "" if route is None else route.service

    def _shorten(self, key: str, value: bytes) -> bytes:
        """Proxies act on the compiled plan; the operator's document stays here."""
        if key != PLAN_KEY or not value:
            return value
        return read_service_plan(data=value).bytes(with_document=False)

    # -- backends --

    async def receive(self, *, announcement: Announcement) -> bool:
        """A backend's word about itself; whether it may be acknowledged.

        What is acknowledged here alone would be lost with this daemon, or known to nobody while it is cut off.
        """
        self.heartbeat_table.receive(heartbeat=announcement)
        if announcement.state != READY:
            return await self.announcer.spread(announcement=announcement)
        return self.view.current

    async def depart(self, *, name: str) -> bool:
        """A backend's deregistration, whether or not it was ever heard of here; whether it may be acknowledged."""
        return await self.announcer.depart(name=name)

    def _troubled(self, name: str, proxy: str) -> None:
        """A proxy finds a backend silent; the holder of the duty is told, wherever it is."""
        now_us = self.ctx.now_us()
        # why: a copy that is gone is read round by each proxy; only a primary's loss is anybody's duty
        if not any(lead.primary == name for lead in self.duty.primaries.values()):
            return
        if now_us - self.troubled_us.get(name, -TROUBLE_EVERY_US) < TROUBLE_EVERY_US:
            return
        self.troubled_us[name] = now_us
        self.ctx.counters.add(name="promotion.suspicions")
        if self.duty.lease.held:
            self.duty.suspect(name=name)
            return
        body = Packer().u8(value=SUSPECT).text(value=name).bytes()
        for address in self._neighbours():
            self.ctx.spawn(
                work=self.ctx.peer_client.request(address=address, body=body, wait_us=TELL_WAIT_US),
                name="suspect.tell",
            )

    async def _suspected(self, unpacker: Unpacker) -> bytes:
        name = unpacker.text()
        unpacker.done()
        if self.duty.lease.held:
            self.duty.suspect(name=name)
        return b"\0"

    async def _opinion(self, unpacker: Unpacker) -> bytes:
        """Whether a backend can be reached from here."""
        name = unpacker.text()
        unpacker.done()
        heard = self.heartbeat_table.latest(name=name)
        if heard is None:
            raise ValueError("never heard of it")
        state = await self.control.state(backend=heard.heartbeat, wait_us=PROBE_WAIT_US)
        return Packer().u8(value=int(state.is_ok() or state.error.code != ErrorCode.WIRE_UNSENT)).bytes()

    async def _reachability_votes(self, name: str) -> ReachabilityVotes:
        """What the other control daemons say about whether they reach a backend."""
        body = Packer().u8(value=OPINION).text(value=name).bytes()
        asks = [
            self.ctx.peer_client.request(address=address, body=body, wait_us=OPINION_WAIT_US)
            for address in self._neighbours()
        ]
        answers = [result.ok for result in await asyncio.gather(*asks) if result.is_ok() and result.ok]
        return ReachabilityVotes(reachable=sum(answer[0] for answer in answers), answered=len(answers))

    # -- operators --

    async def _status_asked(self, unpacker: Unpacker) -> bytes:
        unpacker.done()
        return Packer().text(value="").text(value=status_text(controller=self)).bytes()

    async def drain(self) -> None:
        """A planned stop: hands its duties back, then deregisters."""
        await asyncio.gather(self.duty.lease.drop(), self.proxy_ids.lease.drop(), self.shards.lease.drop())
        await self.register_replica.drain()

    def resettle(self, *, settings: Settings) -> None:
        self.settings = settings
        self.register_replica.resettle(settings=settings)
