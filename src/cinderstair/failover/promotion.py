"""Promotes the assigned backend, and settles the assignment once the backend is primary."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from ..config.service_plan import Service
from ..membership.announcement import Announcement
from ..runtime.errors import ErrorCode
from ..runtime.position import START
from .backend_control import BackendState, Promoter
from .backend_poller import PROBE_WAIT_US
from .replica_fencing import PAUSE_WAIT_US, ReplicaFencing
from .replica_resuming import ReplicaResuming
from .service_failover_context import ServiceFailoverContext
from .service_primary import PrimaryState, ServicePrimary
from .successor import most_advanced
from .successor_check import SuccessorCheck

PRIMARY_POLL_US = 80_000
# Interval between requests of a promotion that the platform did not accept, in microseconds.
PROMOTE_RETRY_US = 500_000
# A backend that is unreachable for this long is replaced by another successor, in microseconds.
UNREACHABLE_US = 1_200_000
# A reachable backend that has not become primary after this long is replaced as well, in microseconds.
PROMOTION_TIMEOUT_US = 5_000_000
# How long a log up to the fence is sought before the fence is withdrawn, in microseconds. The assigned backend may
# return, and the first heartbeat of a replica with that log may come seconds late.
FENCE_WAIT_US = 4_000_000


class FindBackend(Protocol):
    """Looks up a backend by its service and name; None if it is not known."""

    def __call__(self, *, service: str, name: str) -> Announcement | None:
        """See `ReplicaRecords.find`."""
        ...


@dataclass(kw_only=True)
class _Attempt:
    """Times of one promotion, by the local clock in microseconds.

    `began_us`: when it might be requested first. `requested_us`: its last request. `reached_us`: when the backend was
    reached last.
    """

    began_us: int
    requested_us: int
    reached_us: int
    accepted: bool = False


class Promotion:
    """Takes an assignment from moving to settled.

    Invariant: a promotion is requested only after `SuccessorCheck` has written the fence. An assignment is settled
    only after its backend reports itself primary and every view in which another backend was the primary has expired.
    """

    def __init__(
        self,
        *,
        failover: ServiceFailoverContext,
        fencing: ReplicaFencing,
        resuming: ReplicaResuming,
        successor_check: SuccessorCheck,
        promoter: Promoter,
        fence_number: Callable[[], int],
        find_backend: FindBackend,
    ) -> None:
        self.failover = failover
        self.fencing = fencing
        self.resuming = resuming
        self.successor_check = successor_check
        self.promoter = promoter
        self.fence_number = fence_number
        self.find_backend = find_backend

    async def finish(self, *, service: Service, assignment: ServicePrimary) -> None:
        """Promotes the assigned backend and settles the assignment.

        Returns early if the lease is lost, another successor is assigned, or its fence can't be determined yet.
        """
        failover, assignments = self.failover, self.failover.assignments
        since_us = assignments.since_us[service.name]
        if assignment.fence_pending:
            checked = await self.successor_check.complete(service=service, assignment=assignment)
            if checked is None:
                return
            assignment = checked
        state = await self._wait_until_primary(service=service, assignment=assignment)
        if state is None:
            return
        await assignments.wait_for_older_views(service=service.name)
        settled = ServicePrimary(term=state.term, primary=assignment.primary, state=PrimaryState.settled)
        if await assignments.compare_and_set(service=service.name, old=assignment, new=settled):
            self.resuming.release(service=service.name, primary=assignment.primary)
            failover.blocking.report(name=service.name, reason="")
            failover.record_promotion(took_us=failover.ctx.now_us() - since_us)

    async def _wait_until_primary(self, *, service: Service, assignment: ServicePrimary) -> BackendState | None:
        """The backend's state once it is primary; None if the lease is lost or another backend is assigned."""
        ctx = self.failover.ctx
        attempt = _Attempt(began_us=ctx.now_us(), requested_us=-PROMOTE_RETRY_US, reached_us=ctx.now_us())
        while True:
            if not self.failover.assignments.lease.held:
                return None
            member = self.find_backend(service=service.name, name=assignment.primary)
            if not await self._request(service=service, assignment=assignment, attempt=attempt):
                lost = True
                break
            state = await self._probe(member=member, attempt=attempt)
            if state is not None and state.is_primary:
                return state
            # One that has deregistered is waited for as well: the promotion was requested, and takes effect.
            lost = ctx.now_us() - attempt.reached_us > UNREACHABLE_US
            if lost or ctx.now_us() - attempt.began_us > PROMOTION_TIMEOUT_US:
                break
            await ctx.sleep(duration_us=PRIMARY_POLL_US)
        await self._assign_another(service=service, assignment=assignment, lost=lost)
        return None

    async def _request(self, *, service: Service, assignment: ServicePrimary, attempt: _Attempt) -> bool:
        """Requests the promotion if that is due; False if the platform reports that the backend is not running."""
        ctx = self.failover.ctx
        now_us = ctx.now_us()
        if attempt.accepted or now_us - attempt.requested_us < PROMOTE_RETRY_US:
            return True
        attempt.requested_us = now_us
        result = await self.promoter.promote(
            service=service.name,
            backend=assignment.primary,
            fence_number=self.fence_number(),
            holds=lambda: self.failover.assignments.lease.held,
        )
        attempt.accepted = result.is_ok()
        if result.is_ok():
            return True
        ctx.log.warning(
            "service %s: the platform did not accept the promotion of %s: %s",
            service.name,
            assignment.primary,
            result.error.reason,
        )
        return result.error.code != ErrorCode.NO_BACKEND

    async def _probe(self, *, member: Announcement | None, attempt: _Attempt) -> BackendState | None:
        """The backend's state, None without an answer; updates `attempt.reached_us`."""
        if member is None:
            return None
        state = await self.failover.control.state(backend=member, wait_us=PROBE_WAIT_US)
        if state.is_ok() and state.ok.is_primary:
            return state.ok
        if state.is_ok() or state.error.code != ErrorCode.REQUEST_NOT_SENT:
            attempt.reached_us = self.failover.ctx.now_us()
        return state.ok if state.is_ok() else None

    async def _step_down(self, *, service: str, backend: Announcement, term: int) -> bool:
        """Demotes a backend that calls itself primary, so that only a promotion from now on makes it primary again.

        The promotion that was requested before may still take effect, and would replace it while it serves.
        """
        stepped = await self.failover.control.step_down(backend=backend, term=term, wait_us=PAUSE_WAIT_US)
        if stepped.is_ok() and not stepped.ok.is_primary:
            return True
        reason = f"{backend.name} calls itself primary, and did not step down when requested"
        self.failover.blocking.report(name=service, reason=reason)
        return False

    async def _assign_another(self, *, service: Service, assignment: ServicePrimary, lost: bool) -> None:
        """Assigns another backend whose log includes the fence position, in a higher term.

        :param lost: whether the assigned backend does not run or can't be reached.
        """
        failover = self.failover
        failover.retry_later(service=service.name)
        members = failover.members.of_service(service=service.name)
        others = [each for each in members if each.name != assignment.primary]
        states = await failover.poller.states(members=others)
        complete = {name: state for name, state in states.items() if state.received >= assignment.fence}
        if not complete:
            reason = f"{assignment.primary} was not promoted, and no other backend that answers has every commit"
            failover.blocking.report(name=service.name, reason=reason)
            sought_us = failover.ctx.now_us() - failover.assignments.since_us[service.name]
            # The promotion of a backend that runs may still take effect.
            if lost and sought_us >= FENCE_WAIT_US:
                await self._withdraw_fence(service=service, assignment=assignment)
            return
        terms = (max(state.term, state.term_held) for state in states.values())
        term = max([assignment.term, *terms]) + 1
        best = most_advanced(states=complete)
        if complete[best].is_primary and not await self._step_down(
            service=service.name, backend=next(each for each in others if each.name == best), term=term
        ):
            return
        new = replace(assignment, term=term, primary=best, ready_in_us=failover.promotion_us)
        if await failover.assignments.compare_and_set(service=service.name, old=assignment, new=new):
            failover.ctx.counters.add(name="promotion.superseded")

    async def _withdraw_fence(self, *, service: Service, assignment: ServicePrimary) -> None:
        """Assigns the replica with the longest log, whose fence `SuccessorCheck` then determines anew.

        The log up to the present fence may be lost for good. Its end may hold commits that no replica has confirmed,
        and enough paused replicas have all others among them.
        """
        failover = self.failover
        primary = self.fencing.replaced_primary(service=service.name)
        successor = await self.fencing.fence(service=service, assignment=assignment, primary=primary)
        if successor is None or successor.name == assignment.primary:
            return
        new = replace(
            assignment,
            term=successor.term,
            primary=successor.name,
            fence=START,
            ready_in_us=failover.promotion_us,
        )
        if await failover.assignments.compare_and_set(service=service.name, old=assignment, new=new):
            failover.ctx.counters.add(name="promotion.fences_withdrawn")
            failover.ctx.log.warning(
                "service %s: no backend that answers has the log of %s up to %s; the longest log of "
                "the replicas of %s is sought",
                service.name,
                assignment.primary,
                assignment.fence,
                primary or "an unknown primary",
            )
