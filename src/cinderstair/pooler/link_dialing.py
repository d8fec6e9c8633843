"""Dials a pool's links with backoff, and detects a backend that has failed from replies and dial errors."""

from ..runtime.errors import ErrorCode
from .link import Link
from .link_pool_base import LinkPoolBase

DIAL_WAIT_US = 1_000_000
MIN_BACK_OFF_US = 100_000
MAX_BACK_OFF_US = 1_000_000
# Limits the shift; MAX_BACK_OFF_US is reached before this many doublings.
MAX_BACK_OFF_DOUBLINGS = 5
MAX_DIALS = 2
# A backend at its connection limit is alive, and other proxies may close links at any time, so retries are frequent.
FULL_PAUSE_US = 25_000
# A backend is silent if a statement is unanswered for this long and no other reply has arrived meanwhile.
SILENCE_US = 600_000


class LinkDialingMixin(LinkPoolBase):
    """Dials links with randomized exponential backoff, and tracks whether the backend is suspected or silent."""

    # -- health --

    def record_answer(self) -> None:
        """Records a reply or a successful dial: the backend is neither suspected nor silent."""
        self.last_answer_us = self.ctx.now_us()
        self.suspected = self.silent = False
        self.dial_failures = 0

    def report_suspicion(self) -> None:
        """Marks the backend as suspected after a lost link, a failed dial or silence, and reports that once."""
        if not self.suspected and not self.closed:
            self.suspected = True
            self.ctx.counters.add(name="links.trouble")
            self.on_link_failure()

    def check_silence(self) -> None:
        """Updates whether the backend is silent, and dials it as a probe while it is."""
        if self._is_silent():
            self.report_suspicion()
            self.silent = True
            # Idle links to a silent backend are probably broken too; a statement on them would only time out.
            self._close_idle()
        if self.silent and not self.limit:
            self.silent = False
        # Where links are allocated to proxies, a link beyond the limit would exceed the backend's cap.
        within_limit = self.forwarder is None or self.open < self.limit
        may_dial = not self.dialing and not self.closed and self.ctx.now_us() >= self.next_dial_us
        if self.silent and within_limit and may_dial:
            self._spawn_dial(name="link.probe")

    def _is_silent(self) -> bool:
        """Whether a statement has waited longer than SILENCE_US and no reply has arrived on any link meanwhile.

        A link may be idle in a client's transaction, so only unanswered statements count. Forwarding links don't
        count, since their delay may be the other proxy's.
        """
        own = (each.link for each in self.borrowed.values() if id(each.link) not in self.forwarded)
        since_answer_us = self.ctx.now_us() - self.last_answer_us
        return since_answer_us > SILENCE_US and any(link.oldest_wait_us > SILENCE_US for link in own)

    # -- dialing --

    def grow(self) -> None:
        """Dials links for queued requests, up to the limit and MAX_DIALS at a time."""
        wanted = sum(1 for waiter in self.waiting if waiter.pending) - self.dialing
        dials = min(wanted, self.limit - self.open, MAX_DIALS - self.dialing)
        if self.ctx.now_us() < self.next_dial_us or self.closed:
            return
        for _ in range(dials):
            self._spawn_dial(name="link.dial")

    def warm(self, *, count: int) -> None:
        """Dials a link in advance if fewer than `count` are open."""
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
        """Dials again after a short random pause; the backend is alive but at its connection limit."""
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
        """Removes a lost link, suspects the backend, and dials if requests wait and no link is left."""
        self.idle = [each for each in self.idle if each is not link]
        self.ctx.counters.add(name="links.lost")
        if not self.closed:
            self.report_suspicion()
        if not self.borrowed and not self.idle and not self.dialing and self.waiting:
            self.grow()
