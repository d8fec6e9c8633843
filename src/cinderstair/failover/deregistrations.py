"""Tracks replicas that have left, or are not heard, and whose logs may hold the only replicated copy of a commit."""

import asyncio

from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.errors import ErrorCode
from .backend_control import BackendControl
from .backend_poller import PROBE_WAIT_US
from .reachability_votes import ReachabilityPoll
from .replica_records import ReplicaRecords, UnheardReplica
from .service_members import ServiceMembers

# Pause between attempts to settle deregistrations, in microseconds.
RETRY_US = 300_000


class Deregistrations:
    """Owns the set of settled deregistrations.

    A replica confirms commits until its process exits, possibly long after its deregistration. Such an acknowledged
    commit may exist only in the logs of the primary and of that replica.

    Invariant: a deregistration is settled only after the process has exited and another replica has every commit that
    it may have confirmed. Until then the backend counts as a member for fencing.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        heartbeat_table: HeartbeatTable[Announcement],
        members: ServiceMembers,
        records: ReplicaRecords,
        control: BackendControl,
        reachability_poll: ReachabilityPoll,
    ) -> None:
        self.ctx = ctx
        self.heartbeat_table = heartbeat_table
        self.members = members
        self.records = records
        self.control = control
        self.reachability_poll = reachability_poll
        # names of backends
        self.settled: set[str] = set()
        # services with an attempt to settle in progress
        self.settling: set[str] = set()

    def unsettled(self, *, service: str) -> list[Announcement]:
        """The deregistered replicas whose logs may still be needed."""
        return [each for each in self.members.deregistered(service=service) if each.name not in self.settled]

    def settled_replicas(self, *, service: str) -> list[Announcement]:
        """The deregistered replicas whose logs are taken not to be needed any more."""
        return [each for each in self.members.deregistered(service=service) if each.name in self.settled]

    def settle(self, *, service: str, primary: Announcement | None, replicas: list[Announcement]) -> None:
        """Tries in the background to settle deregistrations and unheard replicas, unless an attempt is in progress.

        :param primary: None if it never sent a heartbeat; then nothing can be settled.
        """
        self.settled &= set(self.heartbeat_table.newest)
        if primary is None or service in self.settling:
            return
        departed = [each for each in self.unsettled(service=service) if each.name != primary.name]
        unheard = [each for each in self.records.unheard(service=service) if each.announcement.name != primary.name]
        if departed or unheard:
            self.settling.add(service)
            work = self._settle(
                service=service, departed=departed, unheard=unheard, primary=primary, replicas=replicas
            )
            self.ctx.spawn(work=work, name="deregistrations.settle")

    async def _settle(
        self,
        *,
        service: str,
        departed: list[Announcement],
        unheard: list[UnheardReplica],
        primary: Announcement,
        replicas: list[Announcement],
    ) -> None:
        try:
            ended = [each.name for each in departed if await self._has_ended(backend=each)]
            ended_unheard = [
                each.announcement.name for each in unheard if await self._has_ended(backend=each.announcement)
            ]
            lost = [each.announcement.name for each in unheard if each.expired and await self._is_lost(replica=each)]
            replicated = bool(ended or ended_unheard) and await self._is_replicated(
                primary=primary, replicas=replicas
            )
            if replicated and ended:
                self.settled.update(ended)
                self.ctx.log.info(
                    "service %s: the deregistrations of %s are settled: the processes have exited, and another "
                    "replica has every commit that they confirmed",
                    service,
                    ", ".join(ended),
                )
            forgotten = {*lost, *(ended_unheard if replicated else ())}
            if forgotten and await self.records.forget(service=service, names=forgotten):
                self.ctx.log.info(
                    "service %s: %s no longer count for a fence: exited, and another replica has every commit that "
                    "they confirmed, or silent and unreachable for too long",
                    service,
                    ", ".join(sorted(forgotten)),
                )
            if not replicated and not forgotten:
                await self.ctx.sleep(duration_us=RETRY_US)
        finally:
            self.settling.discard(service)

    async def _is_lost(self, *, replica: UnheardReplica) -> bool:
        """Whether a replica that has been silent for long can't be reached either."""
        state = await self.control.state(backend=replica.announcement, wait_us=PROBE_WAIT_US)
        return state.is_error()

    async def _has_ended(self, *, backend: Announcement) -> bool:
        """Whether a deregistered backend has exited: by a probe of its address, or a unanimous vote of the others."""
        state = await self.control.state(backend=backend, wait_us=PROBE_WAIT_US)
        if state.is_ok():
            return False
        if state.error.details.get("ended"):
            return True
        if state.error.code != ErrorCode.REQUEST_NOT_SENT:
            return False
        # A backend that is unreachable only from this daemon may still confirm commits for its primary.
        votes = await self.reachability_poll(backend.name)
        return votes.unanimously_unreachable

    async def _is_replicated(self, *, primary: Announcement, replicas: list[Announcement]) -> bool:
        """Whether a remaining replica has everything that the primary's log holds after the others have exited."""
        primary_state = await self.control.state(backend=primary, wait_us=PROBE_WAIT_US)
        if primary_state.is_error() or not primary_state.ok.is_primary:
            return False
        remaining = [each for each in replicas if each.state == READY and each.name != primary.name]
        requests = [self.control.state(backend=each, wait_us=PROBE_WAIT_US) for each in remaining]
        states = await asyncio.gather(*requests)
        return any(state.is_ok() and state.ok.received >= primary_state.ok.received for state in states)
