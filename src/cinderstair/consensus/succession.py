"""One register replica takes another's place in the roster, by two changes of one voter each."""

from dataclasses import replace

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .acceptor import LONGEST_LEASE_US
from .register import Register
from .roster import Roster, Voter


class Succession:
    """Can be cut short anywhere and be run again: each step looks at the roster as it then is."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register

    async def succeed(self, *, leaves: str, enters: Voter, most: int) -> Result[Roster, CinderstairError]:
        """`enters` takes the place of the voter named `leaves`, which may have gone already."""
        if not await self.register.find_roster():
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))
        roster = self.register.roster
        assert roster is not None
        old = next((v for v in roster.voters if v.name == leaves and v.ident != enters.ident), None)
        if old is not None:
            # why: a lease rests on the roster under which it was granted, and is not written again as keys are: two
            # voters that leave one after the other could take its majority away while its holder believes in it
            if len(roster.voters) < most:
                outwaited = await self._outwait(roster=roster)
                if outwaited.is_error():
                    return Error(outwaited.error)
            gone = old.ident
            left = await self.register.change_roster(alter=lambda current: without(roster=current, ident=gone))
            if left.is_error():
                return left
            self.ctx.log.info("register replica %s ident %x has left the roster", old.name, old.ident)
        roster = self.register.roster
        assert roster is not None
        if roster.has(ident=enters.ident):
            return Ok(roster)
        # why: a stranger takes a place that is free; it can't make the roster larger than it was founded
        if len(roster.voters) >= most:
            return Error(
                CinderstairError(
                    code=ErrorCode.VERSION_TAKEN, reason="the roster is full; name the register replica that leaves"
                )
            )
        # why: it may have voted under an older roster; it discards what it accepted then as it adopts this one, which
        # does not have it, and must have done so before it votes again
        if not await self.register.tell(address=enters.address, roster=roster):
            return Error(
                CinderstairError(
                    code=ErrorCode.REGISTER_UNREACHABLE, reason=f"{enters.name} does not adopt the roster"
                )
            )
        entered = await self.register.change_roster(
            alter=lambda current: Roster(
                epoch=current.epoch + 1,
                voters=tuple(sorted((*current.voters, enters), key=lambda voter: voter.name)),
            )
        )
        if entered.is_ok():
            self.ctx.log.info("register replica %s ident %x has entered the roster", enters.name, enters.ident)
        return entered

    async def _outwait(self, *, roster: Roster) -> Result[None, CinderstairError]:
        """Waits until every lease that was granted under an earlier roster than this one has run out."""
        # why: once a majority has taken this roster, no majority of an earlier one grants anything any more
        known = await self.register.vector()
        if known.is_error():
            return Error(known.error)
        await self.ctx.sleep(duration_us=LONGEST_LEASE_US)
        if self.register.roster != roster:
            return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="another change of roster came first"))
        return Ok(None)


def without(*, roster: Roster, ident: int) -> Roster:
    voters = tuple(voter for voter in roster.voters if voter.ident != ident)
    return replace(roster, epoch=roster.epoch + 1, voters=voters)
