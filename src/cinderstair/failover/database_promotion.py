"""Assigns a new primary to a database, promotes it, and settles the assignment once it is primary."""

from dataclasses import dataclass, replace

from ..config.configuration import Configuration
from ..http_frontend.position_query import BackendPosition, query_position
from ..membership.heartbeat import EMPTYING
from .database_failover_context import DatabaseFailoverContext
from .database_primary import CLOSING, MOVING, SETTLED, DatabasePrimary
from .move_reason import MoveReason
from .platform import Platform

# Timeout for a replica to follow a new primary, in microseconds; after it the primary serves reads alone.
FOLLOW_TIMEOUT_US = 1_500_000
FOLLOW_POLL_US = 100_000
# For these reasons the old primary still serves, so the move is short and clients may wait for its end.
PLANNED_REASONS = (MoveReason.EMPTYING, MoveReason.UNDECLARED)


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend that holds every acknowledged commit, and its log position."""

    name: str
    position: BackendPosition


class DatabasePromotion:
    """Moves a database's assignment to a new primary, and settles it.

    Invariant: only a backend that holds every acknowledged commit is promoted, and its assignment is settled only
    after every view in which another backend was the primary has expired.
    """

    def __init__(self, *, failover: DatabaseFailoverContext, platform: Platform) -> None:
        self.failover = failover
        self.platform = platform

    async def start(
        self,
        *,
        database: str,
        configuration: Configuration,
        assignment: DatabasePrimary,
        reason: MoveReason,
        window: str = "",
    ) -> None:
        """Assigns the best candidate as the next primary; `window` is the window that requires it, if any."""
        failover, closing = self.failover, assignment.state == CLOSING
        explanation = reason.describe(primary=assignment.primary, detail=window)
        # The old primary has every commit that it acknowledged, so it may be promoted again if it runs.
        holders = (*(assignment.in_sync or assignment.successors), assignment.primary)
        found = await self._candidate(assignment=assignment, configuration=configuration, holders=holders)
        if found is None:
            failover.blocking.report(name=database, reason=f"{explanation}, and no replica in sync answers")
            return
        # Promoting a draining primary again would only cause an outage.
        if found.name == assignment.primary and (reason == MoveReason.EMPTYING or closing):
            failover.blocking.report(name=database, reason=f"{explanation}, and no other in-sync replica answers")
            return
        failover.ctx.log.info("database %s: promoting %s, because %s", database, found.name, explanation)
        failover.ctx.counters.add(name="leads.moved")
        new = _moving(
            assignment=assignment,
            candidate=found,
            holders=holders,
            planned=closing or reason in PLANNED_REASONS,
        )
        await failover.assignments.compare_and_set(database=database, old=assignment, new=new)

    async def finish(self, *, database: str, configuration: Configuration, assignment: DatabasePrimary) -> None:
        """Promotes the assigned backend, and settles once older views have expired and replicas follow.

        Assigns another backend if the assigned one is not primary in the assignment's term.
        """
        failover, assignments = self.failover, self.failover.assignments
        since_us = assignments.since_us(database=database)
        promoted = await self.platform.promote(database=database, backend=assignment.primary, term=assignment.term)
        position = await query_position(
            connection_pools=failover.connection_pools, name=assignment.primary, direct=True
        )
        if position.is_error() or not position.ok.is_primary or position.ok.term != assignment.term:
            await self._assign_another(
                database=database, configuration=configuration, assignment=assignment, promoted=promoted
            )
            return
        wait_us = since_us + assignments.view_expiry_us - failover.ctx.now_us()
        if wait_us > 0:
            await failover.ctx.sleep(duration_us=wait_us)
        following = await self._wait_for_followers(
            database=database, configuration=configuration, assignment=assignment, start=position.ok.received
        )
        settled = replace(
            assignment,
            state=SETTLED,
            in_sync=following,
            joining=(),
            planned=False,
            # Nothing new is acknowledged until a replica is in sync, so the earlier candidates stay eligible.
            successors=() if following else assignment.in_sync,
            incarnation=position.ok.incarnation,
        )
        if await assignments.compare_and_set(database=database, old=assignment, new=settled):
            failover.blocking.report(name=database, reason="")

    async def _wait_for_followers(
        self, *, database: str, configuration: Configuration, assignment: DatabasePrimary, start: int
    ) -> tuple[str, ...]:
        """The replicas that have received the start of the new term; empty after `FOLLOW_TIMEOUT_US` without one.

        They are in sync: nothing is acknowledged before the assignment is settled, and from then on every commit
        waits for them.
        """
        failover, max_in_sync = self.failover, configuration.amount(name="inSync", database=database)
        declared = configuration.databases.get(database, ())
        replicas = tuple(name for name in declared if name != assignment.primary)
        until_us = failover.ctx.now_us() + FOLLOW_TIMEOUT_US
        while True:
            positions = await failover.positions(names=failover.healthy(names=replicas))
            following = [
                name
                for name, position in positions.items()
                if position.term == assignment.term and position.received >= start
            ]
            following.sort(key=lambda name: failover.in_maintenance(name=name))
            if following[:max_in_sync] or failover.ctx.now_us() > until_us:
                return tuple(following[:max_in_sync])
            await failover.ctx.sleep(duration_us=FOLLOW_POLL_US)

    async def _assign_another(
        self, *, database: str, configuration: Configuration, assignment: DatabasePrimary, promoted: bool
    ) -> None:
        """Assigns another backend in a higher term if the assigned one is not promoted in time."""
        failover = self.failover
        # A slow promotion is retried before another backend is assigned.
        promotion_timeout_us = 2 * failover.view.lease_us
        if failover.assignments.age_us(database=database) < promotion_timeout_us and (
            promoted or failover.heartbeat_table.healthy(name=assignment.primary)
        ):
            return
        holders = (*assignment.in_sync, assignment.primary)
        found = await self._candidate(assignment=assignment, configuration=configuration, holders=holders)
        if found is None:
            failover.blocking.report(name=database, reason="no backend that holds every acknowledged commit answers")
            return
        new = _moving(assignment=assignment, candidate=found, holders=holders, planned=assignment.planned)
        await failover.assignments.compare_and_set(database=database, old=assignment, new=new)

    async def _candidate(
        self, *, assignment: DatabasePrimary, configuration: Configuration, holders: tuple[str, ...]
    ) -> Candidate | None:
        """The preferred backend among `holders`, which hold every acknowledged commit; None if none of them answers.

        Order of preference: not draining, outside maintenance, not the current primary, longest log.
        """
        names = tuple(name for name in holders if name in configuration.backends)
        positions = await self.failover.positions(names=names)

        def rank(name: str) -> tuple[bool, bool, bool, int]:
            heard = self.failover.heartbeat_table.latest(name=name)
            emptying = heard is not None and heard.heartbeat.state == EMPTYING
            stays = not self.failover.in_maintenance(name=name)
            return not emptying, stays, name != assignment.primary, positions[name].received

        if not positions:
            return None
        best = max(sorted(positions), key=rank)
        return Candidate(name=best, position=positions[best])


def _moving(
    *, assignment: DatabasePrimary, candidate: Candidate, holders: tuple[str, ...], planned: bool
) -> DatabasePrimary:
    return DatabasePrimary(
        term=assignment.term + 1,
        primary=candidate.name,
        incarnation=candidate.position.incarnation,
        state=MOVING,
        in_sync=tuple(name for name in holders if name != candidate.name),
        planned=planned,
    )
