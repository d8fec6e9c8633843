"""A trial: one world at work, one failure, one verdict."""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ..http_frontend.session_token import parse_session_token
from . import checks
from .event import Event
from .sent import Sent
from .sim_net import Word
from .stand_in import StandIn
from .world import World

SETTLE_US = 14_000_000
QUIET_BOUND_US = 7_000_000
FORCE_BOUND_US = 3_000_000
# why: word that a machine has ended takes this long at the most to reach its clients
REACH_US = 100_000
# why: a client may be away for a while and find out late that both its HTTP proxies were lost
BOTH_US = 30_000_000
SERVICE_BOUND_US = 12_000_000


@dataclass(kw_only=True)
class Verdict:
    """What the checkers found, the worst figures against their bounds, and how often each had something to see."""

    wrong: list[str] = field(default_factory=list)
    worst_us: dict[str, int] = field(default_factory=dict)
    most: dict[str, int] = field(default_factory=dict)
    chances: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    done: int = 0
    unknown: int = 0

    def note(self, *, name: str, value_us: int, bound_us: int = 0) -> None:
        self.worst_us[name] = max(self.worst_us.get(name, 0), value_us)
        if bound_us and value_us > bound_us:
            self.wrong.append(f"{name}: {value_us} us, bound {bound_us} us")

    def count(self, *, name: str, value: int) -> None:
        self.most[name] = max(self.most.get(name, 0), value)

    def take(self, *, found: checks.Found) -> None:
        self.wrong += found[0]
        self.chances += found[1]

    def need(self, *, names: tuple[str, ...]) -> None:
        """A checker that had nothing to look at has proved nothing."""
        self.wrong += [f"no chance to see: {name}" for name in names if not self.chances[name]]


