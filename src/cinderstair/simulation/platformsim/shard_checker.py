"""SHARD: while a shard map moves a database, no write is lost or doubled, and reads stay as fresh as routed."""

from bisect import bisect_left
from typing import TYPE_CHECKING

from .checker import Checker
from .client_statement import ClientStatement
from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend
    from .stand_in_service import StandInService

LOOKBACK_ENTRIES = 64


class ShardChecker(Checker):
    """Watches the databases that a shard map moves.

    State by database: `moves` has its old and new service, `handed_over_us` when its data was complete at the new
    one, `acked` its acknowledged writes in order. `copied` has the log entry that copied a write to a service;
    `waits_us` are the begin and end of operations that write.
    """

    rule = "SHARD"

    def __init__(self) -> None:
        super().__init__()
        self.moves: dict[str, tuple[str, str]] = {}
        self.handed_over_us: dict[str, int] = {}
        self.copied: dict[tuple[str, bytes], LogEntry] = {}
        self.acked: dict[str, list[tuple[int, bytes, LogEntry]]] = {}
        self.own_commits: dict[int, list[tuple[int, bytes, LogEntry]]] = {}
        self.writes_at_target = 0
        self.watched_us = 0
        self.waits_us: list[tuple[int, int]] = []

    def watch(self, *, database: str, source: str, target: str, now_us: int) -> None:
        """A map that moves the database is proposed."""
        self.watched_us = self.watched_us or now_us
        self.moves[database] = (source, target)

    def withdrawn(self) -> None:
        """The proposal was abandoned, so the databases stay at their old service, whatever was copied."""
        self.handed_over_us.clear()

    def waited(self, *, database: str, began_us: int, ended_us: int) -> None:
        """An operation that writes is over, with all its retries."""
        if database in self.moves and ended_us >= self.watched_us:
            self.waits_us.append((began_us, ended_us))

    def figures(self) -> dict[str, int]:
        """Durations in ms of writes to moving databases begun until a second after the last handover."""
        if not self.moves:
            return {}
        until_us = max(self.handed_over_us.values(), default=1 << 62) + 1_000_000
        took_us = sorted(ended - began for began, ended in self.waits_us if began <= until_us)
        if not took_us:
            return {}
        ranks = {"write_median_ms": len(took_us) // 2, "write_p99_ms": len(took_us) * 99 // 100, "write_worst_ms": -1}
        return {name: took_us[rank] // 1_000 for name, rank in ranks.items()} | {"writes": len(took_us)}

    def _held(self, *, ident: bytes, entry: LogEntry, backend: "StandInBackend") -> bool:
        if entry.service == backend.service.name:
            return backend.holds(entry=entry)
        other = self.copied.get((backend.service.name, ident))
        return other is not None and backend.holds(entry=other)

    def acknowledged(self, *, writes: list[ClientStatement], entry: LogEntry, now_us: int) -> None:
        """A client receives the acknowledgement of its writes."""
        database = writes[0].attempt.database
        acked = [(now_us, statement.ident, entry) for statement in writes]
        self.acked.setdefault(database, []).extend(acked)
        self.own_commits.setdefault(writes[0].attempt.session, []).extend(acked)
        if database not in self.moves:
            return
        source, target = self.moves[database]
        self.writes_at_target += entry.service == target
        # a commit at the old service after the handover was not copied to the new one, and is lost
        handed_over_us = self.handed_over_us.get(database)
        late = handed_over_us is not None and entry.service == source and entry.at_us > handed_over_us
        self.check(
            holds=not late,
            description=f"{writes[0].ident!r} is acknowledged at {source} after {database} was handed over",
        )

    def committed(self, *, entry: LogEntry) -> None:
        """A backend appends a commit, whether or not it is ever acknowledged."""
        for statement in entry.writes:
            database = statement.attempt.database
            if database not in self.moves or entry.by_old_primary:
                continue
            handed_over_us = self.handed_over_us.get(database)
            # a commit at the old service after the handover means that two services accept writes at once
            holds = (
                handed_over_us is None or entry.service != self.moves[database][0] or entry.at_us <= handed_over_us
            )
            self.check(
                holds=holds,
                description=f"{statement.ident!r} of {database} is committed at {entry.service} after its handover",
            )

    def ran(self, *, statement: ClientStatement, backend: "StandInBackend", sort: str, age_us: int) -> None:
        """A backend executes a read of a database that moves or has moved."""
        database = statement.attempt.database
        if database not in self.moves:
            return
        before_us = statement.first_us - (0 if sort == "primary" else age_us)
        acked = self.acked.get(database, [])
        end = bisect_left(acked, before_us, key=lambda each: each[0])
        wanted = acked[max(0, end - LOOKBACK_ENTRIES) : end]
        if sort == "self_hosted":
            own = self.own_commits.get(statement.attempt.session, [])
            wanted = wanted + [each for each in own if each[0] < statement.first_us]
        missing = [
            ident
            for _, ident, entry in wanted
            if not entry.truncated and not self._held(ident=ident, entry=entry, backend=backend)
        ]
        description = f"{sort} read {statement.ident!r} of {database} on {backend.name} lacks {missing[-3:]}"
        self.check(holds=not missing, description=description)

    def end(self, *, services: dict[str, "StandInService"]) -> None:
        """Every acknowledged write must be committed exactly once at the database's current service."""
        for database, (source, target) in self.moves.items():
            name = target if database in self.handed_over_us else source
            last_primary = services[name].last_primary
            log = [] if last_primary is None else last_primary.log
            times: dict[bytes, int] = {}
            for entry in log:
                for statement in (*entry.writes, *entry.copied):
                    times[statement.ident] = times.get(statement.ident, 0) + 1
            for _, ident, entry in self.acked.get(database, []):
                count = times.get(ident, 0)
                if not entry.truncated:
                    self.check(
                        holds=count == 1, description=f"{ident!r} of {database} is committed {count} times at {name}"
                    )
