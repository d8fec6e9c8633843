"""One HTTP proxy's connections (channels) to one backend."""

import asyncio
from collections import deque
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.net import Connection

US_PER_S = 1_000_000
DIAL_WAIT_US = 400_000
# idle channels are not used again after this
MAX_IDLE_US = 45_000_000
# how long an error counts in the weight, and as how many jobs
ERROR_MEMORY_US = 10_000_000
ERROR_WEIGHT = 4
# how long a backend is not dialled after a failure to connect
DIAL_BACKOFF_US = 500_000
MIN_RETRY_AFTER_US = 100_000
# one job's part of the sliding mean is 1 / MEAN_WEIGHT
MEAN_HOLD_WEIGHT = 4


@dataclass(frozen=True, slots=True)
class Channel:
    """A connection, and since when it has been idle, or in use."""

    connection: Connection
    since_us: int


class Pool:
    """Owns the channels. Jobs wait in order; one channel is kept for gauges, which jump the queue.

    :param queueMost: how many may wait for a channel.
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
        # by the connection's identity
        self.acquired: dict[int, Channel] = {}
        # how long jobs hold a channel: a sliding mean
        self.mean_hold_us = 0

    @property
    def open(self) -> int:
        """How many channels exist, in use or idle."""
        return self.in_use_count + len(self.idle)

    @property
    def weight(self) -> int:
        """Least is best: jobs under way and waiting, and each recent error counts as several."""
        now_us = self.ctx.now_us()
        while self.recent_errors_us and self.recent_errors_us[0] < now_us - ERROR_MEMORY_US:
            self.recent_errors_us.popleft()
        return self.in_use_count + len(self.waiters) + ERROR_WEIGHT * len(self.recent_errors_us)

    @property
    def backing_off(self) -> bool:
        """Whether the last connection failed moments ago."""
        return self.ctx.now_us() < self.backoff_until_us

    def record_error(self) -> None:
        """Records an error of the backend, which adds to its weight for a while."""
        self.recent_errors_us.append(self.ctx.now_us())

    def _has_capacity(self, *, priority: bool) -> bool:
        # a gauge that waits behind jobs would make every freshness promise wait with it
        spare = 0 if priority or self.limit < 2 else 1
        return self.in_use_count < self.limit - spare

    async def acquire(self, *, wait_us: int, priority: bool = False) -> Result[Connection, CinderstairError]:
        """A channel for one job or one transaction, to be given back by `give`.

        :param gauge: a position query, which goes ahead of jobs and may use the channel that is kept for it.
        :returns: NO_BACKEND where the pool has no channels; OVERLOADED where none is likely to be free in time; an
            error of the connection.
        """
        if self.limit == 0:
            return Error(self._error(code=ErrorCode.NO_BACKEND, reason="not in this HTTP proxy's share"))
        if not self._has_capacity(priority=priority):
            waited = await self._wait_for_room(wait_us=wait_us, priority=priority)
            if waited.is_error():
                return Error(waited.error)
        self.in_use_count += 1
        while self.idle:
            channel = self.idle.pop()
            if channel.connection.open and self.ctx.now_us() - channel.since_us < MAX_IDLE_US:
                return self._lend(connection=channel.connection)
            self._close(connection=channel.connection)
        return await self._dial(wait_us=wait_us)

    def _error(self, *, code: ErrorCode, reason: str, details: dict[str, int] | None = None) -> CinderstairError:
        return CinderstairError(code=code, reason=f"{self.name}: {reason}", details=details or {})

    async def _wait_for_room(self, *, wait_us: int, priority: bool) -> Result[None, CinderstairError]:
        entered_us = self.ctx.now_us()
        expected_us = self._expected_us(priority=priority)
        # whoever is not likely to be served in time is rejected now, with the time to come back, and not when it is
        # too late; twice the expected wait, since jobs differ widely
        if len(self.waiters) >= self.queue_limit or wait_us <= 2 * (expected_us + self._hold_us()):
            details = {"retryAfterUs": max(MIN_RETRY_AFTER_US, expected_us)}
            return Error(self._error(code=ErrorCode.OVERLOADED, reason="too many wait already", details=details))
        if not await self._queue(wait_us=wait_us, priority=priority):
            return Error(self._error(code=ErrorCode.OVERLOADED, reason="no channel within the time left"))
        if self.limit == 0:
            return Error(self._error(code=ErrorCode.NO_BACKEND, reason="left this HTTP proxy's share"))
        # what would most likely run out of time at the backend is better not sent, while nothing is kept
        if not priority and entered_us + wait_us - self.ctx.now_us() < self._hold_us():
            self._wake()
            return Error(self._error(code=ErrorCode.OVERLOADED, reason="too little time is left after the wait"))
        return Ok(None)

    async def _queue(self, *, wait_us: int, priority: bool) -> bool:
        """Waits for a connection; false where none came in time."""
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if priority:
            self.waiters.appendleft(waiter)
        else:
            self.waiters.append(waiter)
        try:
            async with asyncio.timeout(wait_us / US_PER_S):
                await waiter
        except TimeoutError:
            # a connection that came with the timeout goes to the next waiter
            if waiter.done() and not waiter.cancelled():
                self._wake()
            return False
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)
        return True

    def _expected_us(self, *, priority: bool) -> int:
        """How long one more job would wait, by how long channels were held of late."""
        ahead = 0 if priority else len(self.waiters)
        return (ahead + 1) * self._hold_us() // max(1, self.limit - (0 if priority else 1))

    def _hold_us(self) -> int:
        """How long a job holds a channel; those under way count too, so a backend that turns slow shows early."""
        now_us = self.ctx.now_us()
        ages = [now_us - channel.since_us for channel in self.acquired.values()]
        return max(self.mean_hold_us, sum(ages) // len(ages) if ages else 0)

    def _lend(self, *, connection: Connection) -> Result[Connection, CinderstairError]:
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
        return self._lend(connection=dialled.ok)

    def release(self, *, connection: Connection, keep: bool = True) -> None:
        """Returns a channel. One that may still hold somebody's state must be given back with keep=False."""
        channel = self.acquired.pop(id(connection), None)
        if channel is not None:
            # a sliding mean, in which one long transaction doesn't count for long
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
        """Changes how many channels may exist; at 0 whoever waits is refused."""
        self.limit = limit
        # idle channels go at once; those at work go when they are given back
        while self.idle and self.open > limit:
            self._close(connection=self.idle.popleft().connection)
        self._wake()

    def close_idle(self) -> None:
        """Closes the idle channels."""
        while self.idle:
            self._close(connection=self.idle.popleft().connection)

    @property
    def longest_hold_us(self) -> int:
        """For how long the channel that has been out longest has been out."""
        return max((self.ctx.now_us() - channel.since_us for channel in self.acquired.values()), default=0)

    def give_up(self) -> None:
        """Ends the waits of all jobs under way: what they wait for won't come, or would not count."""
        for channel in list(self.acquired.values()):
            channel.connection.give_up()