@dataclass(kw_only=True)
class Trial:
    """One world, one failure, one verdict."""

    world: World
    verdict: Verdict = field(default_factory=Verdict)
    accepted: dict[int, int] = field(default_factory=dict)
    bodies: dict[int, bytes] = field(default_factory=dict)
    unsure: dict[int, bytes] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    ready_since_us: dict[str, int] = field(default_factory=dict)
    ready_spans: list[tuple[str, int, int]] = field(default_factory=list)
    fault_us: int = 0

    def __post_init__(self) -> None:
        self.world.watchers.append(self.watch)

    @property
    def primary(self) -> str:
        """Who leads the first database, as the HTTP proxy that knows the highest term has it."""
        return self.primary_of(database="db0")

    def primary_of(self, *, database: str) -> str:
        assignments = [
            assignment
            for name in self.world.ups()
            if (assignment := self.world.http_proxy(name=name).view.assignment(database=database)) is not None
        ]
        return max(assignments, key=lambda assignment: assignment.term).primary

    @property
    def in_sync(self) -> tuple[str, ...]:
        for name in self.world.ups():
            assignment = self.world.http_proxy(name=name).view.assignment(database="db0")
            return () if assignment is None else assignment.in_sync
        return ()

    @property
    def holder(self) -> str:
        """The HTTP proxy that holds the duty of leads."""
        for name in self.world.ups():
            if self.world.http_proxy(name=name).database_failover.lease.held:
                return name
        return self.world.http_proxy_names[0]

    def fault(self) -> None:
        """Marks the moment from which the service has to come back."""
        self.fault_us = self.world.now_us

    def go(self, *, for_us: int) -> None:
        self.world.advance(for_us=for_us)

    # ---- what must hold at every moment

    def watch(self) -> None:
        world, verdict = self.world, self.verdict
        newest = max((v for v, at_us in self.accepted.items() if world.now_us - at_us > FORCE_BOUND_US), default=0)
        for name in world.http_proxy_names:
            http_proxy = world.http_proxy(name=name) if world.up(name=name) else None
            if http_proxy is None or http_proxy.ready.unready() is not None:
                self._unready(name=name)
                continue
            self.ready_since_us.setdefault(name, world.now_us)
            configuration = http_proxy.view.configuration
            version = 0 if configuration is None else configuration.version
            verdict.chances["configuration in force"] += bool(newest)
            verdict.chances["newer configuration in force"] += newest > 1
            if version < newest:
                verdict.wrong.append(f"{name} serves by configuration {version}, not {newest}")
            # why: also across a restart, since nobody may ever go back to an older one
            if version < self.served.get(name, 0):
                verdict.wrong.append(f"{name} fell back from configuration {self.served[name]} to {version}")
            self.served[name] = version
        for name in world.backend_names():
            backend = world.roles.get(name)
            if backend is not None and backend.peak_connections > world.cap:
                verdict.wrong.append(f"{name} was given {backend.peak_connections} channels")

    def _unready(self, *, name: str) -> None:
        since_us = self.ready_since_us.pop(name, None)
        if since_us is not None:
            self.ready_spans.append((name, since_us, self.world.now_us))

    def submit(self, *, version: int, at: str = "stall-0", **extra: Any) -> int:
        body = self.world.configuration(version=version, **extra)
        status, answer = self.world.ask(name=at, method="PUT", path="/v1/configuration", body=body)
        self.reported(version=version, body=body, status=status, answer=answer)
        return status

    def reported(self, *, version: int, body: bytes, status: int, answer: bytes = b"") -> None:
        """Keeps what an operator was told of a configuration."""
        if status == 200:
            self.accepted.setdefault(version, self.world.now_us)
            self.bodies[version] = body
        # why: with no answer, or one that says it is not known, it may stand or not
        elif status == 0 or json.loads(answer or b"{}").get("outcome") == "unknown":
            self.unsure[version] = body

    # ---- what must hold in the end

    def judge(self) -> Verdict:
        """Ends the work and puts every checker to the history."""
        world, verdict = self.world, self.verdict
        until_us = world.now_us
        world.callers_end()
        for name in world.http_proxy_names:
            self._unready(name=name)
        if self.fault_us:
            self._service(until_us=until_us)
        moves_us = self._moves()
        for database in world.databases:
            events = [event for event in world.history if event.database == database]
            final = self._final(database=database)
            moves = [at_us for at_us, moved in moves_us if moved == database]
            verdict.take(found=checks.kept(history=events, final=final, moves_us=moves))
            stale, ages, chances = checks.fresh(history=events)
            verdict.take(found=(stale, chances))
            verdict.take(found=checks.values(history=events))
            for kind, age_us in ages.items():
                verdict.note(name=f"missed by {kind}", value_us=age_us)
            verdict.chances["writes while a lead moved"] += sum(
                event.start_us < at_us + 1_000_000 and event.end_us > at_us - 4_000_000
                for event in checks.writes(history=events)
                for at_us in moves
            )
        self._statements()
        awake = [event for event in world.history if not self._struck(event=event, killed=False)]
        verdict.take(found=checks.late(history=awake))
        verdict.take(found=checks.denials(history=awake))
        self._dropped()
        self._quiet()
        self._silences()
        verdict.wrong += [f"error in the code: {error}" for error in world.errors]
        for name, ctx in world.contexts.items():
            if ctx.counters.counts.get("internal.crashes"):
                verdict.wrong.append(f"{name} had an error of its own")
        self._read_back(after="the work")
        self._last_crash()
        verdict.requests = len(world.history)
        verdict.done = sum(event.outcome == "done" for event in world.history)
        verdict.unknown = sum(event.outcome in ("unknown", "unanswered") for event in world.history)
        return verdict

    def _moves(self) -> list[tuple[int, str]]:
        """When which database was given another primary, on the world's clock; the first leads do not count."""
        platform = self.world.roles["platform"]
        skew_us = self.world.contexts["platform"].now_us() - self.world.now_us
        firsts: dict[str, str] = {}
        moves = []
        for at_us, database, backend, _ in platform.promotions:
            if database in firsts:
                moves.append((at_us - skew_us, database))
                old = self.world.network.arrivals[firsts[database]] if firsts[database] != backend else []
                self.verdict.chances["old primaries asked after a promotion"] += sum(
                    0 < arrival.at_us - at_us + skew_us < 5_000_000 and arrival.path == "/run" for arrival in old
                )
            firsts[database] = backend
        return moves

    def _service(self, *, until_us: int) -> None:
        world, verdict = self.world, self.verdict
        gaps, chances = checks.service(
            history=world.history, databases=world.databases, from_us=self.fault_us, until_us=until_us
        )
        verdict.chances += chances
        for name, gap_us in gaps.items():
            verdict.note(name=f"without {name.split()[1]}", value_us=gap_us)
            if gap_us > SERVICE_BOUND_US:
                verdict.wrong.append(f"service not back: {name} after {gap_us} us")
        for name, since_us, end_us in self.ready_spans:
            from_us, to_us = max(since_us, self.fault_us), min(end_us, until_us)
            if to_us - from_us < SERVICE_BOUND_US:
                continue
            verdict.chances["HTTP proxies called ready that had to serve"] += 1
            mine = [event for event in world.history if event.http_proxy == world.http(name=name)]
            gap_us = checks.gap_us(history=mine, from_us=from_us, until_us=to_us, verbs=checks.SERVICES)
            verdict.note(name="ready HTTP proxy without a job", value_us=gap_us)
            if gap_us > SERVICE_BOUND_US:
                verdict.wrong.append(f"service not back: {name} is called ready and did nothing for {gap_us} us")

    def _statements(self) -> None:
        world, verdict = self.world, self.verdict
        everyone: list[StandIn] = [world.roles[n] for n in world.backend_names() if n in world.roles]
        everyone += world.retired
        ran: Counter[Sent] = Counter()
        # why: one that was killed stands among the retired, and until it is started again among the things too
        for each in {id(each): each for each in everyone}.values():
            ran += each.ran
            if each.mixed:
                verdict.wrong.append(f"{each.ctx.name}: {each.mixed} statements met another's transaction")
        sent: Counter[Sent] = Counter()
        for caller in world.callers:
            sent += caller.sent
        verdict.take(found=checks.statements(ran=ran, sent=sent))

    def _struck(self, *, event: Event, killed: bool = True) -> bool:
        """Whether the HTTP proxy that was asked was frozen meanwhile, or killed."""
        end_us = event.end_us or self.world.now_us
        return any(
            self.world.http(name=name) == event.http_proxy
            and (event.last_us or event.start_us) <= until_us + REACH_US
            and end_us >= from_us
            and (killed or from_us < until_us)
            for name, from_us, until_us in self.world.strikes
        )

    def _dropped(self) -> None:
        """Statements without an answer, and sessions gone, where no failure excuses it."""
        world, verdict = self.world, self.verdict
        for event in world.history:
            verdict.chances["answers that had to come"] += 1
            if event.end_us and event.outcome in ("unanswered", "cutOff") and not self._struck(event=event):
                verdict.wrong.append(
                    f"{event.verb} of {event.caller} at {event.start_us} was dropped by {event.http_proxy}"
                )
        kills = [(name, from_us) for name, from_us, _ in world.strikes if name in world.http_proxy_names]
        for caller in world.callers:
            for life, at_us, handle, reported in caller.losses:
                # why: a session stands at two HTTP proxies, so one alone can't take it along, unless it was told
                # otherwise
                struck = {name for name, from_us in kills if at_us - BOTH_US < from_us < at_us}
                alone = reported or parse_session_token(text=handle).ident in world.alone
                if len(struck) < 2 - alone:
                    verdict.wrong.append(f"sessions were lost: {life} at {at_us}, struck {sorted(struck)}")
        counts = [ctx.counters.counts for ctx in world.contexts.values()]
        verdict.chances["sessions taken over"] += sum(count["sessions.takenOver"] for count in counts)
        verdict.chances["sessions that had to last"] += sum(caller.lives for caller in world.callers)

    def _quiet(self) -> None:
        """For every backend, how long after its own last word, or its word of emptying, it was still asked."""
        for name in self.world.backend_names():
            words = self.world.network.words[name]
            at = -1
            emptying_us = 0
            for arrival in self.world.network.arrivals[name]:
                while at + 1 < len(words) and words[at + 1].at_us <= arrival.at_us:
                    at += 1
                    emptying = words[at].state == "emptying"
                    emptying_us = (emptying_us or words[at].at_us) if emptying else 0
                if at < 0:
                    continue
                after_us = arrival.at_us - (emptying_us or words[at].at_us)
                self.verdict.chances["asked after its last word"] += after_us > 1_500_000
                what = "asked after emptying" if emptying_us else "asked after going quiet"
                self.verdict.note(name=what, value_us=after_us)
                if after_us > QUIET_BOUND_US:
                    self.verdict.wrong.append(f"{name} was {what} by {arrival.source}: {after_us} us, {arrival.path}")

    def _silences(self) -> None:
        """Counts the backends that could be asked and should not be: silent or emptying, and not dead."""
        for name in self.world.backend_names():
            words = self.world.network.words[name]
            kills_us = [
                from_us for who, from_us, until_us in self.world.strikes if who == name and from_us == until_us
            ]
            ends = [*words[1:], Word(self.world.now_us, "")]
            emptying_us = 0
            for word, following in zip(words, ends, strict=False):
                emptying_us = emptying_us + following.at_us - word.at_us if word.state == "emptying" else 0
                dead = any(word.at_us <= kill_us <= following.at_us for kill_us in kills_us)
                long_us = max(emptying_us, 0 if dead else following.at_us - word.at_us)
                self.verdict.chances["backends silent or emptying for long"] += long_us > QUIET_BOUND_US

    def _final(self, *, database: str) -> dict[str, Any]:
        primary = self.primary_of(database=database)
        backend = self.world.backend(name=primary)
        if not backend.is_primary:
            self.verdict.wrong.append(f"{primary} does not lead {database} in the end")
        return backend.current

    def _read_back(self, *, after: str) -> None:
        """The newest acknowledged configuration, byte for byte; one of unknown outcome may have come after it."""
        newest = max(self.accepted)
        allowed = [self.bodies[newest], *(body for version, body in self.unsure.items() if version > newest)]
        for name in self.world.ups():
            status, body = self.world.ask(name=name, method="GET", path="/v1/configuration")
            self.verdict.chances["configuration read back"] += 1
            if status != 200 or body not in allowed:
                self.verdict.wrong.append(f"read back after {after} at {name}: {status} {body[:60]!r}, not {newest}")

    def _last_crash(self) -> None:
        """Everything loses its power at once; what was acknowledged is asked for again."""
        world = self.world
        world.heal()
        daemons = [
            name for name in (*world.register_replica_names, *world.http_proxy_names) if name not in world.late
        ]
        for name in daemons:
            world.kill(name=name)
        world.advance(for_us=500_000)
        for name in daemons:
            world.start(name=name)

        def back() -> bool:
            return len(world.ups()) == len(world.http_proxy_names) and all(
                world.http_proxy(name=name).view.current for name in world.ups()
            )

        world.await_that(test=back, within_us=SERVICE_BOUND_US, what="views are current after the last crash")
        self._read_back(after="the last crash")


def begun(
    *,
    seed: int,
    callers: int = 8,
    think_us: int = 200_000,
    once_us: int = 600_000,
    http_proxies: int = 3,
    databases: int = 1,
    mix: dict[str, float] | None = None,
    **options: Any,
) -> Trial:
    """A world at work."""
    changes = {"idle_transaction_us": 2_000_000, **options.pop("changes", {})}
    world = World(seed=seed, http_proxies=http_proxies, databases=databases, changes=changes, **options)
    world.begin()
    trial = Trial(world=world)
    trial.reported(version=1, body=world.configuration(version=1), status=200)
    world.callers_begin(count=callers, think_us=think_us, mix=mix)
    world.once_begin(think_us=once_us, mix=mix)
    trial.go(for_us=3_000_000)
    return trial
