"""A view of the register: pulled by version, and current for a bounded time."""

import asyncio
from typing import Any

from expression import Result
from reactivex.subject import Subject

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from .acceptor import ROSTER_KEY
from .ballot import BLANK, Ballot
from .register import Found, Register
from .roster import read_roster

PULL_EVERY_US = 200_000
# why: no setting, since whoever moves a lead waits for all views by its own figure, so all must have the same
LEASE_US = 2_000_000
TOGETHER = 64


class RegisterView(CommandQueueMixin):
    """Owns what a daemon knows of the register. What it says counts only while it is current."""

    def __init__(
        self, *, ctx: Context, register: Register, every_us: int = PULL_EVERY_US, lease_us: int = LEASE_US
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.lease_us = lease_us
        self.as_of_us = -lease_us
        self.known: dict[str, Found] = {}
        self.taken: dict[str, Ballot] | None = None
        self.changes: Subject[str] = Subject()
        self.open_queue()
        self.every(every_us=every_us, command=self.pull, name="view")

    @property
    def current(self) -> bool:
        return self.ctx.now_us() < self.as_of_us + self.lease_us

    async def pull(self) -> bool:
        """One round: the vector from a majority, then every value that it says we lack."""
        start_us = self.ctx.now_us()
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
        self.as_of_us = max(self.as_of_us, start_us)
        self.ctx.counters.add(name="view.pulls")
        return True

    def take_own(self, *, key: str, result: Result[Found, CinderstairError]) -> None:
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
            roster = read_roster(data=value)
            # why: whoever changed the roster may have died before telling the register replicas
            if self.register.roster is None or roster.epoch > self.register.roster.epoch:
                self.register.learn_roster(roster=roster)
                self.ctx.spawn(work=self.register.tell_all(roster=roster), name="tell.roster")
        return True

    def ballot_of(self, *, key: str) -> Any:
        known = self.known.get(key)
        return BLANK if known is None else known.ballot
