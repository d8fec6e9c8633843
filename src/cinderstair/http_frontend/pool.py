"""A pool of connections (channels) from one HTTP proxy to one backend, with a bounded queue."""

import asyncio
from collections import deque
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.net import Connection

US_PER_S = 1_000_000
DIAL_WAIT_US = 400_000
# channels idle for longer are closed instead of reused
MAX_IDLE_US = 45_000_000
# how long an error counts in `weight`, and as how many requests
ERROR_MEMORY_US = 10_000_000
ERROR_WEIGHT = 4
# how long no requests are sent to a backend after a failure to connect
DIAL_BACKOFF_US = 500_000
MIN_RETRY_AFTER_US = 100_000
# each new value contributes 1 / MEAN_HOLD_WEIGHT to the moving mean of hold times
MEAN_HOLD_WEIGHT = 4


@dataclass(frozen=True, slots=True)
class Channel:
    """A connection, and the time since which it has been idle or in use."""

    connection: Connection
    since_us: int


class Pool:
    """Owns the channels to one backend and the queue of requests that wait for one.

    Requests are served in order. One channel is reserved for position queries, which go to the head of the queue.

    :param queue_limit: how many requests may wait for a channel.
    """

    def __init__(self, *, ctx: Context, name: str, address: str, queue_limit: int) -> None:
        self.ctx = ctx
        self.name = name
        self.address = address
        self.queue_limit = queue_limit
        self.limit = 0
        self.idle: deque[Channel] = deque()
        self.in_use_count = 0
        self.waiters: deque[asyncio.Future[None]] = deque()
        self.recent_errors_us: deque[int] = deque()
        self.opened = 0
        self.closed = 0
        self.backoff_until_us = 0
        # by `id` of the connection
        self.acquired: dict[int, Channel] = {}
        # exponential moving mean of how long a channel is held
        self.mean_hold_us = 0

    @property
    def open(self) -> int:
        """The number of channels, in use or idle."""
        return self.in_use_count + len(self.idle)

    @property
    def weight(self) -> int:
        """The backend's load as seen here: requests in flight and waiting, plus ERROR_WEIGHT per recent error."""
        now_us = self.ctx.now_us()
        while self.recent_errors_us and self.recent_errors_us[0] < now_us - ERROR_MEMORY_US:
            self.recent_errors_us.popleft()
        return self.in_use_count + len(self.waiters) + ERROR_WEIGHT * len(self.recent_errors_us)

    @property
    def backing_off(self) -> bool:
        """Whether connecting failed less than DIAL_BACKOFF_US ago."""
        return self.ctx.now_us() < self.backoff_until_us

    def record_error(self) -> None:
        """Records an error of the backend, which adds to `weight` for ERROR_MEMORY_US."""
        self.recent_errors_us.append(self.ctx.now_us())

    def _has_capacity(self, *, priority: bool) -> bool:
        # reads with a freshness bound wait for position queries, so these must not wait behind requests
        spare = 0 if priority or self.limit < 2 else 1
        return self.in_use_count < self.limit - spare

    async def acquire(self, *, wait_us: int, priority: bool = False) -> Result[Connection, CinderstairError]:
        """Acquires a channel for one request or one transaction; the caller returns it by `release`.

        :param priority: for position queries: goes to the head of the queue and may use the reserved channel.
        :returns: the connection; NO_BACKEND where the pool has no channels; OVERLOADED where none is likely to be
            free in time; an error of the connection.
        """
        if self.limit == 0:
            return Error(self._error(code=ErrorCode.NO_BACKEND, reason="not in this HTTP proxy's subset"))
        if not self._has_capacity(priority=priority):
            waited = await self._wait_for_capacity(wait_us=wait_us, priority=priority)
            if waited.is_error():
                return Error(waited.error)
        self.in_use_count += 1
        while self.idle:
            channel = self.idle.pop()
            if channel.connection.open and self.ctx.now_us() - channel.since_us < MAX_IDLE_US:
                return self._grant(connection=channel.connection)
            self._close(connection=channel.connection)
        return await self._dial(wait_us=wait_us)

    def _error(self, *, code: ErrorCode, reason: str, details: dict[str, int] | None = None) -> CinderstairError:
        return CinderstairError(code=code, reason=f"{self.name}: {reason}", details=details or {})

    async def _wait_for_capacity(self, *, wait_us: int, priority: bool) -> Result[None, CinderstairError]:
        entered_us = self.ctx.now_us()
        expected_us = self._expected_us(priority=priority)
        # a request unlikely to be served in time is rejected at once, with a time to retry, instead of timing out;
        # twice the expected wait, since requests differ widely
        if len(self.waiters) >= self.queue_limit or wait_us <= 2 * (expected_us + self._hold_us()):
            details = {"retryAfterUs": max(MIN_RETRY_AFTER_US, expected_us)}
            return Error(
                self._error(code=ErrorCode.OVERLOADED, reason="too many requests wait for a channel", details=details)
            )
        if not await self._queue(wait_us=wait_us, priority=priority):
            return Error(self._error(code=ErrorCode.OVERLOADED, reason="no channel within the time left"))
        if self.limit == 0:
            return Error(
                self._error(code=ErrorCode.NO_BACKEND, reason="removed from this HTTP proxy's subset during the wait")
            )
        # a request that would probably time out at the backend is rejected before it is sent, while nothing has run
        if not priority and entered_us + wait_us - self.ctx.now_us() < self._hold_us():
            self._wake()
            return Error(self._error(code=ErrorCode.OVERLOADED, reason="too little time is left after the wait"))
        return Ok(None)

    async def _queue(self, *, wait_us: int, priority: bool) -> bool:
        """Waits in the queue; False where no channel became free in time."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if priority:
            self.waiters.appendleft(waiter)
        else:
            self.waiters.append(waiter)
        try:
            async with asyncio.timeout(wait_us / US_PER_S):
                await waiter
        except TimeoutError:
            # a channel granted at the moment of the timeout goes to the next waiter
            if waiter.done() and not waiter.cancelled():
                self._wake()
            return False
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        return True

    def _expected_us(self, *, priority: bool) -> int:
        """Estimated wait of one more request, from recent hold times."""
        ahead = 0 if priority else len(self.waiters)
        return (ahead + 1) * self._hold_us() // max(1, self.limit - (0 if priority else 1))

    def _hold_us(self) -> int:
        """Typical hold time of a channel; includes those in use, so that a slowing backend is noticed early."""
        now_us = self.ctx.now_us()
        ages = [now_us - channel.since_us for channel in self.acquired.values()]
        return max(self.mean_hold_us, sum(ages) // len(ages) if ages else 0)

    def _grant(self, *, connection: Connection) -> Result[Connection, CinderstairError]:
        self.acquired[id(connection)] = Channel(connection, self.ctx.now_us())
        return Ok(connection)

    async def _dial(self, *, wait_us: int) -> Result[Connection, CinderstairError]:
        try:
            dialled = await self.ctx.net.dial(address=self.address, wait_us=min(wait_us, DIAL_WAIT_US))
        except BaseException:
            self._release()
            raise
        if dialled.is_error():
            self.record_error()
            self.backoff_until_us = self.ctx.now_us() + DIAL_BACKOFF_US
            self._release()
            return dialled
        self.opened += 1
        self.ctx.counters.add(name="channels.opened")
        return self._grant(connection=dialled.ok)

    def release(self, *, connection: Connection, keep: bool = True) -> None:
        """Returns a channel to the pool; with keep=False it is closed, as it may still carry a session's state."""
        channel = self.acquired.pop(id(connection), None)
        if channel is not None:
            # exponential moving mean: a single long transaction soon loses its weight
            self.mean_hold_us += (self.ctx.now_us() - channel.since_us - self.mean_hold_us) // MEAN_HOLD_WEIGHT
        if keep and connection.open and self.open <= self.limit:
            self.idle.append(Channel(connection, self.ctx.now_us()))
        else:
            self._close(connection=connection)
        self._release()

    def _release(self) -> None:
        self.in_use_count -= 1
        self._wake()

    def _wake(self) -> None:
        while self.waiters and (self._has_capacity(priority=False) or self.limit == 0):
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def _close(self, *, connection: Connection) -> None:
        connection.close()
        self.closed += 1
        self.ctx.counters.add(name="channels.closed")

    def resize(self, *, limit: int) -> None:
        """Changes the maximum number of channels; at 0 all waiting requests fail."""
        self.limit = limit
        # excess idle channels are closed at once, those in use on release
        while self.idle and self.open > limit:
            self._close(connection=self.idle.popleft().connection)
        self._wake()

    def close_idle(self) -> None:
        """Closes the idle channels."""
        while self.idle:
            self._close(connection=self.idle.popleft().connection)

    @property
    def longest_hold_us(self) -> int:
        """How long the longest-held channel in use has been held."""
        return max((self.ctx.now_us() - channel.since_us for channel in self.acquired.values()), default=0)

    def abort_requests(self) -> None:
        """Aborts all requests in flight, whose replies won't come or can't be used."""
        for channel in list(self.acquired.values()):
            channel.connection.expire_in_flight()
