"""Roster changes by one voter at a time (single-server changes: Ongaro, Consensus, 2014, section 4.2)."""

from collections.abc import Callable

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from .batches import batches, gather_pairs
from .roster import ROSTER_KEY, Roster, read_roster
from .snapshot import SnapshotMixin
from .versioned_value import VersionedValue

Decide = Callable[[bytes], Result[bytes, CinderstairError]]


def roster_conflict() -> CinderstairError:
    """The error of a roster change that lost against another one."""
    return CinderstairError(
        code=ErrorCode.VERSION_TAKEN,
        reason="another change of roster came first",
    )


def is_single_change(*, current: Roster, wanted: Roster) -> bool:
    """Whether a roster has the next epoch and differs by one voter, so that majorities of both rosters intersect."""
    changed = {voter.ident for voter in wanted.voters} ^ {voter.ident for voter in current.voters}
    return len(changed) == 1 and wanted.epoch == current.epoch + 1


class RosterChangeMixin(SnapshotMixin):
    """Changes the roster of the register; see `change_roster`."""

    async def change(
        self, *, key: str, decide: Decide, founding: bool = False
    ) -> Result[VersionedValue, CinderstairError]:
        """Replaces a key's value with the result of `decide` for the current value."""
        raise NotImplementedError

    async def _rewrite_lagging_keys(self) -> Result[None, CinderstairError]:
        """Makes a majority of the current roster hold the newest value of every key.

        A value that only a majority of the previous roster holds could be lost with a further change. Keys on whose
        ballot a majority agrees need no write; the others are rewritten.
        """
        highest = await self.vector()
        if highest.is_error():
            return Error(highest.error)
        for keys in batches(items=self.known_vectors.lagging()):
            for _, rewritten in await gather_pairs(items=keys, call=lambda key: self.change(key=key, decide=Ok)):
                if rewritten.is_error():
                    return Error(rewritten.error)
        return Ok(None)

    async def change_roster(self, *, alter: Callable[[Roster], Roster]) -> Result[Roster, CinderstairError]:
        """Replaces the roster known at the start of the call with the result of `alter`.

        versionTaken: another change was made first. registerUnreachable: no majority answers; nothing was changed.
        registerUnsure: the change may or may not take effect. internal: `alter` did not change exactly one voter.
        """
        current = await self.current_roster()
        if current is None:
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))
        rewritten = await self._rewrite_lagging_keys()
        if rewritten.is_error():
            return Error(rewritten.error)
        # keys rewritten under an older roster are not certain to be held by a majority of the next one
        if self.roster != current:
            return Error(roster_conflict())
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
                return Error(roster_conflict())
            return Ok(wanted.bytes())

        return await self.change(key=ROSTER_KEY, decide=decide)

    async def _publish_roster(self, *, roster: Roster) -> Result[Roster, CinderstairError]:
        """Sends the chosen roster to its voters. registerUnsure: no majority of them has adopted it yet."""
        self.learn_roster(roster=roster)
        if await self.broadcast_roster(roster=roster) < roster.majority:
            reason = "the new roster is not known to a majority yet"
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNSURE, reason=reason))
        return Ok(roster)
