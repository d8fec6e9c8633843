"""A duty's lease: granted by a majority, given up by its holder before it ends."""

from collections.abc import Callable

from ..runtime.context import Context
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .acceptor import OK
from .register import Register

LENGTH_US = 2_000_000
# why: monotonic clocks may run apart a little; the holder stops well before any register replica thinks it ended
MARGIN_US = 200_000
RENEW_US = 600_000
SEEK_LEAST_US, SEEK_MOST_US = 100_000, 900_000
MOST_TIMES = 10


class Lease:
    """Counted from the start of the asking, so the holder's end is never later than a granter's."""

    def __init__(
        self, *, ctx: Context, register: Register, duty: str, seekers: Callable[[], int] = lambda: 1
    ) -> None:
        self.ctx = ctx
        self.seekers = seekers
        self.register = register
        self.duty = duty
        self.until_us = 0
        self.again_us = 0
        # when the grant that began the present unbroken holding was asked for
        self.since_us = 0
        # why: the register replicas know a holder by its number, and a new one after each return keeps a return
        # that comes late
        # from freeing what was taken again since
        self.holder = register.proposer

    @property
    def due(self) -> bool:
        """Whether it is time to renew it, or to seek it again."""
        return self.ctx.now_us() >= self.again_us

    @property
    def held(self) -> bool:
        return self.ctx.now_us() < self.until_us

    def may_act(self, *, as_of_us: int) -> bool:
        """Whether it is held, and what the holder knows was read from a majority since it has been.

        Until a grant the holder before may have changed anything; what was known then may be older than its last act.
        """
        return self.held and as_of_us >= self.since_us

    async def _ask(self, *, holder: int, length_us: int) -> tuple[bool, list[bytes], int]:
        """Whether a majority granted it, what was answered, and how many were asked."""
        roster = self.register.roster
        if roster is None:
            return False, [], 0
        packer = Packer().u8(value=MessageType.LEASE).u32(value=roster.epoch).text(value=self.duty)
        body = packer.u64(value=holder).u64(value=length_us).bytes()

        # why: a roster that is heard of meanwhile may be smaller, and these are not its voters' grants
        def enough(answers: list[bytes]) -> bool:
            return sum(answer[0] == OK for answer in answers) >= roster.majority

        answers = await self.register.poll(roster=roster, body=body, enough=enough)
        return enough(answers), answers, len(roster.voters)

    async def _give_back(self) -> None:
        holder, self.holder = self.holder, self.holder + 1
        await self._ask(holder=holder, length_us=0)

    async def seek(self) -> bool:
        """Takes or renews the lease; a minority's grants are given back at once."""
        start_us, holder = self.ctx.now_us(), self.holder
        granted, answers, requested = await self._ask(holder=holder, length_us=LENGTH_US)
        # why: what was given back meanwhile may be another's by now
        if granted and holder == self.holder:
            if not self.held:
                self.since_us = start_us
            self.until_us = start_us + LENGTH_US - MARGIN_US
        elif not self.held and (len(answers) < requested or any(answer[0] == OK for answer in answers)):
            # why: two that each hold a minority would shut each other out until both ran out
            await self._give_back()
        # why: seekers in step would split the register replicas' grants among them again and again, so each waits
        # its own time;
        # the more they are, the longer, since it is the first of them that counts
        most_us = SEEK_MOST_US * min(MOST_TIMES, max(1, self.seekers() // 3))
        wait_us = RENEW_US if self.held else self.ctx.rng.randrange(SEEK_LEAST_US, most_us)
        self.again_us = self.ctx.now_us() + wait_us
        return self.held

    async def drop(self) -> None:
        self.until_us = 0
        await self._give_back()
