"""Copies that have left, until nothing rests on their logs any more."""

import asyncio
from collections.abc import Awaitable, Callable

from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.errors import ErrorCode
from .backend_control import BackendControl

FORGET_US = 25_000_000
PROBE_WAIT_US = 400_000
AGAIN_US = 300_000
# by a backend's name: how many others reach it, and how many have said whether they do
Opinions = Callable[[str], Awaitable[tuple[int, int]]]


class Departures:
    """Owns which deregistrations are settled: the backend has ended, and another holds all that it may have
    confirmed.

    A copy confirms commits until it ends, which may be long after its deregistration, and takes its log along.
    Until its
    deregistration is settled an acknowledged commit may stand nowhere but at the primary and in that log. So
    whoever is to
    be promoted meanwhile is fenced as if the copy were still there: with its pause, or not at all.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        heartbeat_table: HeartbeatTable[Announcement],
        control: BackendControl,
        opinions: Opinions,
    ) -> None:
        self.ctx = ctx
        self.heartbeat_table = heartbeat_table
        self.control = control
        self.opinions = opinions
        self.settled: set[str] = set()
        self.settling: set[str] = set()

    def unsettled(self, *, service: str) -> list[Announcement]:
        """The copies that have deregistered lately, and whose logs may still be needed."""
        found = []
        for name, heard in sorted(self.heartbeat_table.newest.items()):
            heartbeat = heard.heartbeat
            if (
                heartbeat.service != service
                or heartbeat.state != GONE
                or self.heartbeat_table.age_us(name=name) >= FORGET_US
            ):
                continue
            if name not in self.settled:
                found.append(heartbeat)
        return found

    def settle(self, *, service: str, primary: Announcement | None, replicas: list[Announcement]) -> None:
        """Has the deregistrations of a service looked after, where there are any and nobody does yet."""
        self.settled &= set(self.heartbeat_table.newest)
        if primary is None or service in self.settling:
            return
        left = [each for each in self.unsettled(service=service) if each.name != primary.name]
        if left:
            self.settling.add(service)
            work = self._settle(service=service, left=left, primary=primary, replicas=replicas)
            self.ctx.spawn(work=work, name="departures.settle")

    async def _settle(
        self, *, service: str, left: list[Announcement], primary: Announcement, replicas: list[Announcement]
    ) -> None:
        try:
            ended = [each.name for each in left if await self._has_ended(backend=each)]
            if ended and await self._is_followed(primary=primary, replicas=replicas):
                self.settled.update(ended)
                self.ctx.log.info("%s: deregistrations of %s are settled", service, ", ".join(ended))
            else:
                await self.ctx.sleep(duration_us=AGAIN_US)
        finally:
            self.settling.discard(service)

    async def _has_ended(self, *, backend: Announcement) -> bool:
        """Whether a backend that deregistered is not there any more, by its address or by what all of control see."""
        state = await self.control.state(backend=backend, wait_us=PROBE_WAIT_US)
        if state.is_ok():
            return False
        if state.error.details.get("ended"):
            return True
        if state.error.code != ErrorCode.WIRE_UNSENT:
            return False
        # why: silence alone may be a cut between it and this daemon, and it may go on confirming behind it
        reached, requested = await self.opinions(backend.name)
        return requested > 0 and not reached

    async def _is_followed(self, *, primary: Announcement, replicas: list[Announcement]) -> bool:
        """Whether a copy that stays holds all that the primary held after the others had ended."""
        leading = await self.control.state(backend=primary, wait_us=PROBE_WAIT_US)
        if leading.is_error() or not leading.ok.leads:
            return False
        staying = [each for each in replicas if each.state == READY and each.name != primary.name]
        asks = [self.control.state(backend=each, wait_us=PROBE_WAIT_US) for each in staying]
        states = await asyncio.gather(*asks)
        return any(state.is_ok() and state.ok.received >= leading.ok.received for state in states)
