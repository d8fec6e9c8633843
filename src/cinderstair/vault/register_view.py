"""A view of the register: pulled by version, and current for a bounded time."""

import asyncio
from typing import Any

from expression import Result
from reactivex.subject import Subject

from ..pitch.context import Context
from ..pitch.fault import Fault
from ..pitch.ownermixin import OwnerMixin
from .acceptor import ROSTER_KEY
from .ballot import BLANK, Ballot
from .register import Found, Register
from .roster import readRoster

PULL_EVERY_US = 200_000
# why: no setting, since whoever moves a lead waits for all views by its own figure, so all must have the same
LEASE_US = 2_000_000
TOGETHER = 64


class RegisterView(OwnerMixin):
    """Owns what a daemon knows of the register. What it says counts only while it is current."""

    def __init__(
        self, *, ctx: Context, register: Register, everyUs: int = PULL_EVERY_US, leaseUs: int = LEASE_US
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.leaseUs = leaseUs
        self.asOfUs = -leaseUs
        self.known: dict[str, Found] = {}
        self.taken: dict[str, Ballot] | None = None
        self.changes: Subject[str] = Subject()
        self.openQueue()
        self.every(everyUs=everyUs, command=self.pull, name="view")

    @property
    def current(self) -> bool:
        return self.ctx.nowUs() < self.asOfUs + self.leaseUs

    async def pull(self) -> bool:
        """One round: the vector from a majority, then every value that it says we lack."""
        startUs = self.ctx.nowUs()
        highest = await self.register.vector()
        if highest.is_error():
            self.ctx.counters.add(name="view.missed")
            return False
        # why: what has been taken in whole once needs no second look at each of its keys
        unseen = {} if highest.ok is self.taken else highest.ok
        lacking = [key for key, ballot in unseen.items() if key not in self.known or self.known[key].ballot < ballot]
        # why: one after the other, a thousand keys that change at once would hold the view up for their journeys' sum
        for first in range(0, len(lacking), TOGETHER):
            keys = lacking[first : first + TOGETHER]
            founds = await asyncio.gather(*(self.register.read(key=key) for key in keys))
            for key, found in zip(keys, founds, strict=True):
                if found.is_error() or not self._take(key=key, found=found.ok):
                    return False
        self.taken = highest.ok
        # why: counted from the round's start, since anything may have been written the moment after it
        self.asOfUs = max(self.asOfUs, startUs)
        self.ctx.counters.add(name="view.pulls")
        return True

    def takeOwn(self, *, key: str, result: Result[Found, Fault]) -> None:
        """What we have ourselves written is known without another read."""
        if result.is_ok():
            self._take(key=key, found=result.ok)

    def _take(self, *, key: str, found: Found) -> bool:
        known = self.known.get(key)
        if known is not None and known.ballot >= found.ballot:
            return True
        changed = known is None or known.value != found.value
        # why: a value rewritten under a later ballot is no change, and must not restart any waiting
        if changed and found.value and not self._apply(key=key, value=found.value):
            return False
        self.known[key] = found
        if changed:
            self.changes.on_next(key)
        return True

    def _apply(self, *, key: str, value: bytes) -> bool:
        """Takes a value in; False where it can't be read here, so that the view can't be current."""
        if key == ROSTER_KEY:
            roster = readRoster(data=value)
            # why: whoever changed the roster may have died before telling the vaults
            if self.register.roster is None or roster.epoch > self.register.roster.epoch:
                self.register.learnRoster(roster=roster)
                self.ctx.spawn(work=self.register.tellAll(roster=roster), name="tell.roster")
        return True

    def ballotOf(self, *, key: str) -> Any:
        known = self.known.get(key)
        return BLANK if known is None else known.ballot
