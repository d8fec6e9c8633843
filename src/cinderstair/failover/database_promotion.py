"""Assigns another primary to a database, promotes it, and settles the assignment once it serves."""

from dataclasses import dataclass, replace

from ..config.configuration import Configuration
from ..http_frontend.position_query import BackendPosition, query_position
from ..membership.heartbeat import EMPTYING
from .database_failover_context import DatabaseFailoverContext
from .database_primary import CLOSING, MOVING, SETTLED, DatabasePrimary
from .move_reason import MoveReason
from .platform import Platform

# How long a new primary waits for a replica to follow it before it serves reads without one, in microseconds.
FOLLOW_WAIT_US = 1_500_000
FOLLOW_POLL_US = 100_000
# While the old primary still serves, the move is short and sure to succeed, and clients may wait for its end.
PLANNED_REASONS = (MoveReason.EMPTYING, MoveReason.UNDECLARED)


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend that holds every acknowledged commit, and how far it is."""

    name: str
    position: BackendPosition


class DatabasePromotion:
    """Invariant: only a backend that holds every acknowledged commit is promoted, and its assignment is settled only
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
        """Assigns the best candidate as the next primary; `window` is what asks for the move, if anything does."""
        failover, closing = self.failover, assignment.state == CLOSING
        explanation = reason.describe(primary=assignment.primary, detail=window)
        # The old primary has every commit that it ever acknowledged, so where it runs it may be promoted again.
        holders = (*(assignment.in_sync or assignment.successors), assignment.primary)
        found = await self._candidate(assignment=assignment, configuration=configuration, holders=holders)
        if found is None:
            failover.blocking.report(name=database, reason=f"{explanation}, and no replica in sync answers")
            return
        # Promoting a primary that is emptying once more would be nothing but an outage.
        if found.name == assignment.primary and (reason == MoveReason.EMPTYING or closing):
            failover.blocking.report(name=database, reason=f"{explanation}, and nobody can take its place")
            return
        failover.ctx.log.info("database %s: %s is to be promoted, since %s", database, found.name, explanation)
        failover.ctx.counters.add(name="leads.moved")
        new = _moving(
            assignment=assignment,
            candidate=found,
            holders=holders,
            planned=closing or reason in PLANNED_REASONS,
        )
        await failover.assignments.compare_and_set(database=database, old=assignment, new=new)

    async def finish(self, *, database: str, configuration: Configuration, assignment: DatabasePrimary) -> None:
        """From moving to settled: promotes, waits until older views have expired, and until replicas follow."""
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
            # Until somebody is in sync nothing new is acknowledged, so whoever could be promoted still can be.
            successors=() if following else assignment.in_sync,
            incarnation=position.ok.incarnation,
        )
        if await assignments.compare_and_set(database=database, old=assignment, new=settled):
            failover.blocking.report(name=database, reason="")

    async def _wait_for_followers(
        self, *, database: str, configuration: Configuration, assignment: DatabasePrimary, start: int
    ) -> tuple[str, ...]:
        """The replicas that have the beginning of the new term; none where that takes them too long.

        Nothing is acknowledged before the assignment is settled, and from the first commit on they are waited for;
        so they are in sync.
        """
        failover, most = self.failover, configuration.amount(name="inSync", database=database)
        declared = configuration.databases.get(database, ())
        replicas = tuple(name for name in declared if name != assignment.primary)
        until_us = failover.ctx.now_us() + FOLLOW_WAIT_US
        while True:
            positions = await failover.positions(names=failover.healthy(names=replicas))
            following = [
                name
                for name, position in positions.items()
                if position.term == assignment.term and position.received >= start
            ]
            following.sort(key=lambda name: failover.in_maintenance(name=name))
            if following[:most] or failover.ctx.now_us() > until_us:
                return tuple(following[:most])
            await failover.ctx.sleep(duration_us=FOLLOW_POLL_US)

    async def _assign_another(
        self, *, database: str, configuration: Configuration, assignment: DatabasePrimary, promoted: bool
    ) -> None:
        """Assigns another backend, in a later term, where the one assigned does not come to lead."""
        failover = self.failover
        # A slow promotion is requested again before anybody else is assigned.
        patience_us = 2 * failover.view.lease_us
        if failover.assignments.age_us(database=database) < patience_us and (
            promoted or failover.heartbeat_table.healthy(name=assignment.primary)
        ):
            return
        holders = (*assignment.in_sync, assignment.primary)
        found = await self._candidate(assignment=assignment, configuration=configuration, holders=holders)
        if found is None:
            failover.blocking.report(name=database, reason="no backend that holds everything answers")
            return
        new = _moving(assignment=assignment, candidate=found, holders=holders, planned=assignment.planned)
        await failover.assignments.compare_and_set(database=database, old=assignment, new=new)

    async def _candidate(
        self, *, assignment: DatabasePrimary, configuration: Configuration, holders: tuple[str, ...]
    ) -> Candidate | None:
        """The best of those that hold every acknowledged commit; None where none of them answers.

        Best is one that is not emptying, then outside maintenance, then not the present primary, then the furthest.
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
