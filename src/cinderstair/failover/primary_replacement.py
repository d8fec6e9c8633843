"""Replaces the primary of a service: chooses a successor, assigns it and has it promoted."""

from ..config.service_plan import Service
from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..runtime.position import START
from .move_reason import MoveReason
from .promotion import FindBackend, Promotion
from .replica_fencing import ReplicaFencing
from .service_failover_context import ServiceFailoverContext
from .service_primary import PrimaryState, ServicePrimary
from .successor import Successor, successor_at_same_address
from .switchover import Switchover


class PrimaryReplacement:
    """Lets a primary that answers step down, fences one that does not, and assigns the successor.

    Invariant: the assignment changes by compare-and-set, so the successor replaces the primary that was examined.
    """

    def __init__(
        self,
        *,
        failover: ServiceFailoverContext,
        switchover: Switchover,
        fencing: ReplicaFencing,
        promotion: Promotion,
        find_backend: FindBackend,
    ) -> None:
        self.failover = failover
        self.switchover = switchover
        self.fencing = fencing
        self.promotion = promotion
        self.find_backend = find_backend

    async def replace(self, *, service: Service, assignment: ServicePrimary, reason: MoveReason) -> None:
        """Chooses a successor for a primary that must be replaced, assigns it and promotes it."""
        began_us = self.failover.ctx.now_us()
        explanation = reason.describe(primary=assignment.primary)
        self.failover.blocking.report(name=service.name, reason=explanation)
        self.failover.retry_later(service=service.name)
        old = self.failover.members.latest(name=assignment.primary)
        successor: Successor | None
        if old is not None and reason.primary_answers:
            stepped = await self.switchover.step_down(
                service=service.name,
                assignment=assignment,
                old=old,
                others=self._others(service=service.name, primary=assignment.primary),
            )
            if stepped is None:
                return
            assignment, successor = stepped.assignment, stepped.successor
        else:
            successor = await self._successor_of_lost(service=service, assignment=assignment, explanation=explanation)
        if successor is not None:
            await self._assign(service=service, assignment=assignment, successor=successor, began_us=began_us)

    def _others(self, *, service: str, primary: str) -> list[Announcement]:
        members = self.failover.members.of_service(service=service)
        return [each for each in members if each.name != primary]

    async def _successor_of_lost(
        self, *, service: Service, assignment: ServicePrimary, explanation: str
    ) -> Successor | None:
        """The successor of a primary that can't be asked to step down; None if no backend can be chosen yet."""
        others = self._others(service=service.name, primary=assignment.primary)
        replacement = await successor_at_same_address(
            poller=self.failover.poller,
            assignment=assignment,
            old=self.find_backend(service=service.name, name=assignment.primary),
            others=others,
        )
        if replacement is not None:
            return replacement
        if any(each.state == READY for each in others):
            return await self.fencing.fence(service=service, assignment=assignment, primary=assignment.primary)
        reason = f"{explanation}, and no replica is ready to replace it"
        self.failover.blocking.report(name=service.name, reason=reason)
        return None

    async def _assign(
        self, *, service: Service, assignment: ServicePrimary, successor: Successor, began_us: int
    ) -> None:
        assignments = self.failover.assignments
        expected_us = max(self.failover.promotion_us, assignments.view_expiry_us)
        moving = ServicePrimary(
            term=successor.term,
            primary=successor.name,
            state=PrimaryState.moving,
            fence=successor.fence if successor.old_primary_stopped else START,
            # Stopping the old primary may already have taken longer than the whole expected promotion.
            ready_in_us=max(0, expected_us - (self.failover.ctx.now_us() - began_us)),
            planned=assignment.planned,
        )
        if await assignments.compare_and_set(service=service.name, old=assignment, new=moving):
            self.failover.ctx.counters.add(name="promotion.moves")
            await self.promotion.finish(service=service, assignment=assignments.primaries[service.name])
