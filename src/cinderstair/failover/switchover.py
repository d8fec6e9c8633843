"""Planned switchover: a reachable primary steps down before a successor is promoted."""

from dataclasses import dataclass, replace

from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..runtime.position import Position
from .backend_control import BackendState
from .primary_monitor import PrimaryMonitor
from .replica_fencing import PAUSE_WAIT_US
from .service_failover_context import ServiceFailoverContext
from .service_primary import PrimaryState, ServicePrimary
from .successor import Successor, most_advanced

# Time between announcement and step down in which open transactions may finish, in microseconds.
CLOSING_US = 250_000
# Timeout for a replica to receive the last commits of the primary that stepped down, in microseconds.
CATCH_UP_WAIT_US = 400_000
CATCH_UP_POLL_US = 40_000
# Pause after a failed step down, in microseconds.
STEP_DOWN_RETRY_US = 1_500_000


@dataclass(frozen=True, kw_only=True)
class SteppedDown:
    """The assignment in force after the step down, and the successor to assign next."""

    assignment: ServicePrimary
    successor: Successor


class Switchover:
    """Announces the switchover, demotes the primary and waits for a replica to catch up.

    Invariant: after the step down the old primary's log ends with the last commit that it acknowledged, so a
    successor whose log is as long has every acknowledged commit.
    """

    def __init__(self, *, failover: ServiceFailoverContext, monitor: PrimaryMonitor) -> None:
        self.failover = failover
        self.monitor = monitor

    async def step_down(
        self, *, service: str, assignment: ServicePrimary, old: Announcement, others: list[Announcement]
    ) -> SteppedDown | None:
        """Demotes the primary and chooses its successor; None if the primary keeps serving."""
        ready = [each for each in others if each.state == READY]
        # One unresponsive replica must not delay a switchover to another one.
        states = await self.failover.poller.states(
            members=[old, *ready], enough=lambda answers: old.name in answers and len(answers) > 1
        )
        primary = states.pop(old.name, None)
        # Without a replica in the primary's term a step down would only cause an outage.
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
        reason = f"{assignment.primary} must be replaced, and no replica is ready to follow it"
        self.failover.blocking.report(name=service, reason=reason)
        if not primary_answered:
            self.monitor.suspect(name=assignment.primary)
        self.failover.retry_later(service=service)
        await self.failover.assignments.reopen(service=service, assignment=assignment)

    async def _announce(self, *, service: str, assignment: ServicePrimary) -> ServicePrimary | None:
        """Writes the closing assignment, so that proxies start nothing new at the primary; None on failure."""
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
        """The end of the primary's log after its step down; None if it did not step down."""
        stepped = await self.failover.control.step_down(backend=old, term=term, wait_us=PAUSE_WAIT_US)
        if stepped.is_ok() and not stepped.ok.is_primary:
            return stepped.ok.received
        self.failover.blocking.report(name=service, reason=f"{assignment.primary} did not step down when requested")
        self.failover.retry_later(service=service, wait_us=STEP_DOWN_RETRY_US)
        await self.failover.assignments.reopen(service=service, assignment=assignment)
        return None

    async def _wait_for_replica(self, *, replicas: list[Announcement], fence: Position) -> dict[str, BackendState]:
        """The replicas whose logs include `fence`; empty after `CATCH_UP_WAIT_US` without one."""
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
    """The replica with the longest log; the old primary if none caught up, since its log has every commit."""
    if not caught_up:
        return Successor(term=term, name=primary, fence=fence, old_primary_stopped=True)
    best = most_advanced(states=caught_up)
    position = max(fence, caught_up[best].received)
    return Successor(term=term, name=best, fence=position, old_primary_stopped=True)
