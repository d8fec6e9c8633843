"""The links of a pool: those that are idle, those that are borrowed, and the queue of those that wait for one."""

import asyncio
import heapq
from collections.abc import Callable
from typing import NamedTuple

from ..membership.announcement import Announcement
from ..runtime.context import Context
from .forwarder import Forwarder, PeerProxy
from .link import Dialer, Link

# A backend that refused a link for want of capacity within this time counts as scarce.
SCARCE_FOR_US = 3_000_000
# How long an unused link is kept on demand: keeping it spares a new one, but where links are scarce others want it.
SCARCE_IDLE_US = 200_000
PLENTIFUL_IDLE_US = 400_000
# The first estimate of how long a link is borrowed.
INITIAL_USE_US = 20_000


class BorrowedLink(NamedTuple):
    """A link in use, and since when."""

    link: Link
    since_us: int


class Waiter(NamedTuple):
    """A request for a link. Lower ranks are served first, and equal ranks in the order of their numbers."""

    rank: int
    number: int
    future: asyncio.Future[Link]

    @property
    def pending(self) -> bool:
        """Whether it still waits."""
        return not self.future.done()


class LinkPoolBase:
    """Owns the links to one backend. A link is one lasting connection of this proxy to the backend.

    `limit`: how many links this proxy may have. `on_demand`: links are closed soon after their use.
    `borrowed` is keyed by the identity of the link; `forwarded` names those that forward to another proxy.
    `forwarder` is None where no other proxy may be asked to send in this one's stead.
    """

    def __init__(
        self, *, ctx: Context, backend: Announcement, dialer: Dialer, on_link_failure: Callable[[], None]
    ) -> None:
        """
        :param on_link_failure: called when the backend begins to look dead.
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
        """How many links of this proxy itself are open."""
        return len(self.idle) + len(self.borrowed) - len(self.forwarded)

    @property
    def open(self) -> int:
        """How many links of this proxy itself are open or being opened."""
        return self.connected + self.dialing

    @property
    def unreachable(self) -> bool:
        """Whether the backend is silent, or can't even be dialled."""
        return self.silent or bool(self.dial_failures and not self.idle and not self.borrowed)

    @property
    def load(self) -> int:
        """How many use a link or wait for one."""
        return len(self.borrowed) + len(self.waiting)

    # -- handing out --

    def _borrow(self, *, link: Link) -> Link:
        self.borrowed[id(link)] = BorrowedLink(link, self.ctx.now_us())
        return link

    def _offer(self, *, link: Link) -> None:
        """Gives a link to the first that waits, or else keeps it idle."""
        while self.waiting:
            waiter = heapq.heappop(self.waiting)
            if waiter.pending:
                waiter.future.set_result(self._borrow(link=link))
                return
        self.idle.append(link)
        self._close_when_unused(link=link)

    def _fail_waiting(self) -> None:
        """Tells all that wait that the backend can't be reached from here."""
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
        """Sets whether links are kept only while they are used; idle ones are then closed soon."""
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
        """Closes an idle link for other proxies to use, unless a link was asked for since."""
        if self.on_demand and requests == self.requests and any(each is link for each in self.idle):
            self.idle = [each for each in self.idle if each is not link]
            self.ctx.counters.add(name="links.given_back")
            link.close()
