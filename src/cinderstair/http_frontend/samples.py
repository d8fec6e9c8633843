"""Samples of the primary's position: how old a replica's answer may be, told without comparing clocks."""

from collections import deque
from dataclasses import dataclass

from ..failover.lead import Lead
from ..runtime.context import Context
from ..runtime.ownermixin import OwnerMixin
from .gauge import read_gauge
from .sight import Sight
from .view import View
from .yard import Yard

SAMPLE_EVERY_US = 250_000
KEEP_US = 3_000_000


@dataclass(frozen=True, kw_only=True)
class Sample:
    """At some moment after `began_us` the primary of `term` was at `position`."""

    began_us: int
    term: int
    position: int


class Samples(OwnerMixin):
    """Owns the samples of all databases."""

    def __init__(self, *, ctx: Context, view: View, yard: Yard, sight: Sight) -> None:
        self.sight = sight
        self.ctx = ctx
        self.view = view
        self.yard = yard
        self.taken: dict[str, deque[Sample]] = {}
        self.open_queue()
        self.every(every_us=SAMPLE_EVERY_US, command=self._tick, name="sample")

    def _tick(self) -> None:
        for database in self.view.leads:
            self.ctx.spawn(work=self.sample(database=database), name="sample")

    async def sample(self, *, database: str) -> None:
        lead = self.view.lead(database=database)
        if lead is None or not lead.serves:
            return
        began_us = self.ctx.now_us()
        reading = await read_gauge(yard=self.yard, name=lead.primary)
        if reading.is_error() or not reading.ok.leads or reading.ok.term != lead.term:
            return
        # why: only while nobody else can have been made to lead is the primary's position the newest
        if not self.view.current or not self._same(database=database, lead=lead):
            return
        self.sight.seen()
        taken = self.taken.setdefault(database, deque())
        taken.append(Sample(began_us=began_us, term=lead.term, position=reading.ok.received))
        while taken and taken[0].began_us < self.ctx.now_us() - KEEP_US:
            taken.popleft()

    def _same(self, *, database: str, lead: Lead) -> bool:
        now = self.view.lead(database=database)
        return now is not None and now.term == lead.term and now.serves

    def floor(self, *, database: str, term: int, since_us: int) -> int | None:
        """The position that covers all that was acknowledged before `since_us`; None where nobody can tell."""
        fitting = [s for s in self.taken.get(database, ()) if s.term == term and s.began_us >= since_us]
        return min((sample.position for sample in fitting), default=None)
