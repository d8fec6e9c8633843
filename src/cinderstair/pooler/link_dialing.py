"""Opens a pool's links, and tells from answers and failures whether the backend is alive."""

from ..runtime.errors import ErrorCode
from .link import Link
from .link_pool_base import LinkPoolBase

DIAL_WAIT_US = 1_000_000
MIN_BACK_OFF_US = 100_000
MAX_BACK_OFF_US = 1_000_000
# Bounds the shift of the back-off; the maximum is reached before.
MAX_BACK_OFF_DOUBLINGS = 5
MAX_DIALS = 2
# A backend that is full is alive, and other proxies close links at any time, so it is asked again soon.
FULL_PAUSE_US = 25_000
# A statement that is unanswered for this long, while nothing else was answered, points to a dead backend.
SILENCE_US = 600_000


class LinkDialingMixin(LinkPoolBase):
    """Dials with back-off, and watches the backend's health."""

    # -- health --

    def record_answer(self) -> None:
        """Notes that the backend has answered, so it is alive."""
        self.last_answer_us = self.ctx.now_us()
        self.suspected = self.silent = False
        self.dial_failures = 0

    def report_suspicion(self) -> None:
        """Notes something that a dead backend would explain."""
        if not self.suspected and not self.closed:
            self.suspected = True
            self.ctx.counters.add(name="links.trouble")
            self.on_link_failure()

    def check_silence(self) -> None:
        """Finds out whether the backend is silent, and dials it as long as it is."""
        if self._is_silent():
            self.report_suspicion()
            self.silent = True
            # Idle links are as dead as the waiting ones, and no client should find that out by waiting.
            self._close_idle()
        if self.silent and not self.limit:
            self.silent = False
        # Where links are allocated to proxies, one beyond the limit would be another proxy's.
        within_limit = self.forwarder is None or self.open < self.limit
        may_dial = not self.dialing and not self.closed and self.ctx.now_us() >= self.next_dial_us
        if self.silent and within_limit and may_dial:
            self._spawn_dial(name="link.probe")

    def _is_silent(self) -> bool:
        """Whether the backend owes answers for long and has given none to anybody meanwhile.

        A link may idle for long in a client's transaction, so only unanswered statements count. A forwarding link's
        silence says nothing of the backend.
        """
        own = (each.link for each in self.borrowed.values() if id(each.link) not in self.forwarded)
        since_answer_us = self.ctx.now_us() - self.last_answer_us
        return since_answer_us > SILENCE_US and any(link.oldest_wait_us > SILENCE_US for link in own)

    # -- dialing --

    def grow(self) -> None:
        """Opens links for those that wait, as far as the limit allows."""
        wanted = sum(1 for waiter in self.waiting if waiter.pending) - self.dialing
        dials = min(wanted, self.limit - self.open, MAX_DIALS - self.dialing)
        if self.ctx.now_us() < self.next_dial_us or self.closed:
            return
        for _ in range(dials):
            self._spawn_dial(name="link.dial")

    def warm(self, *, count: int) -> None:
        """Opens a link ahead of need while fewer than `count` are open."""
        if self.open < min(count, self.limit) and not self.closed and self.ctx.now_us() >= self.next_dial_us:
            self._spawn_dial(name="link.warm")

    def _spawn_dial(self, *, name: str) -> None:
        self.dialing += 1
        self.ctx.spawn(work=self._dial(), name=name)

    async def _dial(self) -> None:
        try:
            result = await self.dialer(backend=self.backend, wait_us=DIAL_WAIT_US)
        finally:
            self.dialing -= 1
        if result.is_ok():
            self._opened(link=result.ok)
        elif result.error.code == ErrorCode.OVERLOADED:
            await self._wait_for_capacity()
        else:
            self._dial_failed()

    def _opened(self, *, link: Link) -> None:
        self.ctx.counters.add(name="links.opened")
        link.on_lost = lambda: self._lost(link=link)
        self.record_answer()
        if self.closed or self.connected >= self.limit:
            link.close()
        else:
            self._offer(link=link)
            self.grow()

    async def _wait_for_capacity(self) -> None:
        """Dials again after a short pause; the backend is alive and has as many links as it may."""
        self.ctx.counters.add(name="links.full")
        self.last_answer_us = self.last_full_us = self.ctx.now_us()
        wait_us = self.ctx.rng.randrange(FULL_PAUSE_US, 2 * FULL_PAUSE_US)
        self.next_dial_us = self.ctx.now_us() + wait_us
        await self.ctx.sleep(duration_us=wait_us)
        self.grow()

    def _dial_failed(self) -> None:
        self.dial_failures += 1
        wait_us = min(MAX_BACK_OFF_US, MIN_BACK_OFF_US << min(self.dial_failures, MAX_BACK_OFF_DOUBLINGS))
        self.next_dial_us = self.ctx.now_us() + self.ctx.rng.randrange(wait_us // 2, wait_us)
        self.report_suspicion()
        if not self.borrowed and not self.idle and not self.dialing:
            self._fail_waiting()

    def _lost(self, *, link: Link) -> None:
        """A link has ended without this proxy's doing."""
        self.idle = [each for each in self.idle if each is not link]
        self.ctx.counters.add(name="links.lost")
        if not self.closed:
            self.report_suspicion()
        if not self.borrowed and not self.idle and not self.dialing and self.waiting:
            self.grow()
