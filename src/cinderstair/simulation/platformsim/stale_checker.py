"""STALE: reads run on logs that hold the commits which their route's freshness requires."""

from bisect import bisect_left
from typing import TYPE_CHECKING

from .checker import Checker
from .client_statement import ClientStatement
from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend

LOOKBACK_ENTRIES = 64


class StaleChecker(Checker):
    """`sorts` holds each database's route sort and maximum age in us, `own_commits` the acknowledged by session.

    `suspected` holds reads with missing commits until the end, since a later promotion may truncate those commits.
    """

    rule = "STALE"

    def __init__(self) -> None:
        super().__init__()
        self.sorts: dict[str, tuple[str, int]] = {}
        self.own_commits: dict[int, list[LogEntry]] = {}
        self.by_sort: dict[str, int] = {}
        self.suspected: list[tuple[list[LogEntry], str]] = []

    def _missing(self, *, before_us: int, backend: "StandInBackend") -> list[LogEntry]:
        """Commits acknowledged before that time that the backend has not applied."""
        acked = backend.service.acked
        end = bisect_left(acked, before_us, key=lambda each: each[0])
        # acknowledgements follow the log's order closely, so missing commits are among the last few
        late = [entry for _, entry in acked[max(0, end - LOOKBACK_ENTRIES) : end]]
        return [entry for entry in late if not entry.truncated and not backend.holds(entry=entry)]

    def ran(self, *, statement: ClientStatement, backend: "StandInBackend") -> None:
        """A backend executes a read."""
        sort, age_us = self.sorts[statement.attempt.database]
        self.count_check()
        self.by_sort[sort] = self.by_sort.get(sort, 0) + 1
        before_us = statement.first_us - (0 if sort == "primary" else age_us)
        missing = self._missing(before_us=before_us, backend=backend)
        if sort == "self_hosted":
            for entry in self.own_commits.get(statement.attempt.session, ()):
                # a commit counts as its session's from its acknowledgement on
                seen = entry.acked_us is not None and entry.acked_us < statement.first_us
                # commits at a service that the database was moved away from are checked by ShardChecker
                seen = seen and entry.service == backend.service.name
                if seen and not entry.truncated and not backend.holds(entry=entry):
                    missing.append(entry)
        if missing:
            description = (
                f"{sort} read {statement.ident!r} of {statement.first_us} on {backend.name} at {backend.position}"
            )
            self.suspected.append((missing, description))

    def end(self) -> None:
        """Commits that a promotion truncated don't count, even where it came after the read."""
        for missing, description in self.suspected:
            left = [entry for entry in missing if not entry.truncated]
            if left:
                words = ", ".join(f"{entry.term}.{entry.number} of {entry.acked_us}" for entry in left[-3:])
                self.breach(description=f"{description} lacks {words}")
