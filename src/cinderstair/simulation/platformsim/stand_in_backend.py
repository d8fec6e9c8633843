"""A stand-in for a database server of the platform: a log, copies that follow, terms, and the wire's door."""

import contextvars
import random
from collections.abc import Callable
from dataclasses import dataclass

from .backend_door import BackendDoor
from .client_statement import ClientStatement
from .listener import Listener
from .log_entry import LogEntry
from .referee import Referee
from .slots import Slots
from .stand_in_service import StandInService
from .stream_fabric import StreamFabric

CUT_BACK_US = 300_000
GIVE_WAY_US = 1_000_000
DARK_US = 3_000_000


@dataclass(kw_only=True)
class Costs:
    """How long a backend takes, in microseconds."""

    work_us: int = 3_000
    link_us: int = 10_000
    apply_us: int = 15_000


class StandInBackend:
    """Everything it runs is told to the referee first."""

    def __init__(
        self,
        *,
        name: str,
        service: StandInService,
        address: str,
        zone: str,
        fabric: StreamFabric,
        referee: Referee,
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
        self.referee = referee
        self.rng = rng
        self.costs = Costs()
        self.is_primary = is_primary
        self.term = service.term
        self.term_held = 0
        self.paused = False
        self.up = False
        self.deaf = False
        self.lag_us = 0
        self.slow = 1
        self.lose_share = 0.0
        self.fail_share = 0.0
        self.log = [] if log is None else log
        self.applied = len(self.log)
        self.lead_life = 0
        self.busy_until_us = 0
        self.newer_since_us: int | None = None
        self.pending: list[tuple[LogEntry, Callable[[LogEntry], None]]] = []
        self.doors: dict[BackendDoor, None] = {}
        self.slots = Slots(loop=fabric.loop, count=slots)
        self.stamped = 0
        self.emptying = False
        self.on_change: Callable[[], None] = lambda: None
        self.life = 0

    @property
    def now_us(self) -> int:
        return self.fabric.now_us

    # -- life --

    def start(self) -> None:
        self.up = True
        self.life += 1
        self.term_held, self.paused = 0, False
        # why: one that crashed comes back with its log, and as a copy where another was promoted meanwhile
        if self.is_primary and self.term < self.service.term:
            self.is_primary = False
            self.lead_life += 1
        self.applied = len(self.log)
        listener = Listener(
            host=self.name, process=None, context=contextvars.Context(), protocol=lambda: BackendDoor(backend=self)
        )
        self.fabric.listen(address=self.address, listener=listener)

    def crash(self, *, dark: bool = False) -> None:
        """Silently where power goes; what it was doing comes to nothing."""
        self.up = False
        self.life += 1
        self.pending.clear()
        self.slots.clear()
        self.fabric.end_of(host=self.name, silently=dark)
        self.doors.clear()
        if dark:
            self.fabric.network.dark.add(self.name)

    def light(self) -> None:
        self.fabric.network.dark.discard(self.name)

    # -- the log --

    @property
    def received(self) -> tuple[int, int]:
        return (self.log[-1].term, len(self.log)) if self.log else (1, 0)

    @property
    def position(self) -> tuple[int, int]:
        return (self.log[self.applied - 1].term, self.applied) if self.applied else (1, 0)

    def position_text(self) -> bytes:
        return b"%d.%d" % self.position

    def holds(self, *, entry: LogEntry) -> bool:
        """Whether the log holds it, applied."""
        return entry.number <= self.applied and self.log[entry.number - 1] is entry

    def in_reach(self, *, other: "StandInBackend") -> bool:
        return self.up and other.up and self.fabric.reaches(one=self.name, other=other.name)

    @property
    def busy(self) -> bool:
        return self.now_us < self.busy_until_us

    def stamp(self) -> bytes:
        self.stamped += 1
        return b"%s.%x.%x" % (self.name.encode(), self.stamped, self.rng.getrandbits(32))

    def commit(self, *, writes: tuple[ClientStatement, ...], done: Callable[[LogEntry], None]) -> LogEntry:
        """Appends; the answer waits for the copies that have to confirm."""
        entry = LogEntry(
            term=self.term,
            number=len(self.log) + 1,
            writes=writes,
            backend=self.name,
            service=self.service.name,
            at_us=self.now_us,
        )
        # why: a primary that was replaced does not know it, and what it still commits leads nowhere
        if self.term < self.service.term:
            entry.late = entry.cut = True
        self.log.append(entry)
        self.applied = len(self.log)
        self.service.entries.append(entry)
        self.referee.committed(entry=entry, backend=self)
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
                replica.receive(leader=self, upto=upto)

        self.fabric.later(call=arrive, source=self.name, target=replica.name)

    def receive(self, *, leader: "StandInBackend", upto: int) -> None:
        if not self.up or self.is_primary or self.paused or self.deaf or leader.term < self.service.term:
            return
        if self.term < leader.term:
            self._align(leader=leader)
        if upto > len(self.log):
            self.log.extend(leader.log[len(self.log) : upto])
            life, at = self.life, len(self.log)
            delay_us = self.costs.apply_us + self.lag_us + self.rng.randrange(self.costs.apply_us)
            self.fabric.loop.call_later(delay_us / 1_000_000, self._apply, at, life, context=contextvars.Context())
        has = len(self.log)

        def confirm() -> None:
            if leader.up:
                leader.confirmed(replica=self.name, upto=has)

        self.fabric.later(call=confirm, source=self.name, target=leader.name)

    def _apply(self, upto: int, life: int) -> None:
        if life == self.life and self.up:
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

    def _align(self, *, leader: "StandInBackend") -> None:
        """Cuts back what the new primary does not have."""
        same = min(len(self.log), len(leader.log))
        while same and self.log[same - 1] is not leader.log[same - 1]:
            same -= 1
        if same < len(self.log):
            del self.log[same:]
            self.applied = min(self.applied, same)
            self.busy_until_us = self.now_us + CUT_BACK_US
        self.term = leader.term

    # -- who leads --

    def become_primary(self, *, term: int) -> None:
        self.is_primary, self.term = True, term
        self.lead_life += 1
        self.applied = len(self.log)
        self.newer_since_us = None
        self.on_change()

    def give_way(self) -> None:
        """From primary to copy; whoever waits for a confirmation gets none."""
        if not self.is_primary:
            return
        self.is_primary = False
        self.lead_life += 1
        pending, self.pending = self.pending, []
        for door in [door for door in self.doors if any(entry is door.committing for entry, _ in pending)]:
            door.break_off()
        self.on_change()

    def on_timer(self) -> None:
        for door in list(self.doors):
            door.check(dark_us=DARK_US)
        if self.is_primary and self.term < self.service.term:
            newer = self.service.primary
            if newer is not None and self.in_reach(other=newer):
                since_us = self.newer_since_us = self.newer_since_us or self.now_us
                if self.now_us - since_us >= GIVE_WAY_US:
                    self.give_way()
            else:
                self.newer_since_us = None
        if not self.is_primary:
            leader = self.service.leader_for(backend=self)
            if leader is not None and (self.term < leader.term or len(self.log) < len(leader.log) or leader.pending):
                leader._ship(replica=self)

    def state_row(self) -> bytes:
        role = b"primary" if self.is_primary else b"copy"
        fields = (role, b"%d" % self.term, b"%d.%d" % self.received, b"%d" % self.term_held)
        return b" ".join((*fields, b"%d %d %d" % (self.lag_us // 1_000, self.slots.busy, len(self.doors))))
