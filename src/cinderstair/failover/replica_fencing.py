"""Fences an old primary by pausing its replicas."""

import asyncio
from dataclasses import dataclass

from expression import Result

from ..config.service_plan import Service
from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..runtime.errors import CinderstairError, ErrorCode
from .backend_control import BackendState
from .deregistrations import Deregistrations
from .replica_records import ReplicaRecords
from .service_failover_context import ServiceFailoverContext
from .service_primary import ServicePrimary
from .successor import Successor, most_advanced_paused

# Timeout for a replica to confirm that it is paused or resumed, in microseconds.
PAUSE_WAIT_US = 500_000
# Stands for the time since replicas were paused where an earlier lease holder paused them, in microseconds.
UNKNOWN_PAUSE_US = 1 << 50


@dataclass(frozen=True, kw_only=True)
class PausedReplicas:
    """The replicas that have confirmed a pause, the one with the longest log, and when the first pause was requested.

    `primary` is the one that is to be replaced. `since_us` is by the local clock.
    """

    primary: str
    names: frozenset[str]
    longest: Successor
    since_us: int


@dataclass(frozen=True, kw_only=True)
class DoubtfulReplicas:
    """Replicas that need not run any more: the states of those that answered, and all that could be reached."""

    states: dict[str, BackendState]
    reachable: tuple[Announcement, ...]


@dataclass(frozen=True, kw_only=True)
class PauseOutcome:
    """The states of the replicas that answered, all that count for a fence, and how many have to be paused."""

    states: dict[str, BackendState]
    replicas: list[Announcement]
    needed: int


