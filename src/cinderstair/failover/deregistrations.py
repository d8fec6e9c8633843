"""Tracks deregistered replicas whose logs may still hold the only replicated copy of a commit."""

import asyncio

from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.errors import ErrorCode
from .backend_control import BackendControl
from .backend_poller import PROBE_WAIT_US
from .reachability_votes import ReachabilityPoll
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
        control: BackendControl,
        reachability_poll: ReachabilityPoll,
    ) -> None:
        self.ctx = ctx
        self.heartbeat_table = heartbeat_table
        self.members = members
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
        """Tries in the background to settle a service's deregistrations, unless an attempt is in progress.

        :param primary: None if it never sent a heartbeat; then nothing can be settled.
        """
        self.settled &= set(self.heartbeat_table.newest)
        if primary is None or service in self.settling:
            return
        departed = [each for each in self.unsettled(service=service) if each.name != primary.name]
        if departed:
            self.settling.add(service)
            work = self._settle(service=service, departed=departed, primary=primary, replicas=replicas)
            self.ctx.spawn(work=work, name="deregistrations.settle")

    async def _settle(
        self, *, service: str, departed: list[Announcement], primary: Announcement, replicas: list[Announcement]
    ) -> None:
        try:
            ended = [each.name for each in departed if await self._has_ended(backend=each)]
            if ended and await self._is_replicated(primary=primary, replicas=replicas):
                self.settled.update(ended)
                self.ctx.log.info(
                    "service %s: the deregistrations of %s are settled: the processes have exited, and another "
                    "replica has every commit that they confirmed",
                    service,
                    ", ".join(ended),
                )
            else:
                await self.ctx.sleep(duration_us=RETRY_US)
        finally:
            self.settling.discard(service)

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
