"""Resumes the replicas that were paused for a failover."""

from ..membership.announcement import Announcement
from .replica_fencing import PAUSE_WAIT_US, ReplicaFencing
from .service_failover_context import ServiceFailoverContext
from .service_primary import ServicePrimary

# Interval between attempts to resume replicas that do not answer, in microseconds.
RESUME_RETRY_US = 700_000
# A new lease holder rewrites every assignment. The number of concurrent rewrites is limited so that updates of
# views are not delayed by all of them together.
MAX_CONCURRENT_CONFIRMATIONS = 8


class ReplicaResuming:
    """Owns which replicas are still to be resumed, by service.

    Invariant: a replica is resumed only after the assignment was written again.
    """

    def __init__(self, *, failover: ServiceFailoverContext, fencing: ReplicaFencing) -> None:
        self.failover = failover
        self.fencing = fencing
        # replicas to resume, by service
        self.paused: dict[str, set[str]] = {}
        # services whose replicas are being resumed
        self.resuming: set[str] = set()
        self.confirming = 0

    def release(self, *, service: str, primary: str) -> None:
        """Marks all replicas that may be paused to be resumed, after the assignment of `primary` was written."""
        self.fencing.fenced.discard(service)
        self.fencing.held.pop(service, None)
        self.paused[service] = {each.name for each in self.fencing.pausable(service=service)} - {primary}

    def confirmation_due(self, *, service: str) -> bool:
        """Whether the service's assignment must be confirmed now."""
        return service in self.fencing.fenced and self.confirming < MAX_CONCURRENT_CONFIRMATIONS

    async def confirm(self, *, service: str, assignment: ServicePrimary) -> None:
        """Rewrites an unchanged assignment, so that no incomplete write of an earlier holder can take effect."""
        self.confirming += 1
        try:
            confirmed = await self.failover.assignments.compare_and_set(
                service=service, old=assignment, new=assignment
            )
        finally:
            self.confirming -= 1
        if confirmed:
            self.release(service=service, primary=assignment.primary)

    def start_resuming(self, *, service: str, assignment: ServicePrimary) -> bool:
        """Starts to resume paused replicas in the background; False without any, or if that is in progress."""
        if not self.paused.get(service) or service in self.resuming:
            return False
        self.resuming.add(service)
        self.failover.ctx.spawn(work=self._resume(service=service, assignment=assignment), name="resume")
        return True

    async def _resume(self, *, service: str, assignment: ServicePrimary) -> None:
        """Resumes the paused replicas that have not confirmed it yet, and demotes an old primary among them."""
        try:
            members = [each for each in self.fencing.pausable(service=service) if each.name in self.paused[service]]
            self.paused[service] &= {each.name for each in members}
            resumed = []
            for member in members:
                if await self._resume_member(member=member, term=assignment.term):
                    self.paused[service].discard(member.name)
                    resumed.append(member.name)
            if resumed:
                self.failover.ctx.log.info("service %s: replicas resumed: %s", service, ", ".join(resumed))
            if self.paused[service]:
                await self.failover.ctx.sleep(duration_us=RESUME_RETRY_US)
        finally:
            self.resuming.discard(service)

    async def _resume_member(self, *, member: Announcement, term: int) -> bool:
        control = self.failover.control
        resumed = await control.resume(backend=member, wait_us=PAUSE_WAIT_US)
        if resumed.is_ok() and resumed.ok.is_primary:
            resumed = await control.step_down(backend=member, term=term, wait_us=PAUSE_WAIT_US)
        return resumed.is_ok()
