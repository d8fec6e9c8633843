"""Automatic failover of services whose backends replicate and confirm commits themselves.

This module decides which step a service needs. The steps are implemented in `primary_monitor` (whether and why the
primary must be replaced), `switchover` (a reachable primary steps down), `replica_fencing` (the replicas of an
unreachable primary are paused), `replica_resuming` (they are resumed), `successor` (choice of the next primary),
`successor_check` (the successor has every acknowledged commit) and `promotion` (promotes the successor and waits
until it serves). `primary_replacement` runs them one after the other.
"""

from collections.abc import Awaitable, Callable

from expression import Ok, Result

from ..config.service_plan import PLAN_KEY, Service, ServicePlan, read_service_plan
from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from .acknowledged_commits import NotifyProxies
from .backend_control import BackendControl, Promoter
from .backend_poller import BackendPoller
from .blocking_reasons import BlockingReasons
from .deregistrations import Deregistrations
from .primary_monitor import PrimaryMonitor
from .primary_replacement import PrimaryReplacement
from .promotion import Promotion
from .reachability_votes import ReachabilityPoll
from .replica_fencing import ReplicaFencing
from .replica_records import ReplicaRecords
from .replica_resuming import ReplicaResuming
from .service_assignments import ServiceAssignments
from .service_failover_context import ServiceFailoverContext
from .service_members import ServiceMembers
from .service_primary import PrimaryState, ServicePrimary
from .singleton_role import CONTROL_DAEMONS, SingletonRoleMixin
from .successor_check import SuccessorCheck
from .switchover import Switchover

TIMER_PERIOD_US = 100_000
SERVICE_FAILOVER_LEASE = "promotion"
FENCE_KEY = "promotion.fence"


