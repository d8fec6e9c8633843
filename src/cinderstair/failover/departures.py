"""Replicas that have deregistered, until nothing rests on their logs any more."""

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

# Pause before deregistrations that can't be settled yet are looked at again, in microseconds.
RETRY_US = 300_000


class Departures:
    """Owns which deregistrations are settled.

    A replica confirms commits until its process ends, which may be long after its deregistration, and takes its log
    along. Until then an acknowledged commit may exist at the primary and in that log alone.

    Invariant: a deregistration is settled only after the backend has ended and another replica holds all that it may
    have confirmed. Until it is settled the backend counts for fencing as if it were still a member.
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
        # services whose deregistrations are being looked at
        self.settling: set[str] = set()

    def unsettled(self, *, service: str) -> list[Announcement]:
        """The replicas that have deregistered lately, and whose logs may still be needed."""
        return [each for each in self.members.deregistered(service=service) if each.name not in self.settled]

    def settle(self, *, service: str, primary: Announcement | None, replicas: list[Announcement]) -> None:
        """Looks at a service's open deregistrations in the background, unless that is under way.

        :param primary: None where it was never heard; then nothing can be settled.
        """
        self.settled &= set(self.heartbeat_table.newest)
        if primary is None or service in self.settling:
            return
        departed = [each for each in self.unsettled(service=service) if each.name != primary.name]
        if departed:
            self.settling.add(service)
            work = self._settle(service=service, departed=departed, primary=primary, replicas=replicas)
            self.ctx.spawn(work=work, name="departures.settle")

    async def _settle(
        self, *, service: str, departed: list[Announcement], primary: Announcement, replicas: list[Announcement]
    ) -> None:
        try:
            ended = [each.name for each in departed if await self._has_ended(backend=each)]
            if ended and await self._is_followed(primary=primary, replicas=replicas):
                self.settled.update(ended)
                self.ctx.log.info(
                    "service %s: the deregistrations of %s are settled: they have ended, and another replica has "
                    "all that they confirmed",
                    service,
                    ", ".join(ended),
                )
            else:
                await self.ctx.sleep(duration_us=RETRY_US)
        finally:
            self.settling.discard(service)

    async def _has_ended(self, *, backend: Announcement) -> bool:
        """Whether a deregistered backend runs no more, by its address or by the votes of all control daemons."""
        state = await self.control.state(backend=backend, wait_us=PROBE_WAIT_US)
        if state.is_ok():
            return False
        if state.error.details.get("ended"):
            return True
        if state.error.code != ErrorCode.REQUEST_NOT_SENT:
            return False
        # A backend that is merely cut off from this daemon may go on confirming commits for its primary.
        votes = await self.reachability_poll(backend.name)
        return votes.unanimously_unreachable

    async def _is_followed(self, *, primary: Announcement, replicas: list[Announcement]) -> bool:
        """Whether a replica that stays holds all that the primary held after the others had ended."""
        leading = await self.control.state(backend=primary, wait_us=PROBE_WAIT_US)
        if leading.is_error() or not leading.ok.is_primary:
            return False
        staying = [each for each in replicas if each.state == READY and each.name != primary.name]
        requests = [self.control.state(backend=each, wait_us=PROBE_WAIT_US) for each in staying]
        states = await asyncio.gather(*requests)
        return any(state.is_ok() and state.ok.received >= leading.ok.received for state in states)
