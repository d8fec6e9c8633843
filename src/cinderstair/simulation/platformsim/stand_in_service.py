"""A service of the simulated platform: its backends, and the truth about its commits."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend


class StandInService:
    """Knows which term leads, which no machine of the system can see."""

    def __init__(self, *, name: str, waits_for: int, max_links: int, promote_us: int) -> None:
        self.name = name
        self.waits_for = waits_for
        self.max_links = max_links
        self.promote_us = promote_us
        self.backends: dict[str, StandInBackend] = {}
        # why: a primary that was told to give way leaves nobody in the lead until another is promoted
        self.last: StandInBackend | None = None
        self.term = 1
        self.term_since_us = 0
        # why: in the order in which clients saw them acknowledged
        self.acked: list[tuple[int, LogEntry]] = []
        self.entries: list[LogEntry] = []
        self.on_promoted: list[Callable[[StandInBackend, list[LogEntry]], None]] = []

    @property
    def primary(self) -> "StandInBackend | None":
        """Whoever leads the newest term, running or not."""
        primaries = [each for each in self.backends.values() if each.is_primary]
        return max(primaries, key=lambda each: each.term, default=None)

    def leader_for(self, *, backend: "StandInBackend") -> "StandInBackend | None":
        """Whom a copy receives from: the newest primary, once it is in reach, and never an older one again."""
        best: StandInBackend | None = None
        for each in self.backends.values():
            if each is not backend and each.is_primary and each.up and each.term >= max(backend.term, self.term):
                if backend.in_reach(other=each) and (best is None or each.term > best.term):
                    best = each
        return best

    def on_timer(self) -> None:
        """What backends do among themselves several times a second."""
        for each in list(self.backends.values()):
            if each.up:
                each.on_timer()

    def take_lead(self, *, backend: "StandInBackend", now_us: int) -> None:
        """A promotion takes effect."""
        self.term += 1
        self.last = backend
        self.term_since_us = now_us
        kept = set(map(id, backend.log))
        lost = [entry for entry in self.entries if not entry.cut and id(entry) not in kept]
        for entry in lost:
            entry.cut = True
        backend.become_primary(term=self.term)
        for notice in self.on_promoted:
            notice(backend, lost)
        for each in self.backends.values():
            each.paused, each.term_held = False, 0
