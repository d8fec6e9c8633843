"""Changes of the roster by one voter at a time (single-server changes: Ongaro, 2014, section 4.2)."""

from collections.abc import Callable

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from .batches import batches, gather_pairs
from .roster import ROSTER_KEY, Roster, read_roster
from .snapshot import SnapshotMixin
from .versioned_value import VersionedValue

Decide = Callable[[bytes], Result[bytes, CinderstairError]]


def overtaken() -> CinderstairError:
    """The error of a roster change that another one preceded."""
    return CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="another change of roster came first")


def is_single_change(*, current: Roster, wanted: Roster) -> bool:
    """Whether a roster is the next epoch and differs by one voter, so that any two majorities of both meet."""
    changed = {voter.ident for voter in wanted.voters} ^ {voter.ident for voter in current.voters}
    return len(changed) == 1 and wanted.epoch == current.epoch + 1


class RosterChangeMixin(SnapshotMixin):
    """Moves the register from one roster to the next."""

    async def change(
        self, *, key: str, decide: Decide, founding: bool = False
    ) -> Result[VersionedValue, CinderstairError]:
        """Replaces a key's value by what `decide` makes of the current one."""
        raise NotImplementedError

    async def _rewrite_lagging_keys(self) -> Result[None, CinderstairError]:
        """Makes sure that a majority of the present roster holds every key's newest value.

        What only the roster before last held must be held by this one before another change is made. Where the
        answers of a majority agree on a key's ballot, it is held already; the others are written again.
        """
        highest = await self.vector()
        if highest.is_error():
            return Error(highest.error)
        for keys in batches(items=self.known.lagging()):
            for _, rewritten in await gather_pairs(items=keys, call=lambda key: self.change(key=key, decide=Ok)):
                if rewritten.is_error():
                    return Error(rewritten.error)
        return Ok(None)

    async def change_roster(self, *, alter: Callable[[Roster], Roster]) -> Result[Roster, CinderstairError]:
        """Moves to the next roster, which `alter` makes of the one that is known when this begins.

        versionTaken: another change came first. registerUnreachable: no majority answers, nothing was changed.
        registerUnsure: the change may come to be, or may not. internal: `alter` changed more than one voter.
        """
        current = await self.current_roster()
        if current is None:
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))
        rewritten = await self._rewrite_lagging_keys()
        if rewritten.is_error():
            return Error(rewritten.error)
        # keys written again under the roster before this one may lie where no majority of the next one looks
        if self.roster != current:
            return Error(overtaken())
        wanted = alter(current)
        if not is_single_change(current=current, wanted=wanted):
            return Error(CinderstairError(code=ErrorCode.INTERNAL, reason="a roster changes by one voter at a time"))
        chosen = await self._choose_roster(current=current, wanted=wanted)
        if chosen.is_error():
            return Error(chosen.error)
        return await self._publish_roster(roster=wanted)

    async def _choose_roster(self, *, current: Roster, wanted: Roster) -> Result[VersionedValue, CinderstairError]:
        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            if data and read_roster(data=data).epoch != current.epoch:
                return Error(overtaken())
            return Ok(wanted.bytes())

        return await self.change(key=ROSTER_KEY, decide=decide)

    async def _publish_roster(self, *, roster: Roster) -> Result[Roster, CinderstairError]:
        """Tells a chosen roster to its voters. registerUnsure: fewer than a majority have adopted it yet."""
        self.learn_roster(roster=roster)
        if await self.broadcast_roster(roster=roster) < roster.majority:
            reason = "the new roster is not known to a majority yet"
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNSURE, reason=reason))
        return Ok(roster)
