"""A service of the simulated platform: its backends, and the authoritative term and commits."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend


class StandInService:
    """Knows the current term, which no machine under test can see.

    `waits_for` is the number of replicas that must confirm a commit; `entries` lists all commits ever appended, and
    `acked` the acknowledged ones with their time, in the order in which clients saw them.
    """

    def __init__(self, *, name: str, waits_for: int, max_links: int, promote_us: int) -> None:
        self.name = name
        self.waits_for = waits_for
        self.max_links = max_links
        self.promote_us = promote_us
        self.backends: dict[str, StandInBackend] = {}
        # kept while there is no primary, after one was told to step down and until the next promotion
        self.last_primary: StandInBackend | None = None
        self.term = 1
        self.term_since_us = 0
        self.acked: list[tuple[int, LogEntry]] = []
        self.entries: list[LogEntry] = []
        self.on_promoted: list[Callable[[StandInBackend, list[LogEntry]], None]] = []

    @property
    def primary(self) -> "StandInBackend | None":
        """The primary of the newest term, running or not."""
        primaries = [each for each in self.backends.values() if each.is_primary]
        return max(primaries, key=lambda each: each.term, default=None)

    def replication_source(self, *, backend: "StandInBackend") -> "StandInBackend | None":
        """The primary that a replica receives from: the newest reachable one, never of an older term than its own."""
        best: StandInBackend | None = None
        for each in self.backends.values():
            if each is not backend and each.is_primary and each.up and each.term >= max(backend.term, self.term):
                if backend.reachable(other=each) and (best is None or each.term > best.term):
                    best = each
        return best

    def on_timer(self) -> None:
        """Runs the timers of all backends."""
        for each in list(self.backends.values()):
            if each.up:
                each.on_timer()

    def promote(self, *, backend: "StandInBackend", now_us: int) -> None:
        """A promotion takes effect: a new term, and commits that the new primary lacks are marked as truncated."""
        self.term += 1
        self.last_primary = backend
        self.term_since_us = now_us
        kept = set(map(id, backend.log))
        lost = [entry for entry in self.entries if not entry.truncated and id(entry) not in kept]
        for entry in lost:
            entry.truncated = True
        backend.become_primary(term=self.term)
        for notice in self.on_promoted:
            notice(backend, lost)
        for each in self.backends.values():
            each.paused, each.term_held = False, 0
