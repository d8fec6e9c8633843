"""A named lease: granted by a majority of the voters, and given up by its holder before it ends.

See Gray & Cheriton, Leases (1989); and Site Reliability Engineering (2016), chapter 23, on leader election.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..runtime.context import Context
from .messages import LeaseRequest, Status, status_of
from .register import Register

LENGTH_US = 2_000_000
# monotonic clocks may run apart a little: the holder stops well before any replica considers the lease ended
MARGIN_US = 200_000
RENEW_US = 600_000
# after a failed request the next one is sent at random between these
MIN_SEEK_US, MAX_SEEK_US = 100_000, 900_000
# the upper bound grows with the number of seekers, but at most by this factor
MAX_SEEK_FACTOR = 10
SEEKERS_PER_FACTOR = 3


@dataclass(frozen=True, kw_only=True)
class GrantPoll:
    """What came of one request to all voters."""

    granted: bool
    answers: tuple[bytes, ...] = ()
    requested: int = 0

    @property
    def maybe_granted_by_some(self) -> bool:
        """Whether a voter granted it, or may have done so without its answer having come."""
        return len(self.answers) < self.requested or any(
            status_of(answer=answer) == Status.OK for answer in self.answers
        )


class Lease:
    """Counted from the start of the request, so the holder's end is never later than a granter's.

    :param name: the name under which it is leased; at most one process holds it at a time.
    :param seekers: how many processes may seek it.
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
        # when the grant that began the present unbroken holding was requested
        self.since_us = 0
        # replicas know a holder by this number. It rises with each return, so that a return which arrives late can't
        # free what was granted again since
        self.holder = register.proposer

    @property
    def due(self) -> bool:
        """Whether it is time to renew it, or to seek it again."""
        return self.ctx.now_us() >= self.next_request_us

    @property
    def held(self) -> bool:
        """Whether this process holds it now."""
        return self.ctx.now_us() < self.until_us

    def may_act(self, *, as_of_us: int) -> bool:
        """Whether it is held, and what the holder knows was read from a majority since it has been.

        Until a grant the holder before may have changed anything; what was known then may be older than its last act.

        :param as_of_us: the moment, on this process's monotonic clock, as of which the holder's knowledge is current.
        """
        return self.held and as_of_us >= self.since_us

    async def _request(self, *, holder: int, length_us: int) -> GrantPoll:
        roster = self.register.roster
        if roster is None:
            return GrantPoll(granted=False)
        request = LeaseRequest(epoch=roster.epoch, lease=self.name, holder=holder, length_us=length_us)

        # the majority is that of the roster that was asked: one that is learnt meanwhile may be smaller
        def enough(answers: list[bytes]) -> bool:
            return sum(status_of(answer=answer) == Status.OK for answer in answers) >= roster.majority

        answers = await self.register.poll(roster=roster, body=request.encode(), enough=enough)
        return GrantPoll(granted=enough(answers), answers=tuple(answers), requested=len(roster.voters))

    async def _give_back(self) -> None:
        holder, self.holder = self.holder, self.holder + 1
        await self._request(holder=holder, length_us=0)

    async def try_acquire(self) -> bool:
        """Takes or renews the lease; whether it is held then."""
        start_us, holder = self.ctx.now_us(), self.holder
        poll = await self._request(holder=holder, length_us=LENGTH_US)
        # what was given back meanwhile may be another's by now
        if poll.granted and holder == self.holder:
            if not self.held:
                self.since_us = start_us
            self.until_us = start_us + LENGTH_US - MARGIN_US
        # two that each kept the grants of a minority would shut each other out until these end
        elif not self.held and poll.maybe_granted_by_some:
            await self._give_back()
        self.next_request_us = self.ctx.now_us() + self._pause_us()
        return self.held

    def _pause_us(self) -> int:
        """The time until the next request.

        Seekers in step would split the replicas' grants among them again and again, so each waits at random; the more
        they are the longer, since it is the first of them that counts.
        """
        factor = min(MAX_SEEK_FACTOR, max(1, self.contenders() // SEEKERS_PER_FACTOR))
        return RENEW_US if self.held else self.ctx.rng.randrange(MIN_SEEK_US, MAX_SEEK_US * factor)

    async def drop(self) -> None:
        """Gives the lease back; it is not held from this call on."""
        self.until_us = 0
        await self._give_back()
