"""A simulated system: the real daemons and stand-ins on a virtual clock, network and disk."""

import asyncio
import json
import logging
import random
from collections.abc import Callable, Coroutine
from datetime import datetime, timedelta, timezone
from typing import Any

from ..consensus.register_replica import RegisterReplica
from ..http_frontend.http_proxy import HttpProxy
from ..runtime.context import Context
from ..runtime.counters import Counters
from ..runtime.http_request import HttpRequest
from ..runtime.no_disk import NoDisk
from ..runtime.protocol_versions import PROTOCOL_VERSIONS, ProtocolVersions
from ..runtime.settings import Settings
from .caller import ONCE_TIME_LEFT_US, Caller
from .event import Event
from .sim_disk import SimDisk
from .sim_net import SimNet, SimNetwork
from .stand_in import StandIn
from .stand_in_platform import StandInPlatform
from .virtual_loop import SimProcess, VirtualLoop

SITES = ("kingston", "mandeville", "montego")
WATCH_INTERVAL_US = 100_000
WALL_START_US = 1_780_000_000_000_000


class World:
    """Owns all simulated processes, their disks, network and clients, and the recorded history.

    The same seed gives the same run. Processes are started, killed, frozen and partitioned by name. An exception that
    no task handles goes to `errors`; a daemon that halts itself goes to `halted` with its reason.
    """

    def __init__(
        self,
        *,
        seed: int,
        http_proxies: int = 3,
        register_replicas: int = 5,
        databases: int = 1,
        changes: dict[str, Any] | None = None,
        cap: int = 60,
        logLevel: int = logging.CRITICAL,
        http_proxy_names: list[str] | None = None,
        database_names: dict[str, list[str]] | None = None,
        sites: dict[str, str] | None = None,
        spares: int = 0,
        versions_by_address: dict[str, ProtocolVersions] | None = None,
    ) -> None:
        self.versions_by_address = dict(versions_by_address or {})
        self.seed = seed
        self.rng = random.Random(f"world/{seed}")
        self.loop = VirtualLoop()
        self.loop.set_exception_handler(self._record_exception)
        self.network = SimNetwork(loop=self.loop, rng=random.Random(f"wires/{seed}"))
        self.http_proxy_names = (
            http_proxy_names if http_proxy_names is not None else [f"stall-{n}" for n in range(http_proxies)]
        )
        self.sites = sites or {}
        # Processes that start_all leaves out; the caller starts them later
        self.deferred: set[str] = set()
        self.frozen_since_us: dict[str, int] = {}
        self.frozen_spans: list[tuple[str, int, int]] = []
        # (name, start, end) of every kill and freeze; only these excuse a request without a response
        self.outages: list[tuple[str, int, int]] = []
        # Sessions without a replica at the time their HTTP proxy was killed
        self.unreplicated_sessions: set[str] = set()
        self.watchers: list[Callable[[], None]] = []
        self.stopping: set[str] = set()
        self.register_replica_names = [f"vault-{n}" for n in range(register_replicas)]
        made = {f"db{d}": [f"db{d}-{c}" for c in "abc"] for d in range(databases)}
        self.databases = database_names if database_names is not None else made
        # Spare backends run from the start, but enter the configuration only when a trial adds them
        self.configured = {database: list(names) for database, names in self.databases.items()}
        for database, names in self.databases.items():
            names.extend(f"{database}-{letter}" for letter in "defghi"[:spares])
        self.changes = changes or {}
        self.cap = cap
        self.disks: dict[str, SimDisk] = {}
        self.processes: dict[str, SimProcess] = {}
        self.roles: dict[str, Any] = {}
        self.contexts: dict[str, Context] = {}
        self.skews_us: dict[str, int] = {}
        self.wall_skews_us: dict[str, int] = {}
        self.history: list[Event] = []
        self.callers: list[Caller] = []
        self.errors: list[str] = []
        self.halted: dict[str, str] = {}
        self.former_backends: list[StandIn] = []
        self.logLevel = logLevel
        self.addresses = self._addresses()

    def _record_exception(self, loop: Any, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            self.errors.append(f"{context.get('message')}: {error!r}")

    def _addresses(self) -> dict[str, str]:
        names = [*self.register_replica_names, *self.http_proxy_names, "platform", *self.backend_names()]
        return {name: f"10.0.{n // 250}.{n % 250 + 1}" for n, name in enumerate(names)}

    def backend_names(self) -> list[str]:
        """Returns the backends of all databases, spares included."""
        return [name for names in self.databases.values() for name in names]

    def database_of(self, *, name: str) -> str:
        """Returns the database of a backend."""
        return next(database for database, names in self.databases.items() if name in names)

    def http(self, *, name: str) -> str:
        """Returns the HTTP address of a machine."""
        return f"{self.addresses[name]}:7200"

    def records(self, *, name: str) -> str:
        """Returns the record address of a machine."""
        return f"{self.addresses[name]}:7100"

    def site_of(self, *, name: str) -> str:
        """Returns the site of a machine, by default by the last letter of its name."""
        return self.sites.get(name) or SITES[ord(name[-1]) % len(SITES)]

    @property
    def now_us(self) -> int:
        """The virtual time in us."""
        return round(self.loop.virtual * 1_000_000)

    def settings(self, *, name: str) -> Settings:
        """Returns the settings of a daemon."""
        return Settings(
            name=name,
            site=self.site_of(name=name),
            records=self.records(name=name),
            http=self.http(name=name),
            seeds=tuple(self.records(name=register_replica) for register_replica in self.register_replica_names[:3]),
            founding_replicas=len(self.register_replica_names),
            platform=self.http(name="platform"),
            **self.changes,
        )

    # ---- machines

    def _context(self, *, name: str, process: SimProcess) -> Context:
        count = sum(1 for key in self.skews_us if key.startswith(f"{name}#"))
        run = f"{name}#{count}"
        # Monotonic clocks differ between machines, and on one machine before and after a restart
        self.skews_us[run] = random.Random(f"skew/{self.seed}/{run}").randrange(0, 10**12)
        skew_us = self.skews_us[run]
        wall_skew_us = self.wall_skews_us.get(name, 0)
        disk = self.disks.setdefault(name, SimDisk(rng=random.Random(f"disk/{self.seed}/{name}")))
        log = logging.getLogger(f"sim.{name}")
        log.setLevel(self.logLevel)
        return Context(
            name=name,
            site=self.site_of(name=name),
            rng=random.Random(f"luck/{self.seed}/{run}"),
            clock=lambda: self.now_us + skew_us,
            wall=lambda: WALL_START_US + self.now_us + wall_skew_us,
            net=SimNet(network=self.network, process=process),
            disk=disk if name not in self.http_proxy_names else NoDisk(),
            log=log,
            counters=Counters(),
            protocol_versions=self.versions_by_address.get(name, PROTOCOL_VERSIONS),
        )

    def start(self, *, name: str) -> None:
        """Starts a machine's process; the disk of an earlier one is kept."""
        process = SimProcess(name=name)
        ctx = self._context(name=name, process=process)
        self.roles.pop(name, None)
        self.processes[name], self.contexts[name] = process, ctx
        self.network.run_at(process=process, work=self._run(name=name, ctx=ctx))

    async def _run(self, *, name: str, ctx: Context) -> None:
        if name in self.register_replica_names:
            role: Any = RegisterReplica(ctx=ctx, settings=self.settings(name=name), halt=self._halter(name=name))
        elif name in self.http_proxy_names:
            role = HttpProxy(ctx=ctx, settings=self.settings(name=name))
        elif name == "platform":
            backends = {
                database: {each: self.http(name=each) for each in names} for database, names in self.databases.items()
            }
            role = StandInPlatform(ctx=ctx, address=self.http(name=name), backends=backends)
        else:
            role = StandIn(
                ctx=ctx,
                address=self.http(name=name),
                database=self.database_of(name=name),
                cap=self.cap,
                http_proxies=tuple(self.http(name=http_proxy) for http_proxy in self.http_proxy_names),
            )
        self.roles[name] = role
        result = await role.start()
        if result is not None and result.is_error():
            self.halted[name] = result.error.reason
            self.kill(name=name)

    def _halter(self, *, name: str) -> Callable[[str], None]:
        def halt(reason: str) -> None:
            self.halted[name] = reason
            self.kill(name=name)

        return halt

    def start_all(self) -> None:
        """Starts all machines except the deferred ones."""
        for name in self.addresses:
            if name not in self.deferred:
                self.start(name=name)

    def kill(self, *, name: str) -> None:
        """Ends a process at once: no clean-up runs, its listeners go and its connections close."""
        process = self.processes[name]
        role = self.roles.get(name)
        # A planned stop also ends in a kill, but it isn't an outage: it may lose nothing
        if isinstance(role, HttpProxy):
            self.unreplicated_sessions |= {
                ident for ident, session in role.sessions.open.items() if not session.replica_holder
            }
        if not process.dead and name not in self.stopping:
            self.outages.append((name, self.now_us, self.now_us))
        self.stopping.discard(name)
        if isinstance(role, StandIn):
            self.former_backends.append(role)
        self.loop.kill(process=process)
        self.network.close_all(process=process)

    def stop(self, *, name: str) -> None:
        """Stops a daemon as SIGTERM does: it drains, and then its process ends."""

        async def drained() -> None:
            await self.roles[name].drain()
            self.stopping.add(name)
            self.network.schedule(call=lambda: self.kill(name=name))

        self.network.run_at(process=self.processes[name], work=drained())

    def freeze(self, *, name: str) -> None:
        """Suspends a process as SIGSTOP does; the network keeps what it is sent."""
        self.loop.freeze(process=self.processes[name])
        self.frozen_since_us[name] = self.now_us

    def thaw(self, *, name: str) -> None:
        """Resumes a frozen process and records the outage."""
        self.loop.thaw(process=self.processes[name])
        since_us = self.frozen_since_us.pop(name, self.now_us)
        self.frozen_spans.append((self.http(name=name), since_us, self.now_us))
        self.outages.append((name, since_us, self.now_us))

    def cut(self, *, ones: list[str], others: list[str], both: bool = True) -> None:
        """Drops traffic from each of `ones` to each of `others`, and with `both` also in reverse."""
        for one in ones:
            for other in others:
                self.network.cuts.add((one, other))
                if both:
                    self.network.cuts.add((other, one))

    def isolate(self, *, name: str) -> None:
        """Partitions one machine from all others; its clients still reach it."""
        self.cut(ones=[name], others=[other for other in self.addresses if other != name])

    def mend(self, *, name: str) -> None:
        """Removes all partitions of one machine; others stay."""
        self.network.cuts = {pair for pair in self.network.cuts if name not in pair}

    def heal(self) -> None:
        """Removes all partitions."""
        self.network.cuts.clear()

    def http_proxy(self, *, name: str) -> HttpProxy:
        """Returns the running HTTP proxy of this name."""
        role = self.roles[name]
        assert isinstance(role, HttpProxy)
        return role

    def backend(self, *, name: str) -> StandIn:
        """Returns the stand-in backend of this name."""
        role = self.roles[name]
        assert isinstance(role, StandIn)
        return role

    def register_replica(self, *, name: str) -> RegisterReplica:
        """Returns the running register replica of this name."""
        role = self.roles[name]
        assert isinstance(role, RegisterReplica)
        return role

    def up(self, *, name: str) -> bool:
        """Whether the process runs and isn't frozen."""
        process = self.processes.get(name)
        return process is not None and not process.dead and not process.frozen and name in self.roles

    # ---- running

    def run(self, *, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine to its end on virtual time."""
        return self.loop.run_until_complete(work)

    async def _sleep(self, *, for_us: int) -> None:
        await asyncio.sleep(for_us / 1_000_000)

    def advance(self, *, for_us: int) -> None:
        """Advances virtual time; the watchers check invariants at least every WATCH_INTERVAL_US."""
        until_us = self.now_us + for_us
        while (left_us := until_us - self.now_us) > 0:
            self.run(work=self._sleep(for_us=min(left_us, WATCH_INTERVAL_US) if self.watchers else left_us))
            for watch in self.watchers:
                watch()

    def await_that(self, *, test: Callable[[], bool], within_us: int, what: str) -> int:
        """Advances until the test holds and returns the time taken in us; raises AssertionError after `within_us`."""
        start_us = self.now_us
        while not test():
            if self.now_us - start_us > within_us:
                raise AssertionError(f"seed {self.seed}: not within {within_us} us: {what}")
            self.advance(for_us=50_000)
        return self.now_us - start_us

    async def _ask(self, *, name: str, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        net = SimNet(network=self.network, process=SimProcess(name="operator"))
        dialled = await net.dial(address=self.http(name=name), wait_us=500_000)
        if dialled.is_error():
            return 0, b""
        result = await dialled.ok.send_request(
            request=HttpRequest(method=method, path=path, body=body), wait_us=8_000_000
        )
        dialled.ok.close()
        return (0, b"") if result.is_error() else (result.ok.status, result.ok.body)

    def ask(self, *, name: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Sends one HTTP request to a daemon; returns its status and body, or status 0 without a response."""
        return self.run(work=self._ask(name=name, method=method, path=path, body=body))

    def calendar(self, *, in_us: int) -> str:
        """Returns the wall-clock time `in_us` from now in ISO 8601, as an operator writes it in a window."""
        seconds = (WALL_START_US + self.now_us + in_us) / 1_000_000
        return datetime.fromtimestamp(seconds, tz=timezone(timedelta(hours=7))).isoformat()

    def configuration(self, *, version: int, old: tuple[str, ...] = (), **extra: Any) -> bytes:
        """Returns a configuration document; machines in `old` get the label hall=old, all others hall=new."""
        document = {
            "version": version,
            "databases": {
                database: {
                    "backends": [
                        {
                            "labels": {"hall": "old" if name in old else "new"},
                            "name": name,
                            "address": self.http(name=name),
                            "site": self.site_of(name=name),
                            "cap": self.cap,
                        }
                        for name in names
                    ]
                }
                for database, names in self.configured.items()
            },
            "stalls": {name: {"hall": "old" if name in old else "new"} for name in self.http_proxy_names},
            **extra,
        }
        return json.dumps(document).encode()

    def http_proxies_up(self) -> list[str]:
        """Returns the names of the HTTP proxies that run and aren't frozen."""
        return [name for name in self.http_proxy_names if self.up(name=name)]

    def ready(self) -> bool:
        """Whether every running HTTP proxy is ready and every database has a settled primary and in-sync replicas."""
        http_proxies_up = [self.http_proxy(name=name) for name in self.http_proxies_up()]
        return bool(http_proxies_up) and all(
            http_proxy.ready.unready() is None
            and all(
                (assignment := http_proxy.view.assignment(database=database)) is not None
                and assignment.state == "settled"
                and assignment.in_sync
                and http_proxy.connection_pools.usable(name=assignment.primary)
                and all(http_proxy.connection_pools.open(name=name) for name in assignment.confirmers)
                for database in self.databases
            )
            for http_proxy in http_proxies_up
        )

    def begin(self, *, raw: bytes = b"") -> None:
        """Starts all processes, submits the first configuration and waits until the system serves."""
        self.start_all()
        first = [name for name in self.http_proxy_names if name not in self.deferred]
        self.await_that(
            test=lambda: all(self.up(name=n) and self.http_proxy(name=n).view.current for n in first),
            within_us=20_000_000,
            what="the views of all HTTP proxies are current",
        )
        status, body = self.ask(
            name=first[0], method="PUT", path="/v1/configuration", body=raw or self.configuration(version=1)
        )
        assert status == 200, body
        self.await_that(
            test=self.ready,
            within_us=30_000_000,
            what="all HTTP proxies are ready and all databases have a primary in sync",
        )

    def callers_begin(self, *, count: int, think_us: int = 300_000, **options: Any) -> None:
        """Starts clients with long sessions, each at any HTTP proxy."""
        names = list(self.databases)
        for number in range(count):
            database = names[number % len(names)]
            name = f"caller-{number}"
            self._caller(
                name=name, http_proxies=self.http_proxy_names, database=database, think_us=think_us, **options
            )

    def once_begin(self, *, think_us: int, **options: Any) -> None:
        """Starts per HTTP proxy and database a client with a long deadline that opens a session per operation."""
        for http_proxy in self.http_proxy_names:
            for database in self.databases:
                name = f"once-{http_proxy}-{database}"
                defaults = {"once": True, "time_left_us": ONCE_TIME_LEFT_US, **options}
                self._caller(name=name, http_proxies=[http_proxy], database=database, think_us=think_us, **defaults)

    def _caller(self, *, name: str, http_proxies: list[str], database: str, think_us: int, **options: Any) -> None:
        process = SimProcess(name=name)
        ctx = self._context(name=name, process=process)
        ctx.clock = lambda: self.now_us
        caller = Caller(
            ctx=ctx,
            http_proxies=[self.http(name=http_proxy) for http_proxy in http_proxies],
            database=database,
            history=self.history,
            think_us=think_us,
            **options,
        )
        self.callers.append(caller)
        self.network.run_at(process=process, work=caller.run())

    def callers_end(self) -> None:
        """Stops all clients and waits until their last operations are over."""
        for caller in self.callers:
            caller.stopped = True
        self.advance(for_us=5_000_000)

    def close(self) -> None:
        """Ends the simulation; no callback runs any more."""
        for process in self.processes.values():
            process.dead = True
        self.loop.ended = True
        self.loop.retained_tasks.clear()
        self.loop.close()
