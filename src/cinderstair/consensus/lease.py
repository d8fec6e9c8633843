"""The holder's side of a named lease, which a majority of the voters grants for a bounded time.

See Gray & Cheriton, Leases (1989); and Site Reliability Engineering (2016), chapter 23, on leader election.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..runtime.context import Context
from .messages import LeaseRequest, Status, status_of
from .register import Register

LENGTH_US = 2_000_000
# clock rates may differ slightly, so the holder stops this long before any voter considers the lease expired
MARGIN_US = 200_000
RENEW_US = 600_000
# bounds of the random delay before the next request after a failed one
MIN_RETRY_US, MAX_RETRY_US = 100_000, 900_000
# the upper bound grows with the number of contenders, at most by this factor
MAX_RETRY_FACTOR = 10
CONTENDERS_PER_FACTOR = 3


@dataclass(frozen=True, kw_only=True)
class GrantPoll:
    """The result of one lease request to all voters."""

    granted: bool
    answers: tuple[bytes, ...] = ()
    requested: int = 0

    @property
    def maybe_granted_by_some(self) -> bool:
        """Whether any voter granted the lease, or may have done so although its answer did not arrive."""
        return len(self.answers) < self.requested or any(
            status_of(answer=answer) == Status.OK for answer in self.answers
        )


class Lease:
    """Owns until when this process holds the lease, and when it requests it next.

    The holder counts the lease from the start of its request, so it never outlasts a voter's grant.

    :param name: the lease's name; at most one process holds it at a time.
    :param contenders: how many processes may request it.
    """

    def __init__(
        self, *, ctx: Context, register: Register, name: str, contenders: Callable[[], int] = lambda: 1
    ) -> None:
        self.ctx = ctx
        self.contenders = contenders
        self.register = register
        self.name = name
        self.until_us = 0
        self.next_request_us = 0
        # when the request was sent that began the current uninterrupted tenure
        self.since_us = 0
        # identifies the holder to the voters. Raised with each release, so that a delayed release can't end a later
        # grant
        self.holder = register.proposer

    @property
    def due(self) -> bool:
        """Whether it is time to renew the lease, or to try to acquire it again."""
        return self.ctx.now_us() >= self.next_request_us

    @property
    def held(self) -> bool:
        """Whether this process holds the lease now."""
        return self.ctx.now_us() < self.until_us

    def may_act(self, *, as_of_us: int) -> bool:
        """Whether the lease is held, and the caller's state was read from a majority after it was requested.

        State read before may lack the last writes of the previous holder.

        :param as_of_us: the time, on this process's monotonic clock, as of which the caller's state is current.
        """
        return self.held and as_of_us >= self.since_us

    async def _request(self, *, holder: int, length_us: int) -> GrantPoll:
        roster = self.register.roster
        if roster is None:
            return GrantPoll(granted=False)
        request = LeaseRequest(epoch=roster.epoch, lease=self.name, holder=holder, length_us=length_us)

        # counted against the roster that was asked: a roster learned meanwhile may have a smaller majority
        def enough(answers: list[bytes]) -> bool:
            return sum(status_of(answer=answer) == Status.OK for answer in answers) >= roster.majority

        answers = await self.register.poll(roster=roster, body=request.encode(), enough=enough)
        return GrantPoll(granted=enough(answers), answers=tuple(answers), requested=len(roster.voters))

    async def _give_back(self) -> None:
        holder, self.holder = self.holder, self.holder + 1
        await self._request(holder=holder, length_us=0)

    async def try_acquire(self) -> bool:
        """Acquires or renews the lease; whether it is held then. After a failed renewal it is kept until its end."""
        start_us, holder = self.ctx.now_us(), self.holder
        poll = await self._request(holder=holder, length_us=LENGTH_US)
        # if the lease was released meanwhile, another process may have acquired it
        if poll.granted and holder == self.holder:
            if not self.held:
                self.since_us = start_us
            self.until_us = start_us + LENGTH_US - MARGIN_US
        # contenders that each kept the grants of a minority would block one another until these expire
        elif not self.held and poll.maybe_granted_by_some:
            await self._give_back()
        self.next_request_us = self.ctx.now_us() + self._next_delay_us()
        return self.held

    def _next_delay_us(self) -> int:
        """The delay until the next request, in microseconds.

        Contenders that send at the same time split the voters' grants repeatedly, so the delay is random. Its upper
        bound grows with their number, because the first request of any of them is enough.
        """
        factor = min(MAX_RETRY_FACTOR, max(1, self.contenders() // CONTENDERS_PER_FACTOR))
        return RENEW_US if self.held else self.ctx.rng.randrange(MIN_RETRY_US, MAX_RETRY_US * factor)

    async def drop(self) -> None:
        """Releases the lease; it is not held from this call on, also if no voter can be reached."""
        self.until_us = 0
        await self._give_back()
