"""One HTTP proxy's connections (channels) to one backend."""

import asyncio
from collections import deque

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.net import Connection

DIAL_WAIT_US = 400_000
# idle channels are not used again after this
MAX_IDLE_US = 45_000_000
# how long an error counts in the weight, and as how many jobs
ERROR_MEMORY_US = 10_000_000
ERROR_WEIGHT = 4
# how long a backend is not dialled after a failure to connect
SHUN_US = 500_000
MIN_RETRY_US = 100_000


class Pool:
    """Owns the channels. Jobs wait in order; one channel is kept for gauges, which jump the queue."""

    def __init__(self, *, ctx: Context, name: str, address: str, queueMost: int) -> None:
        self.ctx = ctx
        self.name = name
        self.address = address
        self.queueMost = queueMost
        self.limit = 0
        self.idle: deque[tuple[Connection, int]] = deque()
        self.taken = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.errors: deque[int] = deque()
        self.opened = 0
        self.closed = 0
        self.shun_until_us = 0
        self.out: dict[int, tuple[Connection, int]] = {}
        self.held_us = 0

    @property
    def open(self) -> int:
        """How many channels exist, in use or idle."""
        return self.taken + len(self.idle)

    @property
    def weight(self) -> int:
        """Least is best: jobs under way and waiting, and each recent error counts as several."""
        now_us = self.ctx.now_us()
        while self.errors and self.errors[0] < now_us - ERROR_MEMORY_US:
            self.errors.popleft()
        return self.taken + len(self.waiting) + ERROR_WEIGHT * len(self.errors)

    @property
    def shunned(self) -> bool:
        """Whether the last connection failed moments ago."""
        return self.ctx.now_us() < self.shun_until_us

    def blame(self) -> None:
        """Records an error of the backend, which adds to its weight for a while."""
        self.errors.append(self.ctx.now_us())

    def _room(self, *, gauge: bool) -> bool:
        # a gauge that waits behind jobs would make every freshness promise wait with it
        spare = 0 if gauge or self.limit < 2 else 1
        return self.taken < self.limit - spare

    async def take(self, *, wait_us: int, gauge: bool = False) -> Result[Connection, CinderstairError]:
        """A channel for one job or one transaction; the taker gives it back."""
        if self.limit == 0:
            return Error(
                CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{self.name}: not in this HTTP proxy's share")
            )
        entered_us = self.ctx.now_us()
        if not self._room(gauge=gauge):
            expected_us = self._expected_us(gauge=gauge)
            # who is not likely to be served in time is told so now, and when to come back, not when it is too
            # late; twice the expected wait, since jobs differ widely
            if len(self.waiting) >= self.queueMost or wait_us <= 2 * (expected_us + self._hold_us()):
                details = {"retryAfterUs": max(MIN_RETRY_US, expected_us)}
                return Error(
                    CinderstairError(
                        code=ErrorCode.OVERLOADED, reason=f"{self.name}: too many wait already", details=details
                    )
                )
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            if gauge:
                self.waiting.appendleft(turn)
            else:
                self.waiting.append(turn)
            try:
                async with asyncio.timeout(wait_us / 1_000_000):
                    await turn
            except TimeoutError:
                if turn.done() and not turn.cancelled():
                    self._wake()
                return Error(
                    CinderstairError(
                        code=ErrorCode.OVERLOADED, reason=f"{self.name}: no channel within the time left"
                    )
                )
            finally:
                if turn in self.waiting:
                    self.waiting.remove(turn)
            if self.limit == 0:
                return Error(
                    CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"{self.name}: left this HTTP proxy's share")
                )
            # what would most likely run out of time at the backend is better not sent, while nothing is kept
            if not gauge and entered_us + wait_us - self.ctx.now_us() < self._hold_us():
                self._wake()
                return Error(
                    CinderstairError(
                        code=ErrorCode.OVERLOADED, reason=f"{self.name}: too little time is left after the wait"
                    )
                )
        self.taken += 1
        while self.idle:
            connection, since_us = self.idle.pop()
            if connection.open and self.ctx.now_us() - since_us < MAX_IDLE_US:
                return self._out(connection=connection)
            self._shut(connection=connection)
        return await self._dial(wait_us=wait_us)

    def _expected_us(self, *, gauge: bool) -> int:
        """How long a joining replica would wait, by how long channels were held of late."""
        ahead = 0 if gauge else len(self.waiting)
        return (ahead + 1) * self._hold_us() // max(1, self.limit - (0 if gauge else 1))

    def _hold_us(self) -> int:
        """How long a job holds a channel; those under way count too, so a backend that turns slow shows early."""
        now_us = self.ctx.now_us()
        ages = [now_us - since_us for _, since_us in self.out.values()]
        return max(self.held_us, sum(ages) // len(ages) if ages else 0)

    def _out(self, *, connection: Connection) -> Result[Connection, CinderstairError]:
        self.out[id(connection)] = connection, self.ctx.now_us()
        return Ok(connection)

    async def _dial(self, *, wait_us: int) -> Result[Connection, CinderstairError]:
        try:
            dialled = await self.ctx.net.dial(address=self.address, wait_us=min(wait_us, DIAL_WAIT_US))
        except BaseException:
            self._leave()
            raise
        if dialled.is_error():
            self.blame()
            self.shun_until_us = self.ctx.now_us() + SHUN_US
            self._leave()
            return dialled
        self.opened += 1
        self.ctx.counters.add(name="channels.opened")
        return self._out(connection=dialled.ok)

    def give(self, *, connection: Connection, keep: bool = True) -> None:
        """Returns a channel. One that may still hold somebody's state must be given back with keep=False."""
        _, since_us = self.out.pop(id(connection), (None, 0))
        if since_us:
            # a sliding mean, in which one long transaction does not count for a membership
            self.held_us += (self.ctx.now_us() - since_us - self.held_us) // 4
        if keep and connection.open and self.open <= self.limit:
            self.idle.append((connection, self.ctx.now_us()))
        else:
            self._shut(connection=connection)
        self._leave()

    def _leave(self) -> None:
        self.taken -= 1
        self._wake()

    def _wake(self) -> None:
        while self.waiting and (self._room(gauge=False) or self.limit == 0):
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return

    def _shut(self, *, connection: Connection) -> None:
        connection.close()
        self.closed += 1
        self.ctx.counters.add(name="channels.closed")

    def resize(self, *, limit: int) -> None:
        """Changes how many channels may exist; at 0 whoever waits is refused."""
        self.limit = limit
        # idle channels go at once; those at work go when they are given back
        while self.idle and self.open > limit:
            self._shut(connection=self.idle.popleft()[0])
        self._wake()

    def shut_idle(self) -> None:
        """Closes the idle channels."""
        while self.idle:
            self._shut(connection=self.idle.popleft()[0])

    @property
    def oldest_us(self) -> int:
        """For how long the channel that has been out longest has been out."""
        return max((self.ctx.now_us() - since_us for _, since_us in self.out.values()), default=0)

    def give_up(self) -> None:
        """Ends the waits of all jobs under way: what they wait for won't come, or would not count."""
        for connection, _ in list(self.out.values()):
            connection.give_up()
