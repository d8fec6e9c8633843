"""Tracks replicas that have left, or are not heard, and whose logs may hold the only replicated copy of a commit."""

import asyncio
from enum import Enum, auto

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


class _Exit(Enum):
    """What a probe of a backend shows: its process may run, has exited, or nobody reaches it."""

    unknown = auto()
    exited = auto()
    unreachable = auto()


class Deregistrations:
    """Owns the set of settled deregistrations.

    A replica confirms commits until its process exits, possibly long after its deregistration. Such an acknowledged
    commit may exist only in the logs of the primary and of that replica.

    Invariant: a deregistration is settled only after the process has exited, or no controller reaches it, and another
    replica has every commit that it may have confirmed. Until then the backend counts as a member for fencing, and
    where it was only unreachable it counts after that as well if it is reachable again.
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
        # names of backends; those in `unreachable` are settled without proof that they have exited
        self.settled: set[str] = set()
        self.unreachable: set[str] = set()
        # services with an attempt to settle in progress
        self.settling: set[str] = set()

    def unsettled(self, *, service: str) -> list[Announcement]:
        """The deregistered replicas whose logs may still be needed."""
        return [
            each
            for each in self.members.deregistered(service=service)
            if each.name not in self.settled and self.records.keeps_departure(service=service, name=each.name)
        ]

    def presumed_exited(self, *, service: str) -> list[Announcement]:
        """The settled replicas of which it is not certain that they have exited."""
        return [each for each in self.members.deregistered(service=service) if each.name in self.unreachable]

    @property
    def exited(self) -> set[str]:
        """The names of the deregistered backends that have certainly exited, and are not needed any more."""
        return self.settled - self.unreachable

    def settle(self, *, service: str, primary: Announcement | None, replicas: list[Announcement]) -> None:
        """Tries in the background to settle deregistrations and unheard replicas, unless an attempt is in progress.

        :param primary: None if it never sent a heartbeat; then nothing can be settled.
        """
        self.settled &= set(self.heartbeat_table.newest)
        self.unreachable &= self.settled
        if primary is None or service in self.settling:
            return
        departed = [each for each in self.unsettled(service=service) if each.name != primary.name]
        unheard = [each for each in self.records.unheard(service=service) if each.announcement.name != primary.name]
        if departed or unheard or self.presumed_exited(service=service):
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
            await self._confirm_exits(service=service)
            settled = await self._settle_departed(
                service=service, departed=departed, primary=primary, replicas=replicas
            )
            forgotten = await self._forget_unheard(
                service=service, unheard=unheard, primary=primary, replicas=replicas
            )
            if not settled and not forgotten:
                await self.ctx.sleep(duration_us=RETRY_US)
        finally:
            self.settling.discard(service)

    async def _confirm_exits(self, *, service: str) -> None:
        """Probes the replicas that were only unreachable again; one that has exited need not be asked any more."""
        for backend in self.presumed_exited(service=service):
            state = await self.control.state(backend=backend, wait_us=PROBE_WAIT_US)
            if state.is_error() and state.error.details.get("ended"):
                self.unreachable.discard(backend.name)

    async def _settle_departed(
        self, *, service: str, departed: list[Announcement], primary: Announcement, replicas: list[Announcement]
    ) -> bool:
        """Settles the deregistrations that need not be waited for; whether there is one."""
        exits = {each.name: await self._exit(backend=each) for each in departed}
        ended = [name for name, found in exits.items() if found is not _Exit.unknown]
        if not ended or not await self._is_replicated(primary=primary, replicas=replicas):
            return False
        self.settled.update(ended)
        self.unreachable.update(name for name in ended if exits[name] is _Exit.unreachable)
        self.ctx.log.info(
            "service %s: the deregistrations of %s are settled: the processes have exited, and another "
            "replica has every commit that they confirmed",
            service,
            ", ".join(ended),
        )
        return True

    async def _forget_unheard(
        self, *, service: str, unheard: list[UnheardReplica], primary: Announcement, replicas: list[Announcement]
    ) -> bool:
        """Removes unheard replicas from the record that need not be waited for; whether there is one."""
        exits = {each.announcement.name: await self._exit(backend=each.announcement) for each in unheard}
        expired = {each.announcement.name for each in unheard if each.expired}
        exited = {name for name, found in exits.items() if found is _Exit.exited}
        forgotten = {name for name, found in exits.items() if name in expired and found is not _Exit.unknown}
        if exited - forgotten and await self._is_replicated(primary=primary, replicas=replicas):
            forgotten |= exited
        if not forgotten or not await self.records.forget(service=service, names=forgotten):
            return False
        self.ctx.log.info(
            "service %s: %s no longer count for a fence: exited, and another replica has every commit that "
            "they confirmed, or silent and unreachable for too long",
            service,
            ", ".join(sorted(forgotten)),
        )
        return True

    async def _exit(self, *, backend: Announcement) -> _Exit:
        """Whether a backend has exited, by a probe of its address, else whether any controller reaches it."""
        state = await self.control.state(backend=backend, wait_us=PROBE_WAIT_US)
        if state.is_ok():
            return _Exit.unknown
        if state.error.details.get("ended"):
            return _Exit.exited
        if state.error.code != ErrorCode.REQUEST_NOT_SENT:
            return _Exit.unknown
        # A backend that is unreachable only from this daemon may still confirm commits for its primary.
        votes = await self.reachability_poll(backend.name)
        return _Exit.unreachable if votes.unanimously_unreachable else _Exit.unknown

    async def _is_replicated(self, *, primary: Announcement, replicas: list[Announcement]) -> bool:
        """Whether a remaining replica has everything that the primary's log holds after the others have exited."""
        primary_state = await self.control.state(backend=primary, wait_us=PROBE_WAIT_US)
        if primary_state.is_error() or not primary_state.ok.is_primary:
            return False
        remaining = [each for each in replicas if each.state == READY and each.name != primary.name]
        requests = [self.control.state(backend=each, wait_us=PROBE_WAIT_US) for each in remaining]
        states = await asyncio.gather(*requests)
        return any(state.is_ok() and state.ok.received >= primary_state.ok.received for state in states)
