"""Makes sure before a promotion that the assigned backend has every commit that was acknowledged to a client."""

import asyncio
from dataclasses import dataclass, replace

from ..config.service_plan import Service
from ..runtime.position import Position
from .acknowledged_commits import AcknowledgedCommits
from .replica_fencing import PAUSE_WAIT_US, ReplicaFencing
from .service_failover_context import ServiceFailoverContext
from .service_primary import ServicePrimary
from .successor import Successor

# How long a replica that has confirmed commits is waited for, in microseconds. Its first heartbeat may come seconds
# late, and what looks like an acknowledged commit may be the end of a log that no replica has received.
UNKNOWN_REPLICA_WAIT_US = 10_000_000


@dataclass(frozen=True, kw_only=True)
class StoppedAcknowledgements:
    """What had been acknowledged when no proxy acted on an older assignment than the one with `revision`."""

    revision: int
    acknowledged: AcknowledgedCommits


class SuccessorCheck:
    """Waits until no proxy acknowledges commits of an unreachable old primary, then determines the fence.

    Pausing replicas stops only those that are known. A replica that starts later, or that no heartbeat has made known
    yet, confirms commits of the old primary, and proxies acknowledge them until they know the new assignment or their
    views expire.

    Invariant: a promotion is requested only when no proxy may acknowledge a commit of the old primary after the
    fence, and every commit that was acknowledged is in the log of the assigned backend.
    """

    def __init__(self, *, failover: ServiceFailoverContext, fencing: ReplicaFencing) -> None:
        self.failover = failover
        self.fencing = fencing
        # the last assignment without a fence that was made known to the proxies, by service
        self.stopped: dict[str, StoppedAcknowledgements] = {}

    async def complete(self, *, service: Service, assignment: ServicePrimary) -> ServicePrimary | None:
        """Writes the assignment with its fence, and with another backend where that one's log is longer.

        :returns: the new assignment, whose backend may be promoted; None if a retry is due, the lease was lost or the
            assignment has changed.
        """
        acknowledged = await self._stop_acknowledgements(service=service, revision=assignment.revision)
        successor = await self._choose(service=service, assignment=assignment, acknowledged=acknowledged)
        if successor is None:
            self.failover.retry_later(service=service.name)
            return None
        self._log_choice(service=service.name, successor=successor, acknowledged=acknowledged)
        return await self._write_fence(service=service, assignment=assignment, successor=successor)

    async def _choose(
        self, *, service: Service, assignment: ServicePrimary, acknowledged: AcknowledgedCommits
    ) -> Successor | None:
        """The backend to promote; None if no known one is sure to have every acknowledged commit."""
        held = self.fencing.held.get(service.name)
        if acknowledged.complete and held is not None and acknowledged.position <= held.longest.fence:
            return held.longest
        successor = await self._longest_log(service=service, assignment=assignment, acknowledged=acknowledged)
        if successor is None:
            successor = await self._returned_primary(service=service, assignment=assignment)
        return successor

    def _log_choice(self, *, service: str, successor: Successor, acknowledged: AcknowledgedCommits) -> None:
        """Logs how far the successor's log and the acknowledged commits reach."""
        ctx = self.failover.ctx
        bound = f"proxies have acknowledged up to {acknowledged.position}"
        if not acknowledged.complete:
            bound += ", as far as they have answered; all older views have expired"
        behind = acknowledged.position > successor.fence
        log = ctx.log.warning if behind else ctx.log.info
        log(
            "service %s: %s is to be promoted with its log up to %s; %s",
            service,
            successor.name,
            successor.fence,
            bound,
        )
        if behind:
            ctx.counters.add(name="promotion.behind_acknowledged")

    async def _longest_log(
        self, *, service: Service, assignment: ServicePrimary, acknowledged: AcknowledgedCommits
    ) -> Successor | None:
        """The replica with the longest log of those known now; None if it may lack acknowledged commits."""
        longest = await self._fence_again(service=service, assignment=assignment, require_answers=False)
        if longest is None or not self._lacks_commits(
            service=service, acknowledged=acknowledged, fence=longest.fence
        ):
            return longest
        longest = await self._fence_again(service=service, assignment=assignment, require_answers=True)
        if longest is None:
            return None
        waited_us = self.failover.ctx.now_us() - self.failover.assignments.since_us[service.name]
        lacks_commits = self._lacks_commits(service=service, acknowledged=acknowledged, fence=longest.fence)
        if not lacks_commits or waited_us >= UNKNOWN_REPLICA_WAIT_US:
            return longest
        reason = f"commits after {longest.fence} were acknowledged, and no known replica has them"
        self.failover.blocking.report(name=service.name, reason=reason)
        return None

    async def _fence_again(
        self, *, service: Service, assignment: ServicePrimary, require_answers: bool
    ) -> Successor | None:
        """See `ReplicaFencing.fence_again`; where a replica that was paused first had a longer log, that replica."""
        fenced = await self.fencing.fence_again(
            service=service, assignment=assignment, require_answers=require_answers
        )
        held = self.fencing.held.get(service.name)
        if fenced is not None and held is not None and held.longest.fence > fenced.fence:
            return held.longest
        return fenced

    async def _returned_primary(self, *, service: Service, assignment: ServicePrimary) -> Successor | None:
        """The replaced primary, if it is reachable again and has stepped down: its log has every commit."""
        held = self.fencing.held.get(service.name)
        old = None if held is None else self.failover.members.latest(name=held.primary)
        if old is None:
            return None
        stepped = await self.failover.control.step_down(backend=old, term=assignment.term, wait_us=PAUSE_WAIT_US)
        if stepped.is_error() or stepped.ok.is_primary:
            return None
        return Successor(term=assignment.term, name=old.name, fence=stepped.ok.received, old_primary_stopped=True)

    async def _write_fence(
        self, *, service: Service, assignment: ServicePrimary, successor: Successor
    ) -> ServicePrimary | None:
        term = max(assignment.term, successor.term)
        new = replace(assignment, term=term, primary=successor.name, fence=successor.fence)
        if not await self.failover.assignments.compare_and_set(service=service.name, old=assignment, new=new):
            return None
        if successor.name != assignment.primary:
            self.failover.ctx.counters.add(name="promotion.superseded")
        return self.failover.assignments.primaries[service.name]

    async def _stop_acknowledgements(self, *, service: Service, revision: int) -> AcknowledgedCommits:
        """Returns once no proxy acts on an older assignment than the one with this revision.

        :returns: what the proxies have acknowledged; the views of those that did not answer have expired.
        """
        stopped = self.stopped.get(service.name)
        if stopped is None or stopped.revision != revision:
            acknowledged = await self._notify_or_wait(service=service)
            stopped = self.stopped[service.name] = StoppedAcknowledgements(
                revision=revision, acknowledged=acknowledged
            )
        else:
            await self.failover.refresh_heartbeats()
        return stopped.acknowledged

    async def _notify_or_wait(self, *, service: Service) -> AcknowledgedCommits:
        running_us = self.fencing.paused_for_us(service=service.name)
        acknowledged, _ = await asyncio.gather(
            self.failover.notify_proxies(service.name, running_us), self.failover.refresh_heartbeats()
        )
        if acknowledged.complete:
            self.failover.ctx.counters.add(name="promotion.proxies_notified")
            return acknowledged
        self.failover.ctx.counters.add(name="promotion.views_awaited")
        await self.failover.assignments.wait_for_views_before_assignment(service=service.name)
        await self.failover.refresh_heartbeats()
        return acknowledged

    def _lacks_commits(self, *, service: Service, acknowledged: AcknowledgedCommits, fence: Position) -> bool:
        """Whether commits after `fence` were acknowledged, certainly or probably.

        Either a replica without any heartbeat so far has confirmed them, or one whose pause has ended. Where the log
        ends between both bounds of the last acknowledged commit, and that one was acknowledged before the replicas
        were paused, the positions after `fence` are most likely of commits that no replica had confirmed.
        """
        # Without confirmations acknowledged commits may be lost with their primary.
        if service.confirmations and acknowledged.least > fence:
            return True
        held = self.fencing.held.get(service.name)
        after_pause = held is None or acknowledged.last_us > held.since_us
        return after_pause and acknowledged.position > fence
