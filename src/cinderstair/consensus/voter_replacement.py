"""The replacement of a voter by two roster changes of one voter each."""

from dataclasses import replace

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .lease_grants import MAX_LEASE_US
from .register import Register
from .roster import Roster, Voter
from .roster_change import roster_conflict


class VoterReplacement:
    """Removes the old voter, then adds the new one. It can be interrupted and repeated from the current roster."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register

    async def replace_voter(self, *, leaves: str, enters: Voter, max_voters: int) -> Result[Roster, CinderstairError]:
        """Replaces the voter named `leaves`, which may have been removed already, by `enters`.

        versionTaken: another change was made first, or the roster is full. registerUnreachable: no majority answers,
        or the new voter does not. registerUnsure: the last change may or may not take effect.

        :param leaves: empty to take a free seat.
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
        # leases are not rewritten under a new roster as keys are: if two voters were removed in a row, a majority of
        # the remaining ones might not know a lease that is still held
        if len(roster.voters) < max_voters:
            ended = await self._await_lease_ends(roster=roster)
            if ended.is_error():
                return Error(ended.error)
        left = await self.register.change_roster(alter=lambda current: without(roster=current, ident=old.ident))
        if left.is_ok():
            self.ctx.log.info("removed register replica %s (ident %x) from the roster", old.name, old.ident)
        return left

    async def _add(self, *, roster: Roster, enters: Voter, max_voters: int) -> Result[Roster, CinderstairError]:
        if roster.has(ident=enters.ident):
            return Ok(roster)
        # without a voter to remove, only a free seat may be taken, so that the roster never exceeds its size
        if len(roster.voters) >= max_voters:
            reason = "the roster is full; name the register replica that leaves"
            return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=reason))
        # the new voter may have voted under an older roster. By adopting this one, in which it is not a voter, it
        # clears the cells accepted then, which must happen before it votes again
        if not await self.register.send_roster(address=enters.address, roster=roster):
            reason = f"{enters.name} does not adopt the roster"
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason=reason))
        entered = await self.register.change_roster(alter=lambda current: with_voter(roster=current, voter=enters))
        if entered.is_ok():
            self.ctx.log.info("added register replica %s (ident %x) to the roster", enters.name, enters.ident)
        return entered

    async def _await_lease_ends(self, *, roster: Roster) -> Result[None, CinderstairError]:
        """Waits until every lease granted under an earlier roster has expired. Errors: no majority, versionTaken."""
        # once a majority has adopted this roster, no majority of an earlier one can grant a lease
        known = await self.register.vector()
        if known.is_error():
            return Error(known.error)
        await self.ctx.sleep(duration_us=MAX_LEASE_US)
        return Ok(None) if self.register.roster == roster else Error(roster_conflict())


def without(*, roster: Roster, ident: int) -> Roster:
    """The next roster, without one voter."""
    voters = tuple(voter for voter in roster.voters if voter.ident != ident)
    return replace(roster, epoch=roster.epoch + 1, voters=voters)


def with_voter(*, roster: Roster, voter: Voter) -> Roster:
    """The next roster, with one more voter; the voters are sorted by name."""
    voters = tuple(sorted((*roster.voters, voter), key=lambda each: each.name))
    return Roster(epoch=roster.epoch + 1, voters=voters)
