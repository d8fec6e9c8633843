"""Reads run on logs that are fresh enough."""

from bisect import bisect_left
from typing import TYPE_CHECKING

from .checker import Checker
from .client_statement import ClientStatement
from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend

LOOK_BACK = 64


class StaleChecker(Checker):
    """`sorts` holds each database's sort and the age that it may have, in microseconds."""

    rule = "STALE"

    def __init__(self) -> None:
        super().__init__()
        self.sorts: dict[str, tuple[str, int]] = {}
        self.own: dict[int, list[LogEntry]] = {}
        self.by_sort: dict[str, int] = {}
        self.silent_backend_probe: list[tuple[list[LogEntry], str]] = []

    def _missing(self, *, before_us: int, backend: "StandInBackend") -> list[LogEntry]:
        """Commits that were acknowledged before that moment and stand not in the log that is read."""
        acked = backend.service.acked
        end = bisect_left(acked, before_us, key=lambda each: each[0])
        # why: acknowledgements come nearly in the log's order, so what is missing is among the last few
        late = [entry for _, entry in acked[max(0, end - LOOK_BACK) : end]]
        return [entry for entry in late if not entry.cut and not backend.holds(entry=entry)]

    def ran(self, *, statement: ClientStatement, backend: "StandInBackend") -> None:
        sort, age_us = self.sorts[statement.attempt.database]
        self.chance()
        self.by_sort[sort] = self.by_sort.get(sort, 0) + 1
        before_us = statement.first_us - (0 if sort == "primary" else age_us)
        missing = self._missing(before_us=before_us, backend=backend)
        if sort == "self_hosted":
            for entry in self.own.get(statement.attempt.session, ()):
                # why: a commit counts as its session's from the moment of its acknowledgement
                seen = entry.acked_us is not None and entry.acked_us < statement.first_us
                # why: a commit at a place that the database has left is the shard checker's to look for
                seen = seen and entry.service == backend.service.name
                if seen and not entry.cut and not backend.holds(entry=entry):
                    missing.append(entry)
        if missing:
            what = f"{sort} read {statement.ident!r} of {statement.first_us} on {backend.name} at {backend.position}"
            self.silent_backend_probe.append((missing, what))

    def end(self) -> None:
        """What a promotion has cut back does not count, also where it was cut back only after the read."""
        for missing, what in self.silent_backend_probe:
            left = [entry for entry in missing if not entry.cut]
            if left:
                words = ", ".join(f"{entry.term}.{entry.number} of {entry.acked_us}" for entry in left[-3:])
                self.breach(what=f"{what} lacks {words}")
