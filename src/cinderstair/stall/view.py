"""A stall's view of the register: pulled by version, and current for a bounded time."""

from typing import Any

from expression import Result
from reactivex.subject import Subject

from ..almanac.leaving import Leaving, leaving
from ..almanac.windowstates import WINDOWS_KEY, WindowStates, readWindowStates
from ..charter.chancery import CHARTER_KEY
from ..charter.charter import Charter
from ..charter.check import checkCharter
from ..pitch.context import Context
from ..pitch.fault import Fault
from ..pitch.ownermixin import OwnerMixin
from ..steward.lead import Lead, readLead
from ..steward.slots import SLOTS_KEY, Slots, readSlots
from ..vault.acceptor import ROSTER_KEY
from ..vault.ballot import BLANK
from ..vault.register import Found, Register
from ..vault.roster import readRoster

PULL_EVERY_US = 200_000
# why: no setting, since whoever moves a lead waits for all views by its own figure, so all must have the same
LEASE_US = 2_000_000


class View(OwnerMixin):
    """Owns what the stall knows of the register. What it says counts only while it is current."""

    def __init__(self, *, ctx: Context, register: Register) -> None:
        self.ctx = ctx
        self.register = register
        self.leaseUs = LEASE_US
        self.asOfUs = -LEASE_US
        self.known: dict[str, Found] = {}
        self.charter: Charter | None = None
        self.slots = Slots()
        self.windowStates = WindowStates()
        self.leaving = Leaving()
        self.leads: dict[str, Lead] = {}
        self.leadSinceUs: dict[str, int] = {}
        self.plannedSinceUs: dict[str, int] = {}
        self.changes: Subject[str] = Subject()
        self.openQueue()
        self.every(everyUs=PULL_EVERY_US, command=self.pull, name="view")

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
        for key, ballot in highest.ok.items():
            known = self.known.get(key)
            if known is not None and known.ballot >= ballot:
                continue
            found = await self.register.read(key=key)
            if found.is_error() or not self._take(key=key, found=found.ok):
                return False
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
        if key == CHARTER_KEY:
            return self._applyCharter(raw=value)
        if key == SLOTS_KEY:
            self.slots = readSlots(data=value)
        elif key == WINDOWS_KEY:
            self.windowStates = readWindowStates(data=value)
            self.ctx.log.info("windows: %s", ", ".join(f"{n} {s.name}" for n, _, _, s in self.windowStates.stages))
            self._reckon()
        elif key == ROSTER_KEY:
            roster = readRoster(data=value)
            # why: whoever changed the roster may have died before telling the vaults
            if self.register.roster is None or roster.epoch > self.register.roster.epoch:
                self.register.learnRoster(roster=roster)
                self.ctx.spawn(work=self.register.tellAll(roster=roster), name="tell.roster")
        elif key.startswith("lead/"):
            database = key.removeprefix("lead/")
            before, lead = self.leads.get(database), readLead(data=value)
            if lead.planned and (before is None or not before.planned):
                self.plannedSinceUs[database] = self.ctx.nowUs()
            self.leads[database] = lead
            self.leadSinceUs[database] = self.ctx.nowUs()
        return True

    def _applyCharter(self, *, raw: bytes) -> bool:
        checked = checkCharter(raw=raw)
        # why: a configuration that this version can't read is not in force here, so the view can't be current
        if checked.is_error():
            self.ctx.counters.add(name="view.unreadable")
            self.ctx.log.error("accepted configuration can't be read here: %s", checked.error.why)
            return False
        if self.charter is not None and checked.ok.version < self.charter.version:
            self.ctx.counters.add(name="view.backwards")
            return False
        self.charter = checked.ok
        self._reckon()
        self.ctx.log.info("configuration %d in force", checked.ok.version)
        return True

    def _reckon(self) -> None:
        self.leaving = leaving(charter=self.charter, states=self.windowStates)

    def lead(self, *, database: str) -> Lead | None:
        return self.leads.get(database)

    def ballotOf(self, *, key: str) -> Any:
        known = self.known.get(key)
        return BLANK if known is None else known.ballot
