"""Planned switchover: a primary that is alive steps down before a successor is promoted."""

from dataclasses import dataclass, replace

from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..runtime.position import Position
from .backend_control import BackendState
from .primary_monitor import PrimaryMonitor
from .replica_fencing import PAUSE_WAIT_US
from .service_failover_context import ServiceFailoverContext
from .service_primary import PrimaryState, ServicePrimary
from .successor import Successor, furthest

# Between the announcement and the step down, so that transactions that clients have begun may end.
CLOSING_US = 250_000
# How long a replica may take to receive the last commits of the primary that has stepped down.
CATCH_UP_WAIT_US = 400_000
CATCH_UP_POLL_US = 40_000
# Pause after a primary did not step down, in microseconds.
STEP_DOWN_RETRY_US = 1_500_000


@dataclass(frozen=True, kw_only=True)
class SteppedDown:
    """`assignment` is the one in force after the step down, and `successor` who may follow it."""

    assignment: ServicePrimary
    successor: Successor


class Switchover:
    """Invariant: after the step down, the old primary's log ends with the last commit that it acknowledged; so a
    successor that has as much as it holds everything.
    """

    def __init__(self, *, failover: ServiceFailoverContext, monitor: PrimaryMonitor) -> None:
        self.failover = failover
        self.monitor = monitor

    async def step_down(
        self, *, service: str, assignment: ServicePrimary, old: Announcement, others: list[Announcement]
    ) -> SteppedDown | None:
        """Has the primary step down, and chooses who follows; None where it goes on as it was."""
        ready = [each for each in others if each.state == READY]
        # A silent replica must not hold up a switchover that another one can serve.
        states = await self.failover.poller.states(
            members=[old, *ready], enough=lambda answers: old.name in answers and len(answers) > 1
        )
        primary = states.pop(old.name, None)
        # With no replica near, a step down would be nothing but an outage.
        if primary is None or not any(each.received.term >= primary.received.term for each in states.values()):
            await self._cancel_without_replica(
                service=service, assignment=assignment, primary_answered=primary is not None
            )
            return None
        if assignment.state == PrimaryState.settled and primary.is_primary:
            announced = await self._announce(service=service, assignment=assignment)
            if announced is None:
                return None
            assignment = announced
        term = max([assignment.term, primary.term_held, *(state.term_held for state in states.values())]) + 1
        fence = await self._stop(service=service, assignment=assignment, old=old, term=term)
        if fence is None:
            return None
        caught_up = await self._wait_for_replica(replicas=ready, fence=fence)
        successor = _successor(term=term, primary=assignment.primary, fence=fence, caught_up=caught_up)
        return SteppedDown(assignment=assignment, successor=successor)

    async def _cancel_without_replica(
        self, *, service: str, assignment: ServicePrimary, primary_answered: bool
    ) -> None:
        reason = f"{assignment.primary} is to leave, and no copy is there to follow it"
        self.failover.blocking.report(name=service, reason=reason)
        if not primary_answered:
            self.monitor.suspect(name=assignment.primary)
        self.failover.retry_later(service=service)
        await self.failover.assignments.reopen(service=service, assignment=assignment)

    async def _announce(self, *, service: str, assignment: ServicePrimary) -> ServicePrimary | None:
        """Tells all proxies to begin nothing more at the primary; None where that could not be written."""
        failover = self.failover
        closing = replace(assignment, state=PrimaryState.closing, ready_in_us=failover.promotion_us, planned=True)
        if not await failover.assignments.compare_and_set(service=service, old=assignment, new=closing):
            return None
        announced = failover.assignments.primaries[service]
        await failover.ctx.sleep(duration_us=CLOSING_US)
        return announced

    async def _stop(
        self, *, service: str, assignment: ServicePrimary, old: Announcement, term: int
    ) -> Position | None:
        """Where the log of the primary ends after its step down; None where it did not step down."""
        stepped = await self.failover.control.step_down(backend=old, term=term, wait_us=PAUSE_WAIT_US)
        if stepped.is_ok() and not stepped.ok.is_primary:
            return stepped.ok.received
        self.failover.blocking.report(name=service, reason=f"{assignment.primary} does not step down")
        self.failover.retry_later(service=service, wait_us=STEP_DOWN_RETRY_US)
        await self.failover.assignments.reopen(service=service, assignment=assignment)
        return None

    async def _wait_for_replica(self, *, replicas: list[Announcement], fence: Position) -> dict[str, BackendState]:
        """The replicas that have everything up to `fence`; none where all take longer than `CATCH_UP_WAIT_US`."""
        ctx = self.failover.ctx
        until_us = ctx.now_us() + CATCH_UP_WAIT_US
        while True:
            states = await self.failover.poller.states(
                members=replicas, enough=lambda answers: any(each.received >= fence for each in answers.values())
            )
            caught_up = {name: state for name, state in states.items() if state.received >= fence}
            if caught_up or ctx.now_us() > until_us:
                return caught_up
            await ctx.sleep(duration_us=CATCH_UP_POLL_US)


def _successor(*, term: int, primary: str, fence: Position, caught_up: dict[str, BackendState]) -> Successor:
    """The furthest replica; where none has caught up the old primary, whose log is the one that counts."""
    if not caught_up:
        return Successor(term=term, name=primary, fence=fence)
    best = furthest(states=caught_up)
    return Successor(term=term, name=best, fence=max(fence, caught_up[best].received))
