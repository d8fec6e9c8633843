"""Automatic failover of databases whose in-sync replicas the product tracks itself.

This module decides which step a database needs. The steps are implemented in `database_primary_monitor` (whether and
why the primary must be replaced), `maintenance_switchover` (planned moves for maintenance windows),
`database_promotion` (assigns and promotes a primary) and `in_sync_tracker` (membership of the in-sync set).
"""

from expression import Error, Result

from ..config.configuration import Configuration
from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.backend_reachability import BackendReachability
from ..http_frontend.connection_pools import ConnectionPools
from ..http_frontend.view import View
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .blocking_reasons import BlockingReasons
from .database_assignments import DatabaseAssignments
from .database_failover_context import DatabaseFailoverContext
from .database_primary import CLOSING, MOVING, DatabasePrimary
from .database_primary_monitor import DatabasePrimaryMonitor
from .database_promotion import DatabasePromotion
from .in_sync_tracker import InSyncTracker
from .maintenance_switchover import MaintenanceSwitchover
from .move_reason import MoveReason
from .platform import Platform
from .singleton_role import SingletonRoleMixin

TIMER_PERIOD_US = 200_000
# Time that the first assignment waits for all backends, in microseconds, since one that has not answered yet may have
# the longest log.
INITIAL_WAIT_US = 4_000_000
DATABASE_FAILOVER_LEASE = "lead"


