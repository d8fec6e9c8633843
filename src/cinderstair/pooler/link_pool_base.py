"""The state of a link pool: idle links, borrowed links, and the queue of requests for a link."""

import asyncio
import heapq
from collections.abc import Callable
from typing import NamedTuple

from ..membership.announcement import Announcement
from ..runtime.context import Context
from .forwarder import Forwarder, PeerProxy
from .link import Dialer, Link

# For how long after a backend refused a link at its connection limit its links count as scarce.
SCARCE_FOR_US = 3_000_000
# Idle timeouts of links on demand. A kept link saves a dial, but a scarce one is closed sooner for other proxies.
SCARCE_IDLE_US = 200_000
PLENTIFUL_IDLE_US = 400_000
# The initial estimate of how long a link is borrowed.
INITIAL_USE_US = 20_000


class BorrowedLink(NamedTuple):
    """A link in use, and when it was borrowed."""

    link: Link
    since_us: int


class Waiter(NamedTuple):
    """A queued request for a link. Lower ranks are served first, equal ranks in the order of `number`."""

    rank: int
    number: int
    future: asyncio.Future[Link]

    @property
    def pending(self) -> bool:
        """Whether it has neither received a link nor failed."""
        return not self.future.done()


class LinkPoolBase:
    """Owns this proxy's links to one backend.

    `limit`: how many links this proxy may have open. `on_demand`: idle links are closed after a short timeout.
    `closed`: no link is lent. `borrowed` is keyed by `id(link)`; `forwarded`: the ids of borrowed links that forward
    to another proxy and don't count towards the limit. `waiting`: a heap of requests. `requests`: how many links were
    requested so far. `mean_use_us`: the moving average of how long a link is borrowed. `last_full_us`: when the
    backend last refused a link at its connection limit. `suspected`: a failure was reported and no reply has come
    since. `silent`: the backend leaves statements unanswered. `forwarder`, `peer_proxies`: how and through which
    proxies statements are forwarded where `limit` is 0; None and empty where links are not allocated to proxies.
    """

    def __init__(
        self, *, ctx: Context, backend: Announcement, dialer: Dialer, on_link_failure: Callable[[], None]
    ) -> None:
        """
        :param on_link_failure: called when the backend becomes suspected.
        """
        self.ctx = ctx
        self.backend = backend
        self.dialer = dialer
        self.on_link_failure = on_link_failure
        self.limit = 1
        self.on_demand = False
        self.closed = False
        self.idle: list[Link] = []
        self.borrowed: dict[int, BorrowedLink] = {}
        self.forwarded: set[int] = set()
        self.waiting: list[Waiter] = []
        self.requests = 0
        self.mean_use_us = INITIAL_USE_US
        self.dialing = 0
        self.dial_failures = 0
        self.next_dial_us = 0
        self.last_full_us = -SCARCE_FOR_US
        self.last_answer_us = 0
        self.suspected = False
        self.silent = False
        self.forwarder: Forwarder | None = None
        self.peer_proxies: tuple[PeerProxy, ...] = ()

    @property
    def connected(self) -> int:
        """The number of open links, without those that forward."""
        return len(self.idle) + len(self.borrowed) - len(self.forwarded)

    @property
    def open(self) -> int:
        """The number of links that are open or being dialed, without those that forward."""
        return self.connected + self.dialing

    @property
    def unreachable(self) -> bool:
        """Whether the backend is silent, or dials fail and no link is left."""
        return self.silent or bool(self.dial_failures and not self.idle and not self.borrowed)

    @property
    def load(self) -> int:
        """The number of borrowed links and queued requests."""
        return len(self.borrowed) + len(self.waiting)

    # -- lending --

    def _borrow(self, *, link: Link) -> Link:
        self.borrowed[id(link)] = BorrowedLink(link, self.ctx.now_us())
        return link

    def _offer(self, *, link: Link) -> None:
        """Lends a link to the first queued request, or keeps it idle if there is none."""
        while self.waiting:
            waiter = heapq.heappop(self.waiting)
            if waiter.pending:
                waiter.future.set_result(self._borrow(link=link))
                return
        self.idle.append(link)
        self._close_when_unused(link=link)

    def _fail_waiting(self) -> None:
        """Fails all queued requests with ConnectionError."""
        waiting, self.waiting = self.waiting, []
        for waiter in waiting:
            if waiter.pending:
                waiter.future.set_exception(ConnectionError(self.backend.name))

    def _close_idle(self) -> None:
        idle, self.idle = self.idle, []
        for link in idle:
            link.close()

    # -- links on demand --

    def set_on_demand(self, *, on_demand: bool) -> None:
        """Sets whether idle links are closed after a short timeout."""
        if on_demand == self.on_demand:
            return
        self.on_demand = on_demand
        for link in self.idle:
            self._close_when_unused(link=link)

    def _close_when_unused(self, *, link: Link) -> None:
        if self.on_demand:
            scarce = self.ctx.now_us() - self.last_full_us < SCARCE_FOR_US
            idle_us = SCARCE_IDLE_US if scarce else PLENTIFUL_IDLE_US
            asyncio.get_running_loop().call_later(idle_us / 1_000_000, self._close_unused, link, self.requests)

    def _close_unused(self, link: Link, requests: int) -> None:
        """Closes a link that is still idle, unless the pool received a request meanwhile."""
        if self.on_demand and requests == self.requests and any(each is link for each in self.idle):
            self.idle = [each for each in self.idle if each is not link]
            self.ctx.counters.add(name="links.given_back")
            link.close()
