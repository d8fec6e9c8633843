"""One proxy's links to one backend."""

import asyncio
import heapq
from collections.abc import Callable

from expression import Error, Ok, Result

from ..membership.announcement import Announcement
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .forwarder import Forwarder, PeerProxy
from .link import Dialer, Link
from .reply import Reply

DIAL_WAIT_US = 1_000_000
BACK_OFF_US, BACK_OFF_MOST_US = 100_000, 1_000_000
DIALS_AT_ONCE = 2
WAITING_PER_LINK = 16
SILENT_US = 600_000
OWED_US = 2_500_000
FULL_US = 25_000
# why: a link that is kept spares a new one; where the backend was full lately others want it more
SCARCE_US, SHORT_US, LONG_US = 3_000_000, 200_000, 400_000


class LinkPool:
    """Owns the links. Whoever waits is served by rank, then in order of coming."""

    def __init__(
        self, *, ctx: Context, backend: Announcement, dialer: Dialer, on_link_failure: Callable[[], None]
    ) -> None:
        self.ctx = ctx
        self.backend = backend
        self.dialer = dialer
        self.on_link_failure = on_link_failure
        self.limit = 1
        self.lent = False
        self.full_us = -SCARCE_US
        self.closed = False
        self.idle: list[Link] = []
        self.taken: dict[int, tuple[Link, int]] = {}
        self.dialing = 0
        self.waiting: list[tuple[int, int, asyncio.Future[Link]]] = []
        self.turn = 0
        self.failures = 0
        self.dial_from_us = 0
        self.heard_us = 0
        self.hold_us = 20_000
        self.problem = False
        self.silent = False
        # why: where this proxy may hold no link, those that hold some are asked to send in its stead
        self.forwarder: Forwarder | None = None
        self.peer_proxies: tuple[PeerProxy, ...] = ()
        self.forwarded: set[int] = set()

    @property
    def open(self) -> int:
        return len(self.idle) + len(self.taken) - len(self.forwarded) + self.dialing

    @property
    def unreachable(self) -> bool:
        """Whether the backend owes answers and is silent, or can't even be dialled."""
        return self.silent or bool(self.failures and not self.idle and not self.taken)

    @property
    def load(self) -> int:
        return len(self.taken) + len(self.waiting)

    def heard(self) -> None:
        """An answer came, so the backend is there."""
        self.heard_us = self.ctx.now_us()
        self.problem = self.silent = False
        self.failures = 0

    def blame(self) -> None:
        """Something went wrong that a dead backend would explain."""
        if not self.problem and not self.closed:
            self.problem = True
            self.ctx.counters.add(name="links.trouble")
            self.on_link_failure()

    def check_silence(self) -> None:
        """Blames a backend that owes answers for long and has given none to anybody meanwhile."""
        unheard_us = self.ctx.now_us() - self.heard_us
        # why: a link may rest for long in a client's transaction; only what is owed counts
        own = (link for link, _ in self.taken.values() if id(link) not in self.forwarded)
        # why: another proxy that is silent says nothing of the backend; its own links do
        if unheard_us > SILENT_US and any(link.owed_us > SILENT_US for link in own):
            self.blame()
            self.silent = True
            # why: what lies idle is as dead as what is waited for, and the next to ask must not learn it by waiting
            idle, self.idle = self.idle, []
            for link in idle:
                link.close()
        if self.silent and not self.limit:
            self.silent = False
        # why: where each link is dealt, one beyond our part would be somebody else's
        room = self.forwarder is None or self.open < self.limit
        if self.silent and room and not self.dialing and self.ctx.now_us() >= self.dial_from_us and not self.closed:
            self.dialing += 1
            self.ctx.spawn(work=self._dial(), name="link.probe")

    def _pick(self, *, values: dict[bytes, bytes]) -> Link | None:
        self.idle = [link for link in self.idle if link.open]
        if not self.idle:
            return None
        # why: a link that holds the session's values already needs nothing sent ahead
        best = next((i for i in reversed(range(len(self.idle))) if self.idle[i].values == values), None)
        if best is None and values:
            best = next((i for i in reversed(range(len(self.idle))) if not self.idle[i].values), None)
        return self.idle.pop(-1 if best is None else best)

    async def acquire(
        self, *, values: dict[bytes, bytes], rank: int, until_us: int, database: str = ""
    ) -> Result[Link, CinderstairError]:
        """A link for one statement or transaction: of our own, or else one that forwards to another proxy."""
        if self.limit or self.forwarder is None or self.closed:
            return await self.acquire_own(values=values, rank=rank, until_us=until_us)
        taken = await self.forwarder.link(
            peer_proxies=self.peer_proxies,
            backend=self.backend.name,
            service=self.backend.service,
            database=database,
            rank=rank,
            until_us=until_us,
        )
        if taken.is_error():
            return Error(taken.error)
        self.forwarded.add(id(taken.ok))
        return Ok(self._take(link=taken.ok))

    def allow(self, *, limit: int) -> None:
        """How many links this proxy may hold. What lies idle beyond that is closed at once."""
        self.limit = limit
        while self.idle and len(self.idle) + len(self.taken) - len(self.forwarded) > limit:
            self.idle.pop(0).close()
        if not limit:
            # why: who waits here would wait in vain, and may be sent elsewhere
            self._fail_waiting()

    async def acquire_own(
        self, *, values: dict[bytes, bytes], rank: int, until_us: int
    ) -> Result[Link, CinderstairError]:
        """A link of our own; crowded at once where none can come in time."""
        if self.closed:
            return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{self.backend.name} is leaving"))
        link = self._pick(values=values)
        self.turn += 1
        if link is not None:
            return Ok(self._take(link=link))
        now_us = self.ctx.now_us()
        ahead = sum(1 for entry in self.waiting if entry[0] <= rank and not entry[2].done())
        # why: who can't be served in time is told so now, and not when the time is up
        wait_us = self.hold_us * ahead // max(1, self.limit)
        if ahead >= WAITING_PER_LINK * self.limit or now_us + wait_us >= until_us:
            return Error(CinderstairError(code=ErrorCode.OVERLOADED, reason=f"{ahead} wait for {self.backend.name}"))
        if self.failures and not self.idle and not self.taken and not self.dialing and now_us < self.dial_from_us:
            return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{self.backend.name} does not answer"))
        future: asyncio.Future[Link] = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (rank, self.turn, future))
        self.grow()
        given = False
        try:
            async with asyncio.timeout(max(0, until_us - now_us) / 1_000_000):
                link = await future
                given = True
                return Ok(link)
        except TimeoutError:
            return Error(
                CinderstairError(code=ErrorCode.OVERLOADED, reason=f"no link to {self.backend.name} in time")
            )
        except ConnectionError:
            return Error(CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{self.backend.name} does not answer"))
        finally:
            # why: a link that was handed over at the very moment of giving up must not be lost to the others
            if not future.done():
                future.cancel()
            elif not given and not future.cancelled() and future.exception() is None:
                self.release(link=future.result())

    def grow(self) -> None:
        """Opens links for those that wait, as far as the share goes."""
        wanted = sum(1 for entry in self.waiting if not entry[2].done()) - self.dialing
        room = min(wanted, self.limit - self.open, DIALS_AT_ONCE - self.dialing)
        if self.ctx.now_us() < self.dial_from_us or self.closed:
            return
        for _ in range(room):
            self.dialing += 1
            self.ctx.spawn(work=self._dial(), name="link.dial")

    def warm(self, *, count: int) -> None:
        """Sees to it that so many links are open before anybody needs them."""
        if self.open < min(count, self.limit) and not self.closed and self.ctx.now_us() >= self.dial_from_us:
            self.dialing += 1
            self.ctx.spawn(work=self._dial(), name="link.warm")

    async def _dial(self) -> None:
        try:
            result = await self.dialer(backend=self.backend, wait_us=DIAL_WAIT_US)
        finally:
            self.dialing -= 1
        if result.is_error() and result.error.code == ErrorCode.OVERLOADED:
            # why: a backend that is full is there; others give their links back, so it is asked again soon
            self.ctx.counters.add(name="links.full")
            self.heard_us = self.full_us = self.ctx.now_us()
            wait_us = self.ctx.rng.randrange(FULL_US, 2 * FULL_US)
            self.dial_from_us = self.ctx.now_us() + wait_us
            await self.ctx.sleep(duration_us=wait_us)
            self.grow()
            return
        if result.is_error():
            self.failures += 1
            wait_us = min(BACK_OFF_MOST_US, BACK_OFF_US << min(self.failures, 5))
            self.dial_from_us = self.ctx.now_us() + self.ctx.rng.randrange(wait_us // 2, wait_us)
            self.blame()
            if not self.taken and not self.idle and not self.dialing:
                self._fail_waiting()
            return
        self.ctx.counters.add(name="links.opened")
        link = result.ok
        link.on_lost = lambda: self._lost(link=link)
        self.heard()
        if self.closed or len(self.idle) + len(self.taken) - len(self.forwarded) >= self.limit:
            link.close()
        else:
            self._offer(link=link)
            self.grow()

    def _fail_waiting(self) -> None:
        waiting, self.waiting = self.waiting, []
        for _, _, future in waiting:
            if not future.done():
                future.set_exception(ConnectionError(self.backend.name))

    def _take(self, *, link: Link) -> Link:
        self.taken[id(link)] = (link, self.ctx.now_us())
        return link

    def _offer(self, *, link: Link) -> None:
        while self.waiting:
            _, _, future = heapq.heappop(self.waiting)
            if not future.done():
                future.set_result(self._take(link=link))
                return
        self.idle.append(link)
        self._linger(link=link)

    def lend(self, *, lent: bool) -> None:
        """Whether links are kept only while they are used; those that were kept till now go soon."""
        if lent == self.lent:
            return
        self.lent = lent
        for link in self.idle:
            self._linger(link=link)

    def _linger(self, *, link: Link) -> None:
        if self.lent:
            scarce = self.ctx.now_us() - self.full_us < SCARCE_US
            linger_us = SHORT_US if scarce else LONG_US
            asyncio.get_running_loop().call_later(linger_us / 1_000_000, self._give_back, link, self.turn)

    def _give_back(self, link: Link, turn: int) -> None:
        # why: where there are fewer links than proxies, one that nobody has used since must go to another proxy
        if self.lent and turn == self.turn and any(each is link for each in self.idle):
            self.idle = [each for each in self.idle if each is not link]
            self.ctx.counters.add(name="links.given_back")
            link.close()

    def release(self, *, link: Link, keep: bool = True) -> None:
        """Gives a link back; one that still owes an answer, or is lost, goes."""
        entry = self.taken.pop(id(link), None)
        if entry is None:
            return
        if id(link) in self.forwarded:
            self.forwarded.discard(id(link))
            link.close()
            return
        held_us = self.ctx.now_us() - entry[1]
        self.hold_us += (held_us - self.hold_us) // 8
        if not link.open:
            self.grow()
            return
        if not keep or self.closed or link.waiting or self.open >= self.limit + self.dialing:
            link.close()
            self.grow()
            return
        self._offer(link=link)

    def release_answered(self, *, link: Link, answer: asyncio.Future[Reply]) -> None:
        """Gives a link back once a statement that nobody waits for any more has been answered, or too late."""
        self.ctx.spawn(work=self._release_answered(link=link, answer=answer), name="link.owed")

    async def _release_answered(self, *, link: Link, answer: asyncio.Future[Reply]) -> None:
        done, _ = await asyncio.wait([answer], timeout=OWED_US / 1_000_000)
        # why: read, so that a link that was lost meanwhile is no error that nobody looked at
        if done and not answer.cancelled() and answer.exception() is None:
            self.heard()
        self.release(link=link, keep=bool(done))

    def _lost(self, *, link: Link) -> None:
        self.idle = [each for each in self.idle if each is not link]
        self.ctx.counters.add(name="links.lost")
        if not self.closed:
            self.blame()
        if not self.taken and not self.idle and not self.dialing and self.waiting:
            self.grow()

    def shut(self) -> None:
        """Nothing new goes to this backend; what is under way may end."""
        self.closed = True
        self._fail_waiting()
        idle, self.idle = self.idle, []
        for link in idle:
            link.close()

    def reopen(self, *, backend: Announcement) -> None:
        self.backend = backend
        self.closed = False
