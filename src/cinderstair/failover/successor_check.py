"""Makes sure before a promotion that the assigned backend has every commit that was acknowledged to a client."""

import asyncio
from dataclasses import dataclass, replace

from ..config.service_plan import Service
from ..runtime.position import Position
from .acknowledged_commits import AcknowledgedCommits
from .replica_fencing import ReplicaFencing
from .service_failover_context import ServiceFailoverContext
from .service_primary import ServicePrimary
from .successor import Successor

# How long a replica that confirmed a commit may take to send its first heartbeat, in microseconds.
UNKNOWN_REPLICA_WAIT_US = 3_000_000


@dataclass(frozen=True, kw_only=True)
class StoppedAcknowledgements:
    """What had been acknowledged when the assignment with `revision` was known to all proxies; None: not known."""

    revision: int
    acknowledged: AcknowledgedCommits | None


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
        held = self.fencing.held.get(service.name)
        if acknowledged is not None and held is not None and acknowledged.position <= held.longest.fence:
            return await self._write_fence(service=service, assignment=assignment, successor=held.longest)
        fenced = await self.fencing.fence_again(service=service, assignment=assignment)
        if fenced is None:
            self.failover.retry_later(service=service.name)
            return None
        if held is not None and held.longest.fence > fenced.fence:
            # The backend with the longest log was paused and does not answer now.
            fenced = held.longest
        if acknowledged is not None and self._replica_unknown(
            service=service, acknowledged=acknowledged, fence=fenced.fence
        ):
            end = f"{fenced.fence.term}.{fenced.fence.number}"
            reason = f"commits after {end} were acknowledged, and no known replica has them"
            self.failover.blocking.report(name=service.name, reason=reason)
            self.failover.retry_later(service=service.name)
            return None
        return await self._write_fence(service=service, assignment=assignment, successor=fenced)

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

    async def _stop_acknowledgements(self, *, service: Service, revision: int) -> AcknowledgedCommits | None:
        """Returns once no proxy acts on an older assignment than the one with this revision.

        :returns: what the proxies have acknowledged; None if one did not answer, in which case its view has expired.
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

    async def _notify_or_wait(self, *, service: Service) -> AcknowledgedCommits | None:
        running_us = self.fencing.paused_for_us(service=service.name)
        acknowledged, _ = await asyncio.gather(
            self.failover.notify_proxies(service.name, running_us), self.failover.refresh_heartbeats()
        )
        if acknowledged is not None:
            self.failover.ctx.counters.add(name="promotion.proxies_notified")
            return acknowledged
        self.failover.ctx.counters.add(name="promotion.views_awaited")
        await self.failover.assignments.wait_for_views_before_move(service=service.name)
        await self.failover.refresh_heartbeats()
        return None

    def _replica_unknown(self, *, service: Service, acknowledged: AcknowledgedCommits, fence: Position) -> bool:
        """Whether commits were acknowledged that only a replica without any heartbeat so far can have confirmed.

        All known replicas were paused, so an acknowledgement after that is the sign of another one.
        """
        held = self.fencing.held.get(service.name)
        after_pause = held is not None and acknowledged.last_us > held.since_us
        waited_us = self.failover.ctx.now_us() - self.failover.assignments.moving_since_us[service.name]
        return after_pause and acknowledged.position > fence and waited_us < UNKNOWN_REPLICA_WAIT_US
