"""The trials' oracle: receives all events of clients, backends and operators, and passes them to the checkers."""

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

from .attempt import Attempt
from .cap_checker import CapChecker
from .checker import Checker
from .client_statement import ClientStatement
from .config_checker import ConfigChecker
from .drain_checker import DrainChecker
from .late_checker import LateChecker
from .log_entry import LogEntry
from .lost_checker import LostChecker
from .mixed_checker import MixedChecker
from .one_checker import OneChecker
from .pinned_checker import PinnedChecker
from .primary_checker import PrimaryChecker
from .recover_checker import RecoverChecker
from .refused_checker import RefusedChecker
from .route_checker import RouteChecker
from .shard_checker import ShardChecker
from .stale_checker import StaleChecker
from .twice_checker import TwiceChecker
from .unasked_checker import UnaskedChecker
from .wire_checker import WireChecker

if TYPE_CHECKING:
    from .backend_protocol import BackendProtocol
    from .stand_in_backend import StandInBackend
    from .stand_in_service import StandInService

APPLY_US, STEP_BACK_US, DRAIN_US, RECOVERY_US = 3_000_000, 250_000, 6_000_000, 6_000_000
PRIMARY_RECOVERY_US = 12_000_000
NOT_EXECUTED_CODES = frozenset(["BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGHOST", "FULL"])


class Oracle:
    """Owns one checker for each rule, and the statements and commits by id.

    `stable` tells whether a machine has been undisrupted for a while. `reached_backend` holds the ids of statements
    that a backend received; `answers` counts error codes that clients received.
    """

    def __init__(self, *, stable: Callable[[str], bool], drain_us: int = DRAIN_US) -> None:
        self.stable = stable
        self.wire = WireChecker()
        self.unasked = UnaskedChecker()
        self.route = RouteChecker()
        self.mixed = MixedChecker()
        self.pinned = PinnedChecker()
        self.twice = TwiceChecker()
        self.refused = RefusedChecker()
        self.stale = StaleChecker()
        self.one = OneChecker()
        self.lost = LostChecker()
        self.drain = DrainChecker(drain_us=drain_us)
        self.config = ConfigChecker(apply_us=APPLY_US, step_back_us=STEP_BACK_US)
        self.shard = ShardChecker()
        self.cap = CapChecker()
        self.late = LateChecker()
        self.recover = RecoverChecker(recovery_us=RECOVERY_US)
        self.primary = PrimaryChecker(recovery_us=PRIMARY_RECOVERY_US)
        self.statements: dict[bytes, ClientStatement] = {}
        self.entries_by_commit: dict[bytes, LogEntry] = {}
        self.reached_backend: set[bytes] = set()
        self.wrong_host_refusals = 0
        self.full_refusals = 0
        self.proxies = 0
        self.answers: Counter[str] = Counter()

    @property
    def checkers(self) -> list[Checker]:
        """In the order of the fields."""
        return [each for each in vars(self).values() if isinstance(each, Checker)]

    # -- at backends --

    def arrived(
        self, *, ident: bytes, text: bytes, guarded: bool, connection: "BackendProtocol"
    ) -> ClientStatement | None:
        """A statement with a client's id reaches a backend; None where no client sent that id."""
        statement = self.statements.get(ident)
        if not self.unasked.check_id(statement=statement, ident=ident, text=text) or statement is None:
            return None
        self.unasked.check_text(statement=statement, text=text)
        self.wire.check(
            holds=statement.kind in ("read", "write", "commit") and (not guarded or statement.kind == "read"),
            description=f"{statement.kind} {text[:60]!r} reaches a backend{' with a guard' if guarded else ''}",
        )
        self.reached_backend.add(ident)
        backend = connection.backend
        self.late.arrived(statement=statement, now_us=backend.now_us, backend=backend.name)
        if statement.autocommit or statement.attempt.first_connection is None:
            self.drain.received(
                backend=backend.name,
                now_us=backend.now_us,
                others=list(backend.service.backends),
                stable=self.stable(connection.peer_host),
                description=f"{statement.ident!r} of {statement.sent_us} from {connection.peer_host}",
            )
        return statement

    def ran(self, *, statement: ClientStatement, connection: "BackendProtocol") -> None:
        """A backend executes a client's statement."""
        backend = connection.backend
        self.pinned.ran(statement=statement, connection=connection)
        self.route.ran(statement=statement, service=backend.service.name)
        if statement.kind == "read":
            self.stale.ran(statement=statement, backend=backend)
            sort, age_us = self.stale.sorts[statement.attempt.database]
            self.shard.ran(statement=statement, backend=backend, sort=sort, age_us=age_us)
        if statement.kind == "commit":
            self.unasked.check_commit(statement=statement)

    def committed(self, *, entry: LogEntry, backend: "StandInBackend") -> None:
        """A backend appends a commit to its log."""
        for statement in entry.writes:
            self.entries_by_commit[statement.ident] = entry
        self.shard.committed(entry=entry)

    def promoted(self, *, backend: "StandInBackend", lost: list[LogEntry]) -> None:
        """A promotion took effect; `lost` are commits that the new primary lacks."""
        service = backend.service
        if service.waits_for:
            self.lost.promoted(backend=backend.name, lost=lost, checks=len(service.acked))

    # -- at clients --

    def client_sent(self, *, statement: ClientStatement) -> None:
        self.statements[statement.ident] = statement

    def acknowledged(
        self, *, writes: list[ClientStatement], services: dict[str, "StandInService"], now_us: int
    ) -> None:
        """A client receives the acknowledgement of its writes."""
        entry = self.entries_by_commit.get(writes[0].ident)
        if entry is None:
            self.lost.breach(description=f"{writes[0].ident!r} is acknowledged, but no backend committed it")
            return
        # a shard map may have moved the database, so the service is taken from the commit
        service = services[entry.service]
        if entry.acked_us is None:
            entry.acked_us = now_us
            self.shard.acknowledged(writes=writes, entry=entry, now_us=now_us)
            service.acked.append((now_us, entry))
        attempt = writes[0].attempt
        self.stale.own_commits.setdefault(attempt.session, []).append(entry)
        self.one.acked(entry=entry, client=attempt.client, promoted=service.term > 1)
        if service.waits_for:
            self.lost.acked(entry=entry)

    def client_rejected(self, *, attempt: Attempt, code: str) -> None:
        """A client receives an error code."""
        self.answers[code] += 1
        if code in NOT_EXECUTED_CODES:
            attempt.not_executed_codes.append(code)
            if any(statement.kind == "write" for statement in attempt.statements):
                self.refused.count_check()

    # -- at the end --

    def end(self, *, services: list["StandInService"]) -> None:
        """Runs the checks that need the whole trial."""
        for service in services:
            log = [] if service.last_primary is None else service.last_primary.log
            self.twice.effects(entries=log)
            self.refused.effects(entries=log)
            last_log = set(map(id, log))
            for _, entry in service.acked:
                if service.waits_for and id(entry) not in last_log:
                    self.lost.breach(
                        description=f"commit {entry.term}.{entry.number} of {service.name} was acknowledged, "
                        "but is not in the last primary's log"
                    )
        self.stale.end()
        self.shard.end(services={service.name: service for service in services})
        self.recover.end()

    @property
    def breaches(self) -> list[str]:
        return [breach for each in self.checkers for breach in each.breaches]

    @property
    def checks(self) -> Counter[str]:
        return Counter({each.rule: each.checks for each in self.checkers})
