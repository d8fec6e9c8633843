"""While a database's place moves no write lands twice or nowhere, and reads stay as fresh as ever."""

from bisect import bisect_left
from typing import TYPE_CHECKING

from .checker import Checker
from .client_statement import ClientStatement
from .log_entry import LogEntry

if TYPE_CHECKING:
    from .stand_in_backend import StandInBackend
    from .stand_in_service import StandInService

LOOK_BACK = 64


class ShardChecker(Checker):
    """Watches the databases that a shard map moves; `moved_us` is when all of one was at its new place."""

    rule = "SHARD"

    def __init__(self) -> None:
        super().__init__()
        self.moves: dict[str, tuple[str, str]] = {}
        self.moved_us: dict[str, int] = {}
        self.brought: dict[tuple[str, bytes], LogEntry] = {}
        self.acked: dict[str, list[tuple[int, bytes, LogEntry]]] = {}
        self.own: dict[int, list[tuple[int, bytes, LogEntry]]] = {}
        self.at_target = 0
        self.watched_us = 0
        self.waits_us: list[tuple[int, int]] = []

    def watch(self, *, database: str, source: str, target: str, now_us: int) -> None:
        self.watched_us = self.watched_us or now_us
        self.moves[database] = (source, target)

    def withdrawn(self) -> None:
        """The change was given up, so whatever was brought is nowhere's truth, and the old place goes on."""
        self.moved_us.clear()

    def waited(self, *, database: str, began_us: int, ended_us: int) -> None:
        """An operation that writes, over with all its tries."""
        if database in self.moves and ended_us >= self.watched_us:
            self.waits_us.append((began_us, ended_us))

    def figures(self) -> dict[str, int]:
        """How long writes of moving databases took that were under way between the proposal and a second past it."""
        if not self.moves:
            return {}
        until_us = max(self.moved_us.values(), default=1 << 62) + 1_000_000
        took_us = sorted(ended - began for began, ended in self.waits_us if began <= until_us)
        if not took_us:
            return {}
        ranks = {"write_median_ms": len(took_us) // 2, "write_p99_ms": len(took_us) * 99 // 100, "write_worst_ms": -1}
        return {name: took_us[rank] // 1_000 for name, rank in ranks.items()} | {"writes": len(took_us)}

    def _held(self, *, ident: bytes, entry: LogEntry, backend: "StandInBackend") -> bool:
        if entry.service == backend.service.name:
            return backend.holds(entry=entry)
        other = self.brought.get((backend.service.name, ident))
        return other is not None and backend.holds(entry=other)

    def acknowledged(self, *, writes: list[ClientStatement], entry: LogEntry, now_us: int) -> None:
        database = writes[0].attempt.database
        acked = [(now_us, statement.ident, entry) for statement in writes]
        self.acked.setdefault(database, []).extend(acked)
        self.own.setdefault(writes[0].attempt.session, []).extend(acked)
        if database not in self.moves:
            return
        source, target = self.moves[database]
        self.at_target += entry.service == target
        # why: what is committed at the old place after all of it was brought over is nowhere
        moved_us = self.moved_us.get(database)
        late = moved_us is not None and entry.service == source and entry.at_us > moved_us
        self.judge(fine=not late, what=f"{writes[0].ident!r} lands at {source} after {database} has left it")

    def committed(self, *, entry: LogEntry) -> None:
        """Whatever a backend appends, whether or not its client is ever told."""
        for statement in entry.writes:
            database = statement.attempt.database
            if database not in self.moves or entry.late:
                continue
            moved_us = self.moved_us.get(database)
            # why: where the old place takes anything after the new one has begun, two places take writes in one epoch
            fine = moved_us is None or entry.service != self.moves[database][0] or entry.at_us <= moved_us
            self.judge(
                fine=fine, what=f"{statement.ident!r} of {database} lands at {entry.service} after it has left"
            )

    def ran(self, *, statement: ClientStatement, backend: "StandInBackend", sort: str, age_us: int) -> None:
        """A read of a database that moves, or has moved."""
        database = statement.attempt.database
        if database not in self.moves:
            return
        before_us = statement.first_us - (0 if sort == "primary" else age_us)
        acked = self.acked.get(database, [])
        end = bisect_left(acked, before_us, key=lambda each: each[0])
        wanted = acked[max(0, end - LOOK_BACK) : end]
        if sort == "self_hosted":
            own = self.own.get(statement.attempt.session, [])
            wanted = wanted + [each for each in own if each[0] < statement.first_us]
        missing = [
            ident
            for _, ident, entry in wanted
            if not entry.cut and not self._held(ident=ident, entry=entry, backend=backend)
        ]
        what = f"{sort} read {statement.ident!r} of {database} on {backend.name} lacks {missing[-3:]}"
        self.judge(fine=not missing, what=what)

    def end(self, *, services: dict[str, "StandInService"]) -> None:
        """Every acknowledged write stands once, where the database is now."""
        for database, (source, target) in self.moves.items():
            name = target if database in self.moved_us else source
            last = services[name].last
            log = [] if last is None else last.log
            times: dict[bytes, int] = {}
            for entry in log:
                for statement in (*entry.writes, *entry.brought):
                    times[statement.ident] = times.get(statement.ident, 0) + 1
            for _, ident, entry in self.acked.get(database, []):
                count = times.get(ident, 0)
                if not entry.cut:
                    self.judge(fine=count == 1, what=f"{ident!r} of {database} stands {count} times at {name}")
