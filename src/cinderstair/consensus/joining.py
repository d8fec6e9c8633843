"""The attempts of a register replica without a vote to become a voter."""

import asyncio

from ..membership.membership import Membership
from ..runtime.context import Context
from .acceptor import Acceptor
from .register import Register
from .roster import Roster, Voter
from .standby import Vacancy, find_vacancy
from .voter_replacement import VoterReplacement
from .voter_watch import VoterWatch

# wait before the first attempt: when all replicas have just started, clients complete unfinished writes, and the
# ballots of a roster change, which rewrites keys, would compete with theirs
JOIN_DELAY_US = 600_000


class Joining:
    """Owns the start time of the current series of attempts; each attempt decides by the roster it is given."""

    def __init__(self, *, ctx: Context, me: Voter, register: Register, acceptor: Acceptor, watch: VoterWatch) -> None:
        self.ctx = ctx
        self.me = me
        self.register = register
        self.acceptor = acceptor
        self.watch = watch
        # when the current series of attempts began; None if this replica is not trying to join
        self.since_us: int | None = None

    async def attempt(self, *, roster: Roster, membership: Membership, max_voters: int) -> None:
        """Checks the voters, and takes a vacancy in the roster if there is one."""
        if self.since_us is None:
            self.since_us = self.ctx.now_us()
        self.watch.update_roster(roster=roster)
        self.watch.request_checks(roster=roster, membership=membership)
        if self.ctx.now_us() - self.since_us < JOIN_DELAY_US:
            return
        vacancy = find_vacancy(
            roster=roster, me=self.me, max_voters=max_voters, membership=membership, watch=self.watch
        )
        if vacancy is None or not await self._install_snapshot():
            return
        await self._take_vacancy(vacancy=vacancy, max_voters=max_voters)

    async def _install_snapshot(self) -> bool:
        """Copies every key from the voters, so that the first vote is already up to date. False if a read fails."""
        snapshot = await self.register.snapshot()
        if snapshot.is_error():
            return False
        installs = [
            self.acceptor.install(key=key, ballot=versioned.ballot, value=versioned.value)
            for key, versioned in snapshot.ok.items()
        ]
        await asyncio.gather(*installs)
        return True

    async def _take_vacancy(self, *, vacancy: Vacancy, max_voters: int) -> None:
        voter_replacement = VoterReplacement(ctx=self.ctx, register=self.register)
        entered = await voter_replacement.replace_voter(
            leaves=vacancy.leaves or "", enters=self.me, max_voters=max_voters
        )
        if entered.is_error():
            self.ctx.counters.add(name="vault.entersAgain")
            return
        await self.acceptor.adopt_roster(roster=entered.ok)
        self.since_us = None
