"""Copies that have left, until nothing rests on their logs any more."""

import asyncio
from collections.abc import Awaitable, Callable

from ..membership.announcement import GONE, Announcement
from ..membership.beat import READY
from ..membership.news import News
from ..runtime.context import Context
from ..runtime.kind import Kind
from .backend_control import BackendControl

FORGET_US = 25_000_000
PROBE_WAIT_US = 400_000
AGAIN_US = 300_000
# by a backend's name: how many others reach it, and how many have said whether they do
Opinions = Callable[[str], Awaitable[tuple[int, int]]]


class Departures:
    """Owns which goodbyes are settled: the backend has ended, and another holds all that it may have confirmed.

    A copy confirms commits until it ends, which may be long after its goodbye, and takes its log along. Until its
    goodbye is settled an acknowledged commit may stand nowhere but at the primary and in that log. So whoever is to
    be promoted meanwhile is fenced as if the copy were still there: with its pause, or not at all.
    """

    def __init__(
        self, *, ctx: Context, news: News[Announcement], control: BackendControl, opinions: Opinions
    ) -> None:
        self.ctx = ctx
        self.news = news
        self.control = control
        self.opinions = opinions
        self.settled: set[str] = set()
        self.settling: set[str] = set()

    def unsettled(self, *, service: str) -> list[Announcement]:
        """The copies that have said goodbye lately, and whose logs may still be needed."""
        found = []
        for name, heard in sorted(self.news.best.items()):
            beat = heard.beat
            if beat.service != service or beat.state != GONE or self.news.age_us(name=name) >= FORGET_US:
                continue
            if name not in self.settled:
                found.append(beat)
        return found

    def settle(self, *, service: str, primary: Announcement | None, copies: list[Announcement]) -> None:
        """Has the goodbyes of a service looked after, where there are any and nobody does yet."""
        self.settled &= set(self.news.best)
        if primary is None or service in self.settling:
            return
        left = [each for each in self.unsettled(service=service) if each.name != primary.name]
        if left:
            self.settling.add(service)
            work = self._settle(service=service, left=left, primary=primary, copies=copies)
            self.ctx.spawn(work=work, name="departures.settle")

    async def _settle(
        self, *, service: str, left: list[Announcement], primary: Announcement, copies: list[Announcement]
    ) -> None:
        try:
            ended = [each.name for each in left if await self._has_ended(backend=each)]
            if ended and await self._is_followed(primary=primary, copies=copies):
                self.settled.update(ended)
                self.ctx.log.info("%s: goodbyes of %s are settled", service, ", ".join(ended))
            else:
                await self.ctx.rest(wait_us=AGAIN_US)
        finally:
            self.settling.discard(service)

    async def _has_ended(self, *, backend: Announcement) -> bool:
        """Whether a backend that said goodbye is not there any more, by its address or by what all of control see."""
        state = await self.control.state(backend=backend, wait_us=PROBE_WAIT_US)
        if state.is_ok():
            return False
        if state.error.details.get("ended"):
            return True
        if state.error.kind != Kind.wireUnsent:
            return False
        # why: silence alone may be a cut between it and this daemon, and it may go on confirming behind it
        reached, asked = await self.opinions(backend.name)
        return asked > 0 and not reached

    async def _is_followed(self, *, primary: Announcement, copies: list[Announcement]) -> bool:
        """Whether a copy that stays holds all that the primary held after the others had ended."""
        leading = await self.control.state(backend=primary, wait_us=PROBE_WAIT_US)
        if leading.is_error() or not leading.ok.leads:
            return False
        staying = [each for each in copies if each.state == READY and each.name != primary.name]
        asks = [self.control.state(backend=each, wait_us=PROBE_WAIT_US) for each in staying]
        states = await asyncio.gather(*asks)
        return any(state.is_ok() and state.ok.received >= leading.ok.received for state in states)
