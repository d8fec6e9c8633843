"""The replacement of a voter: two roster changes of one voter each."""

from dataclasses import replace

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .lease_grants import MAX_LEASE_US
from .register import Register
from .roster import Roster, Voter
from .roster_change import overtaken


class VoterReplacement:
    """Can be interrupted anywhere and be run again: each step looks at the roster as it then is."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register

    async def replace_voter(self, *, leaves: str, enters: Voter, max_voters: int) -> Result[Roster, CinderstairError]:
        """Has `enters` take the seat of the voter named `leaves`, which may have left already.

        versionTaken: another change came first, or the roster is full. registerUnreachable: no majority answers, or
        the new voter doesn't. registerUnsure: the last change may come to be, or may not.

        :param leaves: empty where a free seat is taken.
        :param max_voters: how many voters the roster may have.
        """
        if not await self.register.find_roster() or self.register.roster is None:
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))
        roster = self.register.roster
        old = next((v for v in roster.voters if v.name == leaves and v.ident != enters.ident), None)
        if old is not None:
            left = await self._remove(roster=roster, old=old, max_voters=max_voters)
            if left.is_error():
                return left
        return await self._add(roster=self.register.roster or roster, enters=enters, max_voters=max_voters)

    async def _remove(self, *, roster: Roster, old: Voter, max_voters: int) -> Result[Roster, CinderstairError]:
        # a lease rests on the roster under which it was granted, and is not written again as keys are: two voters
        # that leave one after the other could take its majority away while its holder believes in it
        if len(roster.voters) < max_voters:
            ended = await self._await_lease_ends(roster=roster)
            if ended.is_error():
                return Error(ended.error)
        left = await self.register.change_roster(alter=lambda current: without(roster=current, ident=old.ident))
        if left.is_ok():
            self.ctx.log.info("register replica %s ident %x has left the roster", old.name, old.ident)
        return left

    async def _add(self, *, roster: Roster, enters: Voter, max_voters: int) -> Result[Roster, CinderstairError]:
        if roster.has(ident=enters.ident):
            return Ok(roster)
        # a replica that is no voter takes a free seat alone: it can't make the roster larger than it was founded
        if len(roster.voters) >= max_voters:
            reason = "the roster is full; name the register replica that leaves"
            return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=reason))
        # it may have voted under an older roster. As it adopts this one, which lacks it, it discards what it accepted
        # then; it must have done so before it votes again
        if not await self.register.send_roster(address=enters.address, roster=roster):
            reason = f"{enters.name} does not adopt the roster"
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason=reason))
        entered = await self.register.change_roster(alter=lambda current: with_voter(roster=current, voter=enters))
        if entered.is_ok():
            self.ctx.log.info("register replica %s ident %x has entered the roster", enters.name, enters.ident)
        return entered

    async def _await_lease_ends(self, *, roster: Roster) -> Result[None, CinderstairError]:
        """Waits until every lease that was granted under an earlier roster than this one has ended."""
        # once a majority has adopted this roster, no majority of an earlier one grants anything any more
        known = await self.register.vector()
        if known.is_error():
            return Error(known.error)
        await self.ctx.sleep(duration_us=MAX_LEASE_US)
        return Ok(None) if self.register.roster == roster else Error(overtaken())


def without(*, roster: Roster, ident: int) -> Roster:
    """The next roster, which lacks a voter."""
    voters = tuple(voter for voter in roster.voters if voter.ident != ident)
    return replace(roster, epoch=roster.epoch + 1, voters=voters)


def with_voter(*, roster: Roster, voter: Voter) -> Roster:
    """The next roster, which has another voter; they are in the order of their names."""
    voters = tuple(sorted((*roster.voters, voter), key=lambda each: each.name))
    return Roster(epoch=roster.epoch + 1, voters=voters)
