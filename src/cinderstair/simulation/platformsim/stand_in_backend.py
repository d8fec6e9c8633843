"""A stand-in for the platform's database server: a replicated log, terms, fencing, and the wire protocol."""

import contextvars
import random
from collections.abc import Callable
from dataclasses import dataclass

from .backend_protocol import BackendProtocol
from .client_statement import ClientStatement
from .listener import Listener
from .log_entry import LogEntry
from .oracle import Oracle
from .slots import WorkSlots
from .stand_in_service import StandInService
from .stream_fabric import StreamFabric

TRUNCATE_US = 300_000
STEP_DOWN_DELAY_US = 1_000_000
UNREACHABLE_TIMEOUT_US = 3_000_000


@dataclass(kw_only=True)
class Costs:
    """Processing times, in microseconds."""

    work_us: int = 3_000
    link_us: int = 10_000
    apply_us: int = 15_000


class StandInBackend:
    """Reports everything that it executes to the oracle first.

    State: role and term, `log` (received) and `applied` (its length visible to reads), fencing (`paused`,
    `term_held`), commits `pending` confirmation, and open connections. `incarnation` rises at each start and crash,
    `primary_incarnation` with each change of role. Injected faults: `replication_interrupted` (receives no log),
    `lag_us`, `slowdown` (a factor), `lost_answer_share`, `failed_read_share`.
    """

    def __init__(
        self,
        *,
        name: str,
        service: StandInService,
        address: str,
        zone: str,
        fabric: StreamFabric,
        oracle: Oracle,
        rng: random.Random,
        is_primary: bool,
        log: list[LogEntry] | None = None,
        slots: int = 4,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.fabric = fabric
        self.oracle = oracle
        self.rng = rng
        self.costs = Costs()
        self.is_primary = is_primary
        self.term = service.term
        self.term_held = 0
        self.paused = False
        self.up = False
        self.replication_interrupted = False
        self.lag_us = 0
        self.slowdown = 1
        self.lost_answer_share = 0.0
        self.failed_read_share = 0.0
        self.log = [] if log is None else log
        self.applied = len(self.log)
        self.primary_incarnation = 0
        self.busy_until_us = 0
        self.newer_since_us: int | None = None
        self.pending: list[tuple[LogEntry, Callable[[LogEntry], None]]] = []
        self.connections: dict[BackendProtocol, None] = {}
        self.slots = WorkSlots(loop=fabric.loop, count=slots)
        self.stamped = 0
        self.draining = False
        self.on_change: Callable[[], None] = lambda: None
        self.incarnation = 0

    @property
    def now_us(self) -> int:
        return self.fabric.now_us

    # -- start and end --

    def start(self) -> None:
        """Starts or restarts with its log, and listens."""
        self.up = True
        self.incarnation += 1
        self.term_held, self.paused = 0, False
        # a crashed primary comes back as a replica if another was promoted in the meantime
        if self.is_primary and self.term < self.service.term:
            self.is_primary = False
            self.primary_incarnation += 1
        self.applied = len(self.log)
        listener = Listener(
            host=self.name,
            process=None,
            context=contextvars.Context(),
            protocol=lambda: BackendProtocol(backend=self),
        )
        self.fabric.listen(address=self.address, listener=listener)

    def crash(self, *, power_loss: bool = False) -> None:
        """Ends at once; unanswered work is dropped. On power loss its peers get no reset."""
        self.up = False
        self.incarnation += 1
        self.pending.clear()
        self.slots.clear()
        self.fabric.end_host(host=self.name, silently=power_loss)
        self.connections.clear()
        if power_loss:
            self.fabric.network.unreachable.add(self.name)

    def restore_power(self) -> None:
        """Makes the machine reachable again."""
        self.fabric.network.unreachable.discard(self.name)

    # -- the log --

    @property
    def received(self) -> tuple[int, int]:
        """Term and number of the last received entry."""
        return (self.log[-1].term, len(self.log)) if self.log else (1, 0)

    @property
    def position(self) -> tuple[int, int]:
        """Term and number of the last applied entry."""
        return (self.log[self.applied - 1].term, self.applied) if self.applied else (1, 0)

    def position_text(self) -> bytes:
        return b"%d.%d" % self.position

    def holds(self, *, entry: LogEntry) -> bool:
        """Whether the entry is in the log and applied."""
        return entry.number <= self.applied and self.log[entry.number - 1] is entry

    def reachable(self, *, other: "StandInBackend") -> bool:
        return self.up and other.up and self.fabric.reaches(one=self.name, other=other.name)

    @property
    def busy(self) -> bool:
        return self.now_us < self.busy_until_us

    def stamp(self) -> bytes:
        """A text that identifies one result."""
        self.stamped += 1
        return b"%s.%x.%x" % (self.name.encode(), self.stamped, self.rng.getrandbits(32))

    def commit(self, *, writes: tuple[ClientStatement, ...], done: Callable[[LogEntry], None]) -> LogEntry:
        """Appends an entry; `done` is called once enough replicas have confirmed it."""
        entry = LogEntry(
            term=self.term,
            number=len(self.log) + 1,
            writes=writes,
            backend=self.name,
            service=self.service.name,
            at_us=self.now_us,
        )
        # a replaced primary doesn't know about it yet; its commits will be truncated
        if self.term < self.service.term:
            entry.by_old_primary = entry.truncated = True
        self.log.append(entry)
        self.applied = len(self.log)
        self.service.entries.append(entry)
        self.oracle.committed(entry=entry, backend=self)
        if not self.service.waits_for:
            done(entry)
        else:
            self.pending.append((entry, done))
        for each in self.service.backends.values():
            if each is not self and each.up and each.term <= self.term:
                self._ship(replica=each)
        return entry

    def _ship(self, *, replica: "StandInBackend") -> None:
        upto, term = len(self.log), self.term

        def arrive() -> None:
            if self.up and self.is_primary and self.term == term:
                replica.receive(upstream=self, upto=upto)

        self.fabric.later(call=arrive, source=self.name, target=replica.name)

    def receive(self, *, upstream: "StandInBackend", upto: int) -> None:
        if (
            not self.up
            or self.is_primary
            or self.paused
            or self.replication_interrupted
            or upstream.term < self.service.term
        ):
            return
        if self.term < upstream.term:
            self._truncate_to(upstream=upstream)
        if upto > len(self.log):
            self.log.extend(upstream.log[len(self.log) : upto])
            incarnation, at = self.incarnation, len(self.log)
            delay_us = self.costs.apply_us + self.lag_us + self.rng.randrange(self.costs.apply_us)
            self.fabric.loop.call_later(
                delay_us / 1_000_000, self._apply, at, incarnation, context=contextvars.Context()
            )
        has = len(self.log)

        def confirm() -> None:
            if upstream.up:
                upstream.confirmed(replica=self.name, upto=has)

        self.fabric.later(call=confirm, source=self.name, target=upstream.name)

    def _apply(self, upto: int, incarnation: int) -> None:
        if incarnation == self.incarnation and self.up:
            self.applied = max(self.applied, min(upto, len(self.log)))

    def confirmed(self, *, replica: str, upto: int) -> None:
        if not self.is_primary:
            return
        left = []
        for entry, done in self.pending:
            if entry.number <= upto:
                entry.confirmers.add(replica)
            if len(entry.confirmers) >= self.service.waits_for:
                done(entry)
            else:
                left.append((entry, done))
        self.pending = left

    def _truncate_to(self, *, upstream: "StandInBackend") -> None:
        """Truncates the entries that the new primary lacks."""
        same = min(len(self.log), len(upstream.log))
        while same and self.log[same - 1] is not upstream.log[same - 1]:
            same -= 1
        if same < len(self.log):
            del self.log[same:]
            self.applied = min(self.applied, same)
            self.busy_until_us = self.now_us + TRUNCATE_US
        self.term = upstream.term

    # -- roles --

    def become_primary(self, *, term: int) -> None:
        """Takes effect of a promotion; all received entries count as applied."""
        self.is_primary, self.term = True, term
        self.primary_incarnation += 1
        self.applied = len(self.log)
        self.newer_since_us = None
        self.on_change()

    def step_down(self) -> None:
        """Becomes a replica; connections that wait for the confirmation of a commit are aborted."""
        if not self.is_primary:
            return
        self.is_primary = False
        self.primary_incarnation += 1
        pending, self.pending = self.pending, []
        for connection in [
            connection
            for connection in self.connections
            if any(entry is connection.committing for entry, _ in pending)
        ]:
            connection.abort()
        self.on_change()

    def on_timer(self) -> None:
        """Drops dead connections, steps down for a newer primary, and catches up from the primary."""
        for connection in list(self.connections):
            connection.drop_if_unreachable(timeout_us=UNREACHABLE_TIMEOUT_US)
        if self.is_primary and self.term < self.service.term:
            newer = self.service.primary
            if newer is not None and self.reachable(other=newer):
                since_us = self.newer_since_us = self.newer_since_us or self.now_us
                if self.now_us - since_us >= STEP_DOWN_DELAY_US:
                    self.step_down()
            else:
                self.newer_since_us = None
        if not self.is_primary:
            upstream = self.service.replication_source(backend=self)
            if upstream is not None and (
                self.term < upstream.term or len(self.log) < len(upstream.log) or upstream.pending
            ):
                upstream._ship(replica=self)

    def state_row(self) -> bytes:
        role = b"primary" if self.is_primary else b"copy"
        fields = (role, b"%d" % self.term, b"%d.%d" % self.received, b"%d" % self.term_held)
        return b" ".join((*fields, b"%d %d %d" % (self.lag_us // 1_000, self.slots.busy, len(self.connections))))
