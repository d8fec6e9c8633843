"""The frame of a trial: a simulated system with clients, invariants checked throughout, and checkers at the end."""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ..http_frontend.session_token import parse_session_token
from . import checks
from .event import Event
from .sent_statement import SentStatement
from .sim_net import HeartbeatArrival
from .stand_in import StandIn
from .world import World

SETTLE_US = 14_000_000
SILENCE_BOUND_US = 7_000_000
CONFIGURATION_BOUND_US = 3_000_000
# Longest time until the clients of an ended process see their connections reset
RESET_DELAY_US = 100_000
# A client may find out late that both HTTP proxies with its session failed
DOUBLE_FAULT_WINDOW_US = 30_000_000
SERVICE_BOUND_US = 12_000_000


@dataclass(kw_only=True)
class Verdict:
    """The result of a trial.

    `wrong` lists violations; `worst_us` and `most` the greatest times and counts by name; `chances` how many cases
    each checker could check.
    """

    wrong: list[str] = field(default_factory=list)
    worst_us: dict[str, int] = field(default_factory=dict)
    most: dict[str, int] = field(default_factory=dict)
    chances: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    done: int = 0
    unknown: int = 0

    def note(self, *, name: str, value_us: int, bound_us: int = 0) -> None:
        """Records a time; above a bound it is a violation."""
        self.worst_us[name] = max(self.worst_us.get(name, 0), value_us)
        if bound_us and value_us > bound_us:
            self.wrong.append(f"{name}: {value_us} us, bound {bound_us} us")

    def count(self, *, name: str, value: int) -> None:
        """Records a count."""
        self.most[name] = max(self.most.get(name, 0), value)

    def take(self, *, found: checks.Findings) -> None:
        """Adds the findings of a checker."""
        self.wrong += found[0]
        self.chances += found[1]

    def need(self, *, names: tuple[str, ...]) -> None:
        """Reports checkers that had no case to check, since they prove nothing."""
        self.wrong += [f"no case to check: {name}" for name in names if not self.chances[name]]


