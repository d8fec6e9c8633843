"""A local view of the register: pulled by ballot, and current for a bounded time after each pull."""

from expression import Result
from reactivex.subject import Subject

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from .ballot import BLANK, Ballot
from .batches import batches, gather_pairs
from .register import Register
from .roster import ROSTER_KEY, read_roster
from .versioned_value import VersionedValue

PULL_EVERY_US = 200_000
# not a setting: a failover waits this long for all views to expire, so all processes must use the same value
LEASE_US = 2_000_000


class RegisterView(CommandQueueMixin):
    """Owns this process's copy of the register's values, which may be used only while the view is current.

    `changes` publishes the key of each value that changed.

    :param lease_us: how long the view stays current after the start of a complete pull.
    """

    def __init__(
        self, *, ctx: Context, register: Register, every_us: int = PULL_EVERY_US, lease_us: int = LEASE_US
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.lease_us = lease_us
        self.as_of_us = -lease_us
        self.known: dict[str, VersionedValue] = {}
        # the last vector whose values have all been applied
        self.applied_vector: dict[str, Ballot] | None = None
        self.changes: Subject[str] = Subject()
        self.open_queue()
        self.every(every_us=every_us, command=self.pull, name="view")

    @property
    def current(self) -> bool:
        """Whether every value written more than `lease_us` ago is known here."""
        return self.ctx.now_us() < self.as_of_us + self.lease_us

    async def pull(self) -> bool:
        """Reads the vector from a majority, then each newer value; whether all of them were read and applied."""
        start_us = self.ctx.now_us()
        highest = await self.register.vector()
        if highest.is_error():
            self.ctx.counters.add(name="view.missed")
            return False
        for keys in batches(items=self._outdated(highest=highest.ok)):
            for key, read in await gather_pairs(items=keys, call=lambda key: self.register.read(key=key)):
                if read.is_error() or not self.apply_newer(key=key, found=read.ok):
                    return False
        self.applied_vector = highest.ok
        # counted from the start of the pull: values may have been written right after it
        self.as_of_us = max(self.as_of_us, start_us)
        self.ctx.counters.add(name="view.pulls")
        return True

    def _outdated(self, *, highest: dict[str, Ballot]) -> list[str]:
        """The keys that have a higher ballot in the vector than in this view."""
        # an unchanged vector is the same object, which saves comparing its keys
        if highest is self.applied_vector:
            return []
        return [key for key, ballot in highest.items() if key not in self.known or self.known[key].ballot < ballot]

    def apply_own_write(self, *, key: str, result: Result[VersionedValue, CinderstairError]) -> None:
        """Applies a value that this process has written, without another read; an error is ignored."""
        if result.is_ok():
            self.apply_newer(key=key, found=result.ok)

    def apply_newer(self, *, key: str, found: VersionedValue) -> bool:
        """Applies a value if its ballot is higher; False if this version can't decode it."""
        known = self.known.get(key)
        if known is not None and known.ballot >= found.ballot:
            return True
        changed = known is None or known.value != found.value
        # a value rewritten under a higher ballot is not a change, and must not restart waits for a change
        if changed and found.value and not self._apply(key=key, value=found.value):
            return False
        self.known[key] = found
        if changed:
            self.changes.on_next(key)
        return True

    def _apply(self, *, key: str, value: bytes) -> bool:
        """Applies a value's content; False if this version can't decode it; the view then expires."""
        if key == ROSTER_KEY:
            roster = read_roster(data=value)
            # the process that changed the roster may have crashed before it sent it to the voters
            if self.register.roster is None or roster.epoch > self.register.roster.epoch:
                self.register.learn_roster(roster=roster)
                self.ctx.spawn(work=self.register.broadcast_roster(roster=roster), name="roster.broadcast")
        return True

    def ballot_of(self, *, key: str) -> Ballot:
        """The ballot of a key's value in this view; BLANK if there is none."""
        known = self.known.get(key)
        return BLANK if known is None else known.ballot
