"""One proxy's pool of links to one backend; a link is borrowed for one statement or transaction."""

import asyncio
import heapq

from expression import Error, Ok, Result

from ..membership.announcement import Announcement
from ..runtime.errors import CinderstairError, ErrorCode
from .link import Link
from .link_dialing import LinkDialingMixin
from .link_pool_base import Waiter
from .reply import Reply

MAX_WAITING_PER_LINK = 16
# A link with an abandoned statement is closed if no reply arrives within this time.
LATE_ANSWER_US = 2_500_000
# The weight of a new sample in the moving average of use times is 1 / MEAN_USE_SAMPLES.
MEAN_USE_SAMPLES = 8


class LinkPool(LinkDialingMixin):
    """Lends links. Queued requests are served by rank, then in order of arrival.

    A request that can't be served before its deadline is refused at once.
    """

    async def acquire(
        self, *, values: dict[bytes, bytes], rank: int, until_us: int, database: str = ""
    ) -> Result[Link, CinderstairError]:
        """Borrows a link for one statement or transaction; one that forwards to another proxy where `limit` is 0.

        :param values: the session's values; a link that already has them is preferred.
        :param rank: lower ranks are served first.
        :param until_us: the deadline of the wait, by this proxy's clock.
        Errors: OVERLOADED where no link becomes free in time, NO_BACKEND where the backend can't be reached or the
        pool is closed.
        """
        if self.limit or self.forwarder is None or self.closed:
            return await self.acquire_own(values=values, rank=rank, until_us=until_us)
        forwarded = await self.forwarder.link(
            peer_proxies=self.peer_proxies,
            backend=self.backend.name,
            service=self.backend.service,
            database=database,
            rank=rank,
            until_us=until_us,
        )
        if forwarded.is_error():
            return Error(forwarded.error)
        self.forwarded.add(id(forwarded.ok))
        return Ok(self._borrow(link=forwarded.ok))

    async def acquire_own(
        self, *, values: dict[bytes, bytes], rank: int, until_us: int
    ) -> Result[Link, CinderstairError]:
        """Borrows a link of this proxy and never forwards; parameters and errors as of `acquire`."""
        if self.closed:
            return Error(
                CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"the pool of {self.backend.name} is closed")
            )
        link = self._pick(values=values)
        self.requests += 1
        if link is not None:
            return Ok(self._borrow(link=link))
        refused = self._refuse_waiting(rank=rank, until_us=until_us)
        if refused is not None:
            return Error(refused)
        return await self._wait_for_link(rank=rank, until_us=until_us)

    def _pick(self, *, values: dict[bytes, bytes]) -> Link | None:
        """Takes an idle link: one with the same values, else one without values, else the most recently used."""
        self.idle = [link for link in self.idle if link.open]
        if not self.idle:
            return None
        latest_first = range(len(self.idle) - 1, -1, -1)
        best = next((i for i in latest_first if self.idle[i].values == values), None)
        if best is None and values:
            best = next((i for i in latest_first if not self.idle[i].values), None)
        return self.idle.pop(-1 if best is None else best)

    def _refuse_waiting(self, *, rank: int, until_us: int) -> CinderstairError | None:
        """The error of a request that could not be served before its deadline; None where it should be queued."""
        now_us = self.ctx.now_us()
        ahead = sum(1 for waiter in self.waiting if waiter.rank <= rank and waiter.pending)
        wait_us = self.mean_use_us * ahead // max(1, self.limit)
        if ahead >= MAX_WAITING_PER_LINK * self.limit or now_us + wait_us >= until_us:
            return CinderstairError(
                code=ErrorCode.OVERLOADED, reason=f"{ahead} requests wait for a link to {self.backend.name}"
            )
        has_links = self.idle or self.borrowed or self.dialing
        if self.dial_failures and not has_links and now_us < self.next_dial_us:
            return CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{self.backend.name} does not answer")
        return None

    async def _wait_for_link(self, *, rank: int, until_us: int) -> Result[Link, CinderstairError]:
        now_us = self.ctx.now_us()
        future: asyncio.Future[Link] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, Waiter(rank, self.requests, future))
        self.grow()
        received = False
        try:
            async with asyncio.timeout(max(0, until_us - now_us) / 1_000_000):
                link = await future
                received = True
                return Ok(link)
        except TimeoutError:
            return Error(
                CinderstairError(
                    code=ErrorCode.OVERLOADED, reason=f"no link to {self.backend.name} became free in time"
                )
            )
        except ConnectionError:
            return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{self.backend.name} does not answer"))
        finally:
            # A link may be set as the result in the same loop iteration as the timeout; it goes back to the pool.
            if not future.done():
                future.cancel()
            elif not received and not future.cancelled() and future.exception() is None:
                self.release(link=future.result())

    def release(self, *, link: Link, keep: bool = True) -> None:
        """Returns a link to the pool. It is closed if it is lost, has unanswered statements or exceeds the limit.

        :param keep: False always closes the link.
        """
        borrowed = self.borrowed.pop(id(link), None)
        if borrowed is None:
            return
        if id(link) in self.forwarded:
            self.forwarded.discard(id(link))
            link.close()
            return
        use_us = self.ctx.now_us() - borrowed.since_us
        self.mean_use_us += (use_us - self.mean_use_us) // MEAN_USE_SAMPLES
        if not link.open:
            self.grow()
            return
        if not keep or self.closed or link.waiting or self.open >= self.limit + self.dialing:
            link.close()
            self.grow()
            return
        self._offer(link=link)

    def release_answered(self, *, link: Link, answer: asyncio.Future[Reply]) -> None:
        """Returns a link once its abandoned statement is answered; closes it after LATE_ANSWER_US without a reply."""
        self.ctx.spawn(work=self._release_answered(link=link, answer=answer), name="link.owed")

    async def _release_answered(self, *, link: Link, answer: asyncio.Future[Reply]) -> None:
        done, _ = await asyncio.wait([answer], timeout=LATE_ANSWER_US / 1_000_000)
        # Retrieves the exception, since asyncio logs futures whose exception is never retrieved.
        if done and not answer.cancelled() and answer.exception() is None:
            self.record_answer()
        self.release(link=link, keep=bool(done))

    def set_limit(self, *, limit: int) -> None:
        """Sets how many links this proxy may have. Excess idle links are closed at once, borrowed ones on release."""
        self.limit = limit
        while self.idle and self.connected > limit:
            self.idle.pop(0).close()
        if not limit:
            # No link will become available here; the callers may retry by forwarding.
            self._fail_waiting()

    def close(self) -> None:
        """Fails queued requests, closes idle links and lends none from now on; borrowed links may finish."""
        self.closed = True
        self._fail_waiting()
        self._close_idle()

    def reopen(self, *, backend: Announcement) -> None:
        """Lends links again after `close`."""
        self.backend = backend
        self.closed = False