@dataclass(kw_only=True)
class Trial:
    """Owns a simulated system, the outcomes of submitted configurations, and the verdict.

    `fault_us` is the time from which the service has to recover; 0 if recovery isn't checked.
    """

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
        """The primary of db0 by the highest term that an HTTP proxy knows."""
        return self.primary_of(database="db0")

    def primary_of(self, *, database: str) -> str:
        """Returns the primary of a database by the highest term that an HTTP proxy knows."""
        assignments = [
            assignment
            for name in self.world.http_proxies_up()
            if (assignment := self.world.http_proxy(name=name).view.assignment(database=database)) is not None
        ]
        return max(assignments, key=lambda assignment: assignment.term).primary

    @property
    def in_sync(self) -> tuple[str, ...]:
        """The in-sync replicas of db0 as the first running HTTP proxy knows them."""
        for name in self.world.http_proxies_up():
            assignment = self.world.http_proxy(name=name).view.assignment(database="db0")
            return () if assignment is None else assignment.in_sync
        return ()

    @property
    def holder(self) -> str:
        """The HTTP proxy that holds the failover lease, or the first one if none does."""
        for name in self.world.http_proxies_up():
            if self.world.http_proxy(name=name).database_failover.lease.held:
                return name
        return self.world.http_proxy_names[0]

    def fault(self) -> None:
        """Marks the time from which the service has to recover."""
        self.fault_us = self.world.now_us

    def go(self, *, for_us: int) -> None:
        """Advances the simulation."""
        self.world.advance(for_us=for_us)

    # ---- invariants

    def watch(self) -> None:
        """Checks the versions that ready HTTP proxies serve by, and the connection limits of backends."""
        world, verdict = self.world, self.verdict
        newest = max(
            (v for v, at_us in self.accepted.items() if world.now_us - at_us > CONFIGURATION_BOUND_US), default=0
        )
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
            # Versions must not decrease across restarts either
            if version < self.served.get(name, 0):
                verdict.wrong.append(f"{name} went back from configuration {self.served[name]} to {version}")
            self.served[name] = version
        for name in world.backend_names():
            backend = world.roles.get(name)
            if backend is not None and backend.peak_connections > world.cap:
                verdict.wrong.append(f"{name} had {backend.peak_connections} connections at once, limit {world.cap}")

    def _unready(self, *, name: str) -> None:
        since_us = self.ready_since_us.pop(name, None)
        if since_us is not None:
            self.ready_spans.append((name, since_us, self.world.now_us))

    def submit(self, *, version: int, at: str = "stall-0", **extra: Any) -> int:
        """Submits a configuration and returns the HTTP status, 0 without a response."""
        body = self.world.configuration(version=version, **extra)
        status, answer = self.world.ask(name=at, method="PUT", path="/v1/configuration", body=body)
        self.record_submission(version=version, body=body, status=status, answer=answer)
        return status

    def record_submission(self, *, version: int, body: bytes, status: int, answer: bytes = b"") -> None:
        """Records the response to an operator's submission."""
        if status == 200:
            self.accepted.setdefault(version, self.world.now_us)
            self.bodies[version] = body
        # The outcome is unknown: the configuration may be in force
        elif status == 0 or json.loads(answer or b"{}").get("outcome") == "unknown":
            self.unsure[version] = body

    # ---- final checks

    def run_checkers(self) -> Verdict:
        """Stops the clients and applies all checkers."""
        world, verdict = self.world, self.verdict
        until_us = world.now_us
        world.callers_end()
        for name in world.http_proxy_names:
            self._unready(name=name)
        if self.fault_us:
            self._check_service(until_us=until_us)
        moves_us = self._promotions()
        for database in world.databases:
            events = [event for event in world.history if event.database == database]
            final = self._final_state(database=database)
            moves = [at_us for at_us, moved in moves_us if moved == database]
            verdict.take(found=checks.check_writes(history=events, final=final, moves_us=moves))
            stale, ages, chances = checks.check_reads(history=events)
            verdict.take(found=(stale, chances))
            verdict.take(found=checks.check_session_values(history=events))
            for kind, age_us in ages.items():
                verdict.note(name=f"age of commits missed by {kind} reads", value_us=age_us)
            verdict.chances["writes during a failover"] += sum(
                event.start_us < at_us + 1_000_000 and event.end_us > at_us - 4_000_000
                for event in checks.write_events(history=events)
                for at_us in moves
            )
        self._statements()
        awake = [event for event in world.history if not self._outage_during(event=event, killed=False)]
        verdict.take(found=checks.check_deadlines(history=awake))
        verdict.take(found=checks.check_rejections(history=awake))
        self._check_dropped()
        self._check_requests_after_silence()
        self._count_silences()
        verdict.wrong += [f"unhandled exception: {error}" for error in world.errors]
        for name, ctx in world.contexts.items():
            if ctx.counters.counts.get("internal.crashes"):
                verdict.wrong.append(f"{name} counted internal.crashes")
        self._read_back(after="the trial")
        self._crash_and_read_back()
        verdict.requests = len(world.history)
        verdict.done = sum(event.outcome == "done" for event in world.history)
        verdict.unknown = sum(event.outcome in ("unknown", "unanswered") for event in world.history)
        return verdict

    def _promotions(self) -> list[tuple[int, str]]:
        """Returns (time, database) of each failover on the simulation's clock; the first primaries don't count."""
        platform = self.world.roles["platform"]
        skew_us = self.world.contexts["platform"].now_us() - self.world.now_us
        firsts: dict[str, str] = {}
        moves = []
        for at_us, database, backend, _ in platform.promotions:
            if database in firsts:
                moves.append((at_us - skew_us, database))
                old = self.world.network.arrivals[firsts[database]] if firsts[database] != backend else []
                self.verdict.chances["old primaries requested after a promotion"] += sum(
                    0 < arrival.at_us - at_us + skew_us < 5_000_000 and arrival.path == "/run" for arrival in old
                )
            firsts[database] = backend
        return moves

    def _check_service(self, *, until_us: int) -> None:
        world, verdict = self.world, self.verdict
        gaps, chances = checks.service_gaps(
            history=world.history, databases=world.databases, from_us=self.fault_us, until_us=until_us
        )
        verdict.chances += chances
        for name, gap_us in gaps.items():
            verdict.note(name=f"without {name.split()[1]}", value_us=gap_us)
            if gap_us > SERVICE_BOUND_US:
                verdict.wrong.append(f"service not restored: {name} for {gap_us} us, bound {SERVICE_BOUND_US} us")
        for name, since_us, end_us in self.ready_spans:
            from_us, to_us = max(since_us, self.fault_us), min(end_us, until_us)
            if to_us - from_us < SERVICE_BOUND_US:
                continue
            verdict.chances["ready HTTP proxies that had to serve"] += 1
            mine = [event for event in world.history if event.http_proxy == world.http(name=name)]
            gap_us = checks.gap_us(history=mine, from_us=from_us, until_us=to_us, verbs=checks.SERVICES)
            verdict.note(name="ready HTTP proxy without an operation", value_us=gap_us)
            if gap_us > SERVICE_BOUND_US:
                verdict.wrong.append(f"service not restored: {name} is ready and completed nothing for {gap_us} us")

    def _statements(self) -> None:
        world, verdict = self.world, self.verdict
        everyone: list[StandIn] = [world.roles[n] for n in world.backend_names() if n in world.roles]
        everyone += world.former_backends
        ran: Counter[SentStatement] = Counter()
        # A killed backend is in former_backends, and until it is started again in roles too
        for each in {id(each): each for each in everyone}.values():
            ran += each.ran
            if each.interleaved:
                verdict.wrong.append(
                    f"{each.ctx.name}: {each.interleaved} statements met another client's transaction"
                )
        sent: Counter[SentStatement] = Counter()
        for caller in world.callers:
            sent += caller.sent
        verdict.take(found=checks.check_statements(ran=ran, sent=sent))

    def _outage_during(self, *, event: Event, killed: bool = True) -> bool:
        """Whether the operation's HTTP proxy was frozen, or with `killed` also killed, during the last request."""
        end_us = event.end_us or self.world.now_us
        return any(
            self.world.http(name=name) == event.http_proxy
            and (event.last_us or event.start_us) <= until_us + RESET_DELAY_US
            and end_us >= from_us
            and (killed or from_us < until_us)
            for name, from_us, until_us in self.world.outages
        )

    def _check_dropped(self) -> None:
        """Checks for requests without a response, and lost sessions, that no outage excuses."""
        world, verdict = self.world, self.verdict
        for event in world.history:
            verdict.chances["responses that had to arrive"] += 1
            if event.end_us and event.outcome in ("unanswered", "cutOff") and not self._outage_during(event=event):
                verdict.wrong.append(
                    f"{event.verb} of {event.caller} at {event.start_us} us was dropped by {event.http_proxy}"
                )
        kills = [(name, from_us) for name, from_us, _ in world.outages if name in world.http_proxy_names]
        for caller in world.callers:
            for session_name, at_us, token, unreplicated in caller.losses:
                # Two HTTP proxies have a session, so it takes two outages to lose it, unless the client was told
                # that it has no replica
                disrupted = {name for name, from_us in kills if at_us - DOUBLE_FAULT_WINDOW_US < from_us < at_us}
                alone = unreplicated or parse_session_token(text=token).ident in world.unreplicated_sessions
                if len(disrupted) < 2 - alone:
                    verdict.wrong.append(
                        f"sessions were lost: {session_name} at {at_us} us, killed or frozen: {sorted(disrupted)}"
                    )
        counts = [ctx.counters.counts for ctx in world.contexts.values()]
        verdict.chances["sessions taken over"] += sum(count["sessions.takenOver"] for count in counts)
        verdict.chances["sessions that had to survive"] += sum(caller.sessions_opened for caller in world.callers)

    def _check_requests_after_silence(self) -> None:
        """Checks how long a backend is still used after its last heartbeat, or after it reported that it drains."""
        for name in self.world.backend_names():
            heartbeats = self.world.network.heartbeats[name]
            at = -1
            draining_us = 0
            for arrival in self.world.network.arrivals[name]:
                while at + 1 < len(heartbeats) and heartbeats[at + 1].at_us <= arrival.at_us:
                    at += 1
                    draining = heartbeats[at].state == "emptying"
                    draining_us = (draining_us or heartbeats[at].at_us) if draining else 0
                if at < 0:
                    continue
                after_us = arrival.at_us - (draining_us or heartbeats[at].at_us)
                self.verdict.chances["requests to backends without recent heartbeats"] += after_us > 1_500_000
                what = "requested after draining" if draining_us else "requested after falling silent"
                self.verdict.note(name=what, value_us=after_us)
                if after_us > SILENCE_BOUND_US:
                    self.verdict.wrong.append(
                        f"{name} was {what} by {arrival.source}: {arrival.path} after {after_us} us, "
                        f"bound {SILENCE_BOUND_US} us"
                    )

    def _count_silences(self) -> None:
        """Counts the backends that are reachable but must not be used: silent or draining, and not dead."""
        for name in self.world.backend_names():
            heartbeats = self.world.network.heartbeats[name]
            kills_us = [
                from_us for who, from_us, until_us in self.world.outages if who == name and from_us == until_us
            ]
            ends = [*heartbeats[1:], HeartbeatArrival(self.world.now_us, "")]
            draining_us = 0
            for heartbeat, following in zip(heartbeats, ends, strict=False):
                draining_us = draining_us + following.at_us - heartbeat.at_us if heartbeat.state == "emptying" else 0
                dead = any(heartbeat.at_us <= kill_us <= following.at_us for kill_us in kills_us)
                long_us = max(draining_us, 0 if dead else following.at_us - heartbeat.at_us)
                self.verdict.chances["backends silent or draining beyond the bound"] += long_us > SILENCE_BOUND_US

    def _final_state(self, *, database: str) -> dict[str, Any]:
        primary = self.primary_of(database=database)
        backend = self.world.backend(name=primary)
        if not backend.is_primary:
            self.verdict.wrong.append(
                f"{primary} isn't the primary of {database} at the end, though the assignment says so"
            )
        return backend.current

    def _read_back(self, *, after: str) -> None:
        """Checks that every HTTP proxy returns the newest acknowledged configuration byte for byte.

        A later one of unknown outcome is allowed.
        """
        newest = max(self.accepted)
        allowed = [self.bodies[newest], *(body for version, body in self.unsure.items() if version > newest)]
        for name in self.world.http_proxies_up():
            status, body = self.world.ask(name=name, method="GET", path="/v1/configuration")
            self.verdict.chances["configuration read back"] += 1
            if status != 200 or body not in allowed:
                self.verdict.wrong.append(
                    f"read back after {after} at {name}: {status} {body[:60]!r}, expected version {newest}"
                )

    def _crash_and_read_back(self) -> None:
        """Kills and restarts all daemons at once, and checks that the configuration survived."""
        world = self.world
        world.heal()
        daemons = [
            name for name in (*world.register_replica_names, *world.http_proxy_names) if name not in world.deferred
        ]
        for name in daemons:
            world.kill(name=name)
        world.advance(for_us=500_000)
        for name in daemons:
            world.start(name=name)

        def back() -> bool:
            return len(world.http_proxies_up()) == len(world.http_proxy_names) and all(
                world.http_proxy(name=name).view.current for name in world.http_proxies_up()
            )

        world.await_that(test=back, within_us=SERVICE_BOUND_US, what="views are current after the last crash")
        self._read_back(after="the last crash")


def start_trial(
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
    """Returns a trial whose system serves and whose clients have run for 3 s."""
    changes = {"idle_transaction_us": 2_000_000, **options.pop("changes", {})}
    world = World(seed=seed, http_proxies=http_proxies, databases=databases, changes=changes, **options)
    world.begin()
    trial = Trial(world=world)
    trial.record_submission(version=1, body=world.configuration(version=1), status=200)
    world.callers_begin(count=callers, think_us=think_us, mix=mix)
    world.once_begin(think_us=once_us, mix=mix)
    trial.go(for_us=3_000_000)
    return trial