class ServiceFailover(SingletonRoleMixin):
    """Runs one failover step per service at each timer tick while this controller holds the failover lease.

    Owns the plan as last read from the register and the set of services with a step in progress; the assignments are
    in the register.

    Invariant: every step is a compare-and-set on the service's assignment, so two concurrent lease holders can't
    overwrite each other's steps.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: RegisterView,
        heartbeat_table: HeartbeatTable[Announcement],
        control: BackendControl,
        promoter: Promoter,
        reachability_poll: ReachabilityPoll,
        notify_proxies: NotifyProxies,
        refresh_heartbeats: Callable[[], Awaitable[None]],
        lease_us: int,
    ) -> None:
        """:param notify_proxies, refresh_heartbeats: see `ServiceFailoverContext`.
        :param lease_us: how long a proxy's view of the register stays current, in microseconds.
        """
        self.ctx = ctx
        self.register = register
        self.view = view
        self.lease = Lease(
            ctx=ctx, register=register, name=SERVICE_FAILOVER_LEASE, contenders=lambda: CONTROL_DAEMONS
        )
        self.plan: ServicePlan | None = None
        # services with a step in progress
        self.active: set[str] = set()
        # 0 until this lease holder has allocated one
        self.fence_number = 0
        view.changes.subscribe(self._changed)
        self.failover = ServiceFailoverContext(
            ctx=ctx,
            assignments=ServiceAssignments(
                ctx=ctx, register=register, view=view, lease=self.lease, view_lease_us=lease_us
            ),
            members=ServiceMembers(heartbeat_table=heartbeat_table),
            control=control,
            poller=BackendPoller(ctx=ctx, control=control),
            blocking=BlockingReasons(ctx=ctx),
            notify_proxies=notify_proxies,
            refresh_heartbeats=refresh_heartbeats,
        )
        self._build_steps(heartbeat_table=heartbeat_table, promoter=promoter, reachability_poll=reachability_poll)
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="promotion")

    def _build_steps(
        self,
        *,
        heartbeat_table: HeartbeatTable[Announcement],
        promoter: Promoter,
        reachability_poll: ReachabilityPoll,
    ) -> None:
        failover = self.failover
        self.monitor = PrimaryMonitor(
            ctx=failover.ctx,
            heartbeat_table=heartbeat_table,
            members=failover.members,
            control=failover.control,
            reachability_poll=reachability_poll,
        )
        self.records = ReplicaRecords(
            ctx=failover.ctx,
            register=self.register,
            view=self.view,
            lease=self.lease,
            members=failover.members,
        )
        self.deregistrations = Deregistrations(
            ctx=failover.ctx,
            heartbeat_table=heartbeat_table,
            members=failover.members,
            records=self.records,
            control=failover.control,
            reachability_poll=reachability_poll,
        )
        self.fencing = ReplicaFencing(failover=failover, deregistrations=self.deregistrations, records=self.records)
        self.resuming = ReplicaResuming(failover=failover, fencing=self.fencing)
        self.switchover = Switchover(failover=failover, monitor=self.monitor)
        self.promotion = Promotion(
            failover=failover,
            fencing=self.fencing,
            resuming=self.resuming,
            successor_check=SuccessorCheck(failover=failover, fencing=self.fencing),
            promoter=promoter,
            fence_number=lambda: self.fence_number,
            find_backend=self.records.find,
        )
        self.replacement = PrimaryReplacement(
            failover=failover,
            switchover=self.switchover,
            fencing=self.fencing,
            promotion=self.promotion,
            find_backend=self.records.find,
        )

    @property
    def primaries(self) -> dict[str, ServicePrimary]:
        """The assignments by service, as last read from the register."""
        return self.failover.assignments.primaries

    @property
    def reasons(self) -> dict[str, str]:
        """Why a service's failover is not complete, by service; empty if nothing blocks it."""
        return self.failover.blocking.reasons

    def suspect(self, *, name: str) -> None:
        """Takes a report that a backend is unreachable or unresponsive.

        If this controller holds the lease, it probes the backend itself at once.
        """
        self.monitor.suspect(name=name)
        self.post(command=self._on_timer, once="promotion")

    def _changed(self, key: str) -> None:
        found = self.view.known.get(key)
        if key == PLAN_KEY and found is not None and found.value:
            self.plan = read_service_plan(data=found.value)

    # -- the role --

    def on_role_gained(self) -> None:
        """Discards state of an earlier term as lease holder; see `SingletonRoleMixin`."""
        self.ctx.log.info(
            "acquired the service failover lease; this controller now manages the primaries of all services"
        )
        self.fencing.assume_all_fenced()
        self.fence_number = 0

    async def _on_timer(self) -> None:
        await self.renew_role()
        if not self.may_act or self.plan is None:
            return
        if not self.fence_number and not await self._take_fence_number():
            return
        for service in self.plan.services.values():
            if service.name not in self.active:
                self.active.add(service.name)
                self.ctx.spawn(work=self._run_step(service=service), name=f"failover.{service.name}")

    async def _take_fence_number(self) -> bool:
        """Allocates a fence number above that of every earlier lease holder; whether that is written.

        The platform rejects delayed calls of earlier holders by their lower numbers.
        """

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            return Ok((int.from_bytes(data, "big") + 1).to_bytes(8, "big"))

        result = await self.register.change(key=FENCE_KEY, decide=decide)
        if result.is_ok():
            self.fence_number = int.from_bytes(result.ok.value, "big")
        return result.is_ok()

    # -- one service --

    async def _run_step(self, *, service: Service) -> None:
        try:
            if self.failover.may_retry(service=service.name):
                await self._step(service=service)
        finally:
            self.active.discard(service.name)

    async def _step(self, *, service: Service) -> None:
        """Runs the one step that the service needs now."""
        name = service.name
        assignment = self.primaries.get(name)
        if assignment is None:
            await self._adopt_first_primary(service=name)
            return
        recorded = True
        if assignment.state == PrimaryState.settled:
            self._settle_deregistrations(service=name, primary=assignment.primary)
            recorded = self.records.update(
                service=name, primary=assignment.primary, settled=self.deregistrations.exited
            )
        if assignment.state == PrimaryState.moving:
            await self.promotion.finish(service=service, assignment=assignment)
            return
        assigned_us = self.failover.assignments.since_us[name]
        reason = await self.monitor.move_reason(primary=assignment.primary, assigned_us=assigned_us)
        if reason is not None:
            if reason.primary_answers and assignment.state == PrimaryState.settled:
                # A replica that is still paused can't catch up with the primary that it is to replace.
                self.resuming.start_resuming(service=name, assignment=assignment)
            # A later lease holder learns from the record whose replicas a fence has to count.
            if recorded:
                await self.replacement.replace(service=service, assignment=assignment, reason=reason)
        elif self.resuming.confirmation_due(service=name):
            await self.resuming.confirm(service=name, assignment=assignment)
        elif not self.resuming.start_resuming(service=name, assignment=assignment):
            await self.failover.assignments.reopen(service=name, assignment=assignment)

    def _settle_deregistrations(self, *, service: str, primary: str) -> None:
        members = self.failover.members
        self.deregistrations.settle(
            service=service,
            primary=members.latest(name=primary),
            replicas=members.of_service(service=service),
        )

    async def _adopt_first_primary(self, *, service: str) -> None:
        """Assigns a service without any assignment to the backend that reports itself primary in the highest term."""
        members = self.failover.members.of_service(service=service)
        candidates = [each for each in members if each.is_primary and each.state == READY]
        states = await self.failover.poller.states(members=candidates)
        reporting = {name: state for name, state in states.items() if state.is_primary}
        if not reporting:
            self.failover.blocking.report(name=service, reason="no reachable backend reports that it is primary")
            self.failover.retry_later(service=service)
            return
        name = max(reporting, key=lambda each: reporting[each].term)
        assignment = ServicePrimary(term=reporting[name].term, primary=name, state=PrimaryState.settled)
        await self.failover.assignments.compare_and_set(service=service, old=None, new=assignment)
