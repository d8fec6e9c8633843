"""A local view of the register: pulled by version, and current for a bounded time."""

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
# no setting: whoever changes a primary waits for all views by its own figure, so all must have the same
LEASE_US = 2_000_000


class RegisterView(CommandQueueMixin):
    """Owns what a process knows of the register, which counts only while the view is current.

    :param lease_us: for how long the view is current after the start of a complete pull.
    """

    def __init__(
        self, *, ctx: Context, register: Register, every_us: int = PULL_EVERY_US, lease_us: int = LEASE_US
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.lease_us = lease_us
        self.as_of_us = -lease_us
        self.known: dict[str, VersionedValue] = {}
        # the vector whose keys have all been taken in
        self.taken: dict[str, Ballot] | None = None
        self.changes: Subject[str] = Subject()
        self.open_queue()
        self.every(every_us=every_us, command=self.pull, name="view")

    @property
    def current(self) -> bool:
        """Whether nothing that was written more than `lease_us` ago can be missing here."""
        return self.ctx.now_us() < self.as_of_us + self.lease_us

    async def pull(self) -> bool:
        """One round: the vector from a majority, then every value that is newer there; whether all were taken in."""
        start_us = self.ctx.now_us()
        highest = await self.register.vector()
        if highest.is_error():
            self.ctx.counters.add(name="view.missed")
            return False
        for keys in batches(items=self._outdated(highest=highest.ok)):
            for key, read in await gather_pairs(items=keys, call=lambda key: self.register.read(key=key)):
                if read.is_error() or not self._take(key=key, found=read.ok):
                    return False
        self.taken = highest.ok
        # counted from the round's start, since anything may have been written the moment after it
        self.as_of_us = max(self.as_of_us, start_us)
        self.ctx.counters.add(name="view.pulls")
        return True

    def _outdated(self, *, highest: dict[str, Ballot]) -> list[str]:
        """The keys whose value is newer at the replicas than here."""
        # an unchanged vector is the same object, whose keys need no new comparison
        if highest is self.taken:
            return []
        return [key for key, ballot in highest.items() if key not in self.known or self.known[key].ballot < ballot]

    def apply_own_write(self, *, key: str, result: Result[VersionedValue, CinderstairError]) -> None:
        """Takes in what this process has itself written, without another read."""
        if result.is_ok():
            self._take(key=key, found=result.ok)

    def _take(self, *, key: str, found: VersionedValue) -> bool:
        """Takes a value in, if it is newer; False where it can't be read here."""
        known = self.known.get(key)
        if known is not None and known.ballot >= found.ballot:
            return True
        changed = known is None or known.value != found.value
        # a value rewritten under a later ballot is no change, and must not restart any waiting
        if changed and found.value and not self._apply(key=key, value=found.value):
            return False
        self.known[key] = found
        if changed:
            self.changes.on_next(key)
        return True

    def _apply(self, *, key: str, value: bytes) -> bool:
        """Takes a value's content in; False where it can't be read here, so that the view can't be current."""
        if key == ROSTER_KEY:
            roster = read_roster(data=value)
            # whoever changed the roster may have died before it told the replicas
            if self.register.roster is None or roster.epoch > self.register.roster.epoch:
                self.register.learn_roster(roster=roster)
                self.ctx.spawn(work=self.register.broadcast_roster(roster=roster), name="roster.tell_all")
        return True

    def ballot_of(self, *, key: str) -> Ballot:
        """The version of a key's value as it is known here; BLANK where none is."""
        known = self.known.get(key)
        return BLANK if known is None else known.ballot