class ReplicaFencing:
    """Owns which replicas are paused or may be, by service.

    Invariant: a successor is chosen only after enough replicas are paused that the old primary can't have another
    commit confirmed.
    """

    def __init__(
        self, *, failover: ServiceFailoverContext, deregistrations: Deregistrations, records: ReplicaRecords
    ) -> None:
        self.failover = failover
        self.deregistrations = deregistrations
        self.records = records
        # the highest term of a failed fencing attempt, by service
        self.terms: dict[str, int] = {}
        # services whose replicas may be paused and whose assignment has not been rewritten since
        self.fenced: set[str] = set()
        # the replicas paused by this lease holder for the promotion under way, by service
        self.held: dict[str, PausedReplicas] = {}

    async def fence(self, *, service: Service, assignment: ServicePrimary, primary: str) -> Successor | None:
        """Pauses replicas in a new term and returns the one with the longest log; None if too few could be paused.

        :param primary: the backend whose commits may have been acknowledged, and which is to be replaced.
        """
        term = max(assignment.term, self.terms.get(service.name, 0)) + 1
        began_us = self.failover.ctx.now_us()
        self.fenced.add(service.name)
        outcome = await self._pause_known(service=service, primary=primary, term=term, wait_for_all=False)
        paused = {name: state for name, state in outcome.states.items() if state.term_held == term}
        if len(paused) >= outcome.needed:
            successor = _longest(paused=paused, replicas=outcome.replicas, term=term)
            self.held[service.name] = PausedReplicas(
                primary=primary, names=frozenset(paused), longest=successor, since_us=began_us
            )
            self._log_fence(service=service.name, primary=primary, paused=paused, known=len(outcome.replicas))
            return successor
        higher = [state.term_held for state in outcome.states.values() if state.term_held > term]
        # A replica that refuses may have been paused for a higher term by a lease holder that has crashed since.
        self.terms[service.name] = max([term, *higher])
        reason = f"{primary} can't be fenced: {len(paused)} of {outcome.needed} required replicas are paused"
        departed = self._departed(service=service.name, primary=primary)
        if departed:
            reason += f" ({', '.join(each.name for each in departed)} deregistered or not heard)"
        if higher:
            reason += f", a replica is paused for the higher term {max(higher)}"
        self.failover.blocking.report(name=service.name, reason=reason)
        return None

    def _log_fence(self, *, service: str, primary: str, paused: dict[str, BackendState], known: int) -> None:
        """Logs which replicas are paused and how far each is, out of how many that this controller knows."""
        unsettled = self.deregistrations.unsettled(service=service)
        unheard = self.records.unheard(service=service)
        presumed = self.deregistrations.presumed_exited(service=service)
        self.failover.ctx.log.info(
            "service %s: %s is fenced: %d of %d known replicas are paused (%s); deregistered: %s; not heard: %s; "
            "presumed to have exited: %s; heartbeats received here for %d ms",
            service,
            primary,
            len(paused),
            known,
            ", ".join(f"{name} at {state.received}" for name, state in sorted(paused.items())),
            _names(backends=unsettled),
            _names(backends=[each.announcement for each in unheard if each.announcement.name != primary]),
            _names(backends=presumed),
            self.failover.members.heartbeat_table.running_us // 1_000,
        )

    async def fence_again(
        self, *, service: Service, assignment: ServicePrimary, require_answers: bool
    ) -> Successor | None:
        """Pauses the replicas known now, for an assignment that is moving, and returns the one with the longest log.

        Replicas that started since the first fence are among them.

        :param require_answers: whether a replica that was paused then, and does not answer now, counts as not paused:
            it may have restarted, which ends a pause, and have confirmed further commits.
        :returns: None if too few are paused.
        """
        primary = self.replaced_primary(service=service.name)
        outcome = await self._pause_known(service=service, primary=primary, term=assignment.term, wait_for_all=True)
        paused = {name: state for name, state in outcome.states.items() if state.term_held >= assignment.term}
        held = self.held.get(service.name)
        paused_before = frozenset() if held is None or require_answers else held.names - outcome.states.keys()
        count = len({each.name for each in outcome.replicas} & (paused.keys() | paused_before))
        if not paused or count < outcome.needed:
            reason = (
                f"{assignment.primary} can't be promoted: {count} of {outcome.needed} required replicas are paused"
            )
            self.failover.blocking.report(name=service.name, reason=reason)
            return None
        term = max(assignment.term, *(state.term_held for state in paused.values()))
        return _longest(paused=paused, replicas=outcome.replicas, term=term)

    async def _pause_known(self, *, service: Service, primary: str, term: int, wait_for_all: bool) -> PauseOutcome:
        """Pauses all known replicas of `primary`; unless `wait_for_all`, until enough of the certain ones are."""
        certain = [
            *self._others(service=service.name, primary=primary),
            *self._departed(service=service.name, primary=primary),
        ]
        enough = _fence_quorum(replicas=len(certain), confirmations=service.confirmations)
        answers, doubted = await asyncio.gather(
            self._pause(replicas=certain, term=term, needed=len(certain) if wait_for_all else enough),
            self._pause_doubtful(replicas=self._doubtful(service=service.name, primary=primary), term=term),
        )
        replicas = [*certain, *doubted.reachable]
        return PauseOutcome(
            states=answers | doubted.states,
            replicas=replicas,
            needed=_fence_quorum(replicas=len(replicas), confirmations=service.confirmations),
        )

    def replaced_primary(self, *, service: str) -> str:
        """The primary that a moving assignment replaces; empty if it is not known.

        Where it is not known, all backends are treated as replicas of it, which is safe.
        """
        held = self.held.get(service)
        # An earlier lease holder may have chosen the successor.
        return self.records.settled_primary(service=service) if held is None else held.primary

    def _others(self, *, service: str, primary: str) -> list[Announcement]:
        return [each for each in self.failover.members.of_service(service=service) if each.name != primary]

    def _departed(self, *, service: str, primary: str) -> list[Announcement]:
        """The replicas that have left or are not heard, and count for the fence whether or not they answer."""
        unheard = [each.announcement for each in self.records.unheard(service=service) if not each.expired]
        departed = [*self.deregistrations.unsettled(service=service), *unheard]
        return [each for each in departed if each.name != primary]

    def _doubtful(self, *, service: str, primary: str) -> list[Announcement]:
        """The replicas that have long been silent, or were unreachable after they had left.

        They count for the fence if they are reachable: the failover must not wait for those that are not.
        """
        unheard = self.records.unheard(service=service)
        expired = [each.announcement for each in unheard if each.expired]
        presumed = self.deregistrations.presumed_exited(service=service)
        return [each for each in (*expired, *presumed) if each.name != primary]

    def pausable(self, *, service: str) -> list[Announcement]:
        """The backends that a fence of the service may have paused."""
        unheard = [each.announcement for each in self.records.unheard(service=service)]
        departed = self.deregistrations.unsettled(service=service)
        presumed = self.deregistrations.presumed_exited(service=service)
        return [*self.failover.members.of_service(service=service), *departed, *presumed, *unheard]

    def assume_all_fenced(self) -> None:
        """Marks every service, since the previous lease holder may have left replicas paused."""
        self.fenced = set(self.failover.assignments.primaries)
        self.held.clear()

    def paused_for_us(self, *, service: str) -> int:
        """Time since this lease holder began to pause the service's replicas; `UNKNOWN_PAUSE_US` if it did not."""
        held = self.held.get(service)
        return UNKNOWN_PAUSE_US if held is None else self.failover.ctx.now_us() - held.since_us

    async def _pause(self, *, replicas: list[Announcement], term: int, needed: int) -> dict[str, BackendState]:
        return await self.failover.poller.gather(
            requests={each.name: self._pause_one(replica=each, term=term) for each in replicas},
            enough=lambda answers: sum(state.term_held == term for state in answers.values()) >= needed,
        )

    async def _pause_one(self, *, replica: Announcement, term: int) -> Result[BackendState, CinderstairError]:
        """Pauses a replica; one that calls itself primary, and is not the assigned one, steps down first.

        A primary can't be paused. A crashed primary that has returned under another name still calls itself primary.
        """
        control = self.failover.control
        state = await control.pause(backend=replica, term=term, wait_us=PAUSE_WAIT_US)
        if state.is_error() or not state.ok.is_primary:
            return state
        stepped = await control.step_down(backend=replica, term=term, wait_us=PAUSE_WAIT_US)
        if stepped.is_error() or stepped.ok.is_primary:
            return stepped
        return await control.pause(backend=replica, term=term, wait_us=PAUSE_WAIT_US)

    async def _pause_doubtful(self, *, replicas: list[Announcement], term: int) -> DoubtfulReplicas:
        results = await asyncio.gather(*(self._pause_one(replica=each, term=term) for each in replicas))
        answers = list(zip(replicas, results, strict=True))
        return DoubtfulReplicas(
            states={each.name: result.ok for each, result in answers if result.is_ok()},
            reachable=tuple(
                each for each, result in answers if result.is_ok() or result.error.code != ErrorCode.REQUEST_NOT_SENT
            ),
        )


def _names(*, backends: list[Announcement]) -> str:
    return ", ".join(each.name for each in backends) or "none"


def _longest(*, paused: dict[str, BackendState], replicas: list[Announcement], term: int) -> Successor:
    """The paused replica with the longest log, as the primary of `term`."""
    best = most_advanced_paused(paused=paused, ready={each.name for each in replicas if each.state == READY})
    return Successor(term=term, name=best, fence=paused[best].received)


def _fence_quorum(*, replicas: int, confirmations: int) -> int:
    """The number of replicas to pause so that every set of `confirmations` replicas includes a paused one."""
    return max(1, replicas - confirmations + 1) if confirmations else 1