class DatabaseFailover(SingletonRoleMixin):
    """Runs one failover step per database at each timer tick while this HTTP proxy holds the failover lease.

    Owns the set of databases with a step in progress; the assignments are in the register.

    Invariant: every step is a compare-and-set on the database's assignment, so two concurrent lease holders can't
    overwrite each other's steps.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: View,
        heartbeat_table: HeartbeatTable,
        connection_pools: ConnectionPools,
        platform: Platform,
        reachability: BackendReachability,
    ) -> None:
        self.ctx = ctx
        self.view: View = view
        self.reachability = reachability
        self.lease = Lease(
            ctx=ctx, register=register, name=DATABASE_FAILOVER_LEASE, contenders=lambda: len(view.proxy_ids.names)
        )
        self.failover = DatabaseFailoverContext(
            ctx=ctx,
            view=view,
            heartbeat_table=heartbeat_table,
            connection_pools=connection_pools,
            assignments=DatabaseAssignments(ctx=ctx, register=register, view=view, lease=self.lease),
            blocking=BlockingReasons(ctx=ctx),
        )
        self.monitor = DatabasePrimaryMonitor(failover=self.failover)
        self.maintenance = MaintenanceSwitchover(failover=self.failover)
        self.promotion = DatabasePromotion(failover=self.failover, platform=platform)
        self.in_sync = InSyncTracker(failover=self.failover)
        # databases with a step in progress
        self.active: set[str] = set()
        self.first_seen_us: dict[str, int] = {}
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="lead")

    @property
    def reasons(self) -> dict[str, str]:
        """Why a database's failover is not complete, by database; empty if nothing blocks it."""
        return self.failover.blocking.reasons

    @property
    def primary_drain_blockers(self) -> dict[str, str]:
        """Why a maintenance window can't drain a primary yet, by database."""
        return self.maintenance.drain_blockers

    @property
    def replica_drain_blockers(self) -> dict[str, str]:
        """Why a maintenance window can't drain an in-sync replica yet, by database."""
        return self.in_sync.drain_blockers

    # -- the role --

    def on_role_gained(self) -> None:
        """Discards state of an earlier term as lease holder; see `SingletonRoleMixin`."""
        self.ctx.log.info(
            "acquired the database failover lease; this HTTP proxy now manages the primaries of all databases"
        )
        self.in_sync.discard_measurements()

    async def _on_timer(self) -> None:
        # A daemon that reaches no backend can't promote any, so it releases the lease to a daemon that may.
        if self.reachability.isolated:
            if self.lease.held:
                self.ctx.log.warning(
                    "releasing the database failover lease: this HTTP proxy reaches no backend; check its network"
                )
                await self.lease.drop()
            return
        await self.renew_role()
        configuration = self.view.configuration
        if not self.lease.held:
            self._clear_blocking_reasons()
        if not self.may_act or configuration is None:
            return
        for database in configuration.databases:
            if database not in self.active:
                self.active.add(database)
                self.ctx.spawn(
                    work=self._run_step(database=database, configuration=configuration), name=f"failover.{database}"
                )

    def _clear_blocking_reasons(self) -> None:
        """Clears the blocking reasons, which only the lease holder reports."""
        self.failover.blocking.clear()
        self.maintenance.drain_blockers.clear()
        self.in_sync.drain_blockers.clear()

    # -- one database --

    async def _run_step(self, *, database: str, configuration: Configuration) -> None:
        try:
            await self._step(database=database, configuration=configuration)
        finally:
            self.active.discard(database)

    async def _step(self, *, database: str, configuration: Configuration) -> None:
        """Runs the one step that the database needs now."""
        assignment = self.failover.assignments.get(database=database)
        if assignment is None:
            await self._assign_first(database=database, configuration=configuration)
            return
        if assignment.state == MOVING:
            await self.promotion.finish(database=database, configuration=configuration, assignment=assignment)
            return
        reason = await self.monitor.move_reason(assignment=assignment, configuration=configuration)
        if reason is not None:
            await self.promotion.start(
                database=database, configuration=configuration, assignment=assignment, reason=reason
            )
        elif assignment.state == CLOSING:
            await self._continue_maintenance(database=database, configuration=configuration, assignment=assignment)
        elif not await self.maintenance.begin(database=database, assignment=assignment):
            await self.in_sync.update(database=database, configuration=configuration, assignment=assignment)

    async def _assign_first(self, *, database: str, configuration: Configuration) -> None:
        """Assigns a database without any assignment to the backend with the longest log.

        Requires answers of all backends or, after `INITIAL_WAIT_US`, of a majority.
        """
        names = configuration.databases[database]
        since_us = self.first_seen_us.setdefault(database, self.ctx.now_us())
        positions = await self.failover.positions(names=names)
        waited = self.ctx.now_us() - since_us > INITIAL_WAIT_US
        if len(positions) < len(names) and not (waited and len(positions) > len(names) // 2):
            reason = f"waiting for backends before the first assignment: {len(positions)} of {len(names)} answer"
            self.failover.blocking.report(name=database, reason=reason)
            return
        best = max(
            sorted(positions),
            key=lambda name: (positions[name].term, positions[name].received, positions[name].is_primary),
        )
        assignment = DatabasePrimary(
            term=max(position.term for position in positions.values()) + 1,
            primary=best,
            incarnation=positions[best].incarnation,
            state=MOVING,
        )
        await self.failover.assignments.compare_and_set(database=database, old=None, new=assignment)

    async def _continue_maintenance(
        self, *, database: str, configuration: Configuration, assignment: DatabasePrimary
    ) -> None:
        """Promotes another primary once open transactions have had `closeWait` to finish."""
        window = await self.maintenance.active_window(database=database, assignment=assignment)
        if not window:
            return
        close_us = configuration.amount(name="closeWait", database=database)
        if self.failover.assignments.age_us(database=database) >= close_us:
            await self.promotion.start(
                database=database,
                configuration=configuration,
                assignment=assignment,
                reason=MoveReason.MAINTENANCE,
                window=window,
            )

    # -- operators --

    async def override(self, *, database: str, backend: str) -> Result[DatabasePrimary, CinderstairError]:
        """Assigns a backend at an operator's request, which may lose acknowledged commits.

        :returns: the new assignment; unknownDatabase if the backend does not belong to the database, noLead if the
            database never had an assignment, versionTaken if the assignment changed concurrently.
        """
        configuration, old = self.view.configuration, self.failover.assignments.get(database=database)
        if configuration is None or backend not in configuration.databases.get(database, ()):
            return Error(
                CinderstairError(code=ErrorCode.UNKNOWN_DATABASE, reason=f"no backend '{backend}' of '{database}'")
            )
        if old is None:
            return Error(
                CinderstairError(code=ErrorCode.NO_PRIMARY, reason=f"{database}: no primary has been assigned yet")
            )
        new = DatabasePrimary(term=old.term + 1, primary=backend, incarnation=0, state=MOVING)
        self.ctx.log.warning(
            "OVERRIDE by an operator: %s is made primary of database %s in term %d; acknowledged commits may be lost",
            backend,
            database,
            new.term,
        )
        self.ctx.counters.add(name="leads.overridden")
        return await self.failover.assignments.override(database=database, old=old, new=new)
