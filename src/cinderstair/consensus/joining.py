"""How a register replica without a vote becomes a voter."""

import asyncio

from ..membership.membership import Membership
from ..runtime.context import Context
from .acceptor import Acceptor
from .register import Register
from .roster import Roster, Voter
from .standby import Vacancy, find_vacancy
from .voter_replacement import VoterReplacement
from .voter_watch import VoterWatch

# when all replicas have just started, clients' unfinished writes are completed first: a roster change writes every
# key again, and its ballots and theirs would beat each other
JOIN_DELAY_US = 600_000


class Joining:
    """Takes one attempt at a time to become a voter; each looks at the roster as it then is."""

    def __init__(self, *, ctx: Context, me: Voter, register: Register, acceptor: Acceptor, watch: VoterWatch) -> None:
        self.ctx = ctx
        self.me = me
        self.register = register
        self.acceptor = acceptor
        self.watch = watch
        # when the present attempts began; None while there are none
        self.since_us: int | None = None

    async def attempt(self, *, roster: Roster, membership: Membership, max_voters: int) -> None:
        """Takes a vacancy, if there is one."""
        if self.since_us is None:
            self.since_us = self.ctx.now_us()
        self.watch.follow(roster=roster)
        self.watch.request_checks(roster=roster, membership=membership)
        if self.ctx.now_us() - self.since_us < JOIN_DELAY_US:
            return
        vacancy = find_vacancy(
            roster=roster, me=self.me, max_voters=max_voters, membership=membership, watch=self.watch
        )
        if vacancy is None or not await self._install_snapshot():
            return
        await self._take(vacancy=vacancy, max_voters=max_voters)

    async def _install_snapshot(self) -> bool:
        """Whether this replica now holds what the voters do, so that its first vote already counts for something."""
        snapshot = await self.register.snapshot()
        if snapshot.is_error():
            return False
        installs = [
            self.acceptor.install(key=key, ballot=versioned.ballot, value=versioned.value)
            for key, versioned in snapshot.ok.items()
        ]
        await asyncio.gather(*installs)
        return True

    async def _take(self, *, vacancy: Vacancy, max_voters: int) -> None:
        voter_replacement = VoterReplacement(ctx=self.ctx, register=self.register)
        entered = await voter_replacement.replace_voter(
            leaves=vacancy.leaves or "", enters=self.me, max_voters=max_voters
        )
        if entered.is_error():
            self.ctx.counters.add(name="vault.entersAgain")
            return
        await self.acceptor.adopt_roster(roster=entered.ok)
        self.since_us = None
