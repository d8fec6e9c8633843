"""Copies that have left, until nothing rests on their logs any more."""

import asyncio

from ..membership.announcement import GONE, Announcement
from ..membership.beat import READY
from ..membership.news import News
from ..runtime.context import Context
from ..runtime.kind import Kind
from .backend_control import BackendControl

FORGET_US = 25_000_000
PROBE_WAIT_US = 400_000
AGAIN_US = 300_000


class Departures:
    """Owns which goodbyes are settled: the backend has ended, and another holds all that it may have confirmed.

    A copy confirms commits until it ends, which may be long after its goodbye, and takes its log along. Until its
    goodbye is settled an acknowledged commit may stand nowhere but at the primary and in that log. So whoever is to
    be promoted meanwhile is fenced as if the copy were still there: with its pause, or not at all.
    """

    def __init__(self, *, ctx: Context, news: News[Announcement], control: BackendControl) -> None:
        self.ctx = ctx
        self.news = news
        self.control = control
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
            else:
                await self.ctx.rest(wait_us=AGAIN_US)
        finally:
            self.settling.discard(service)

    async def _has_ended(self, *, backend: Announcement) -> bool:
        """Whether a backend is surely not there; silence alone may be a cut between it and this daemon."""
        state = await self.control.state(backend=backend, wait_us=PROBE_WAIT_US)
        if state.is_ok():
            return False
        return state.error.kind == Kind.wireUnsent and bool(state.error.details.get("refused"))

    async def _is_followed(self, *, primary: Announcement, copies: list[Announcement]) -> bool:
        """Whether a copy that stays holds all that the primary held after the others had ended."""
        leading = await self.control.state(backend=primary, wait_us=PROBE_WAIT_US)
        if leading.is_error() or not leading.ok.leads:
            return False
        staying = [each for each in copies if each.state == READY and each.name != primary.name]
        asks = [self.control.state(backend=each, wait_us=PROBE_WAIT_US) for each in staying]
        states = await asyncio.gather(*asks)
        return any(state.is_ok() and state.ok.received >= leading.ok.received for state in states)
