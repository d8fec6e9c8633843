"""A simulated platform in which the real roles run: the same seed is the same run."""

import asyncio
import json
import logging
import random
from collections.abc import Callable, Coroutine
from typing import Any

from ...runtime.context import Context
from ...runtime.counters import Counters
from ...runtime.no_disk import NoDisk
from ..sim_disk import SimDisk
from ..sim_net import SimNet
from ..virtual_loop import SimProcess, VirtualLoop
from .disruption import Disruption
from .heartbeat_sender import HeartbeatSender
from .platform_client import PlatformClient
from .platform_wires import PlatformWires
from .referee import APPLY_US, DRAIN_US, Referee
from .route_prober import RouteProber
from .sim_streams import SimStreams
from .stand_in_backend import StandInBackend
from .stand_in_handover import StandInHandover
from .stand_in_operator import StandInOperator
from .stand_in_platform import StandInPlatform
from .stand_in_service import StandInService
from .stream_fabric import REGION_US, StreamFabric

REGIONS = {"north-1": "north", "north-2": "north", "south-1": "south"}
ZONES = tuple(REGIONS)
QUIET_US = 3_000_000
GRACE_US = 5_000_000
AGAIN_US = 600_000
CATCH_UP_US = 4_000_000
TIMER_PERIOD_S = 0.1
SLACK_US = 200_000
PAUSES_US = (0, 0, 20_000, 60_000, 150_000)
PORTS = {"front": 9001, "ready": 9002, "control": 9003, "records": 9100, "backend": 9200, "platform": 9300}
SORTS = (("primary", 0), ("recent_enough", 1_200), ("self_hosted", 2_000))


class PlatformWorld:
    """Machines are started, killed, frozen, stopped, cut off and left without power by name."""

    def __init__(
        self,
        *,
        seed: int,
        proxies: int = 3,
        controllers: int = 3,
        services: int = 2,
        backends: int = 3,
        waits_for: int = 1,
        promote_us: int = 500_000,
        max_links: int = 60,
        region_us: int = REGION_US,
        drain_us: int = DRAIN_US,
        log_level: int = logging.CRITICAL,
    ) -> None:
        self.seed = seed
        self.loop = VirtualLoop()
        self.loop.set_exception_handler(self._wrong)
        self.network = PlatformWires(loop=self.loop, rng=self.rng_for(name="wires"))
        self.fabric = StreamFabric(loop=self.loop, network=self.network, rng=self.rng_for(name="fabric"))
        self.fabric.region_us = self.network.slow_us = region_us
        self.rng = self.rng_for(name="world")
        self.log_level = log_level
        self.proxies = [f"booth-{n}" for n in range(proxies)]
        self.controllers = [f"guildhall-{n}" for n in range(controllers)]
        self.errors: list[str] = []
        self.halted: dict[str, str] = {}
        self.disruptions: list[Disruption] = []
        self.processes: dict[str, SimProcess] = {}
        self.roles: dict[str, Any] = {}
        self.contexts: dict[str, Context] = {}
        self.disks: dict[str, SimDisk] = {}
        self.lives: dict[str, int] = {}
        self.first_run = True
        self.addresses: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.retired: dict[str, StandInBackend] = {}
        self.senders: dict[str, HeartbeatSender] = {}
        self.clients: list[PlatformClient] = []
        self.expected: set[str] = set()
        self.replaced = 0
        # controllers that are cut off from a majority which has settled without them
        self.minority: set[str] = set()
        # how long after each loss in a row all voters were there again
        self.entered_us: list[int] = []
        self.referee = Referee(in_touch=lambda name: self.in_touch(name=name), drain_us=drain_us)
        self.referee.proxies = len(self.proxies)
        for number, name in enumerate([*self.controllers, *self.proxies]):
            self._place(name=name, zone=ZONES[number % len(ZONES)])
        for name in ("platform", "operator", "prober"):
            self._place(name=name, zone=ZONES[0])
        self.services: dict[str, StandInService] = {}
        self.backends: dict[str, StandInBackend] = {}
        for number in range(services):
            service = StandInService(
                name=f"ledger{number}", waits_for=waits_for, max_links=max_links, promote_us=promote_us
            )
            service.on_promoted.append(lambda backend, lost: self.referee.promoted(backend=backend, lost=lost))
            self.services[service.name] = service
            for index in range(backends):
                self._backend(service=service, index=index, is_primary=index == 0)
        self.handover = StandInHandover(services=self.services, referee=self.referee)
        self.controls = [self.address(name=name, door="control") for name in self.controllers]
        self.platform = StandInPlatform(
            fabric=self.fabric,
            streams=self.streams(name="platform"),
            address=self.address(name="platform", door="platform"),
            services=self.services,
            referee=self.referee,
            rng=self.rng_for(name="platform"),
            fronts={name: self.address(name=name, door="front") for name in self.proxies},
            ready={name: self.address(name=name, door="ready") for name in self.proxies},
            zones=self.zones,
        )
        self.operator = StandInOperator(
            fabric=self.fabric,
            streams=self.streams(name="operator"),
            controls=self.controls,
            referee=self.referee,
            rng=self.rng_for(name="operator"),
        )
        self.prober = RouteProber(
            fabric=self.fabric,
            streams=self.streams(name="prober"),
            platform=self.platform,
            referee=self.referee,
            rng=self.rng_for(name="prober"),
            lives=lambda name: self.lives[name],
            databases=[],
        )
        self.databases: dict[str, str] = {}
        for service_name in self.services:
            for sort, _ in SORTS:
                self.databases[f"{service_name}-{sort.partition('_')[0]}"] = service_name

    def rng_for(self, *, name: str) -> random.Random:
        return random.Random(f"platform/{self.seed}/{name}")

    def _wrong(self, loop: Any, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            self.errors.append(f"{context.get('message')}: {error!r}")

    @property
    def now_us(self) -> int:
        return round(self.loop.virtual * 1_000_000)

    # -- places --

    def _place(self, *, name: str, zone: str, ip: str = "") -> None:
        ip = ip or f"10.{ZONES.index(zone) + 1}.{len(self.zones) // 200}.{len(self.zones) % 200 + 10}"
        self.addresses[name], self.zones[name] = ip, zone
        self.fabric.place(host=name, ip=ip, zone=zone, region=REGIONS[zone])

    def address(self, *, name: str, door: str) -> str:
        return f"{self.addresses[name]}:{PORTS[door]}"

    def streams(self, *, name: str, process: SimProcess | None = None) -> SimStreams:
        return SimStreams(fabric=self.fabric, host=name, process=process)

    def _backend(
        self, *, service: StandInService, index: int, is_primary: bool, old: StandInBackend | None = None
    ) -> StandInBackend:
        self.replaced += old is not None
        name = f"{service.name}-b{index}" + (f"r{self.replaced}" if old is not None else "")
        zone = ZONES[index % len(ZONES)] if old is None else old.zone
        self._place(name=name, zone=zone, ip="" if old is None else self.addresses[old.name])
        backend = StandInBackend(
            name=name,
            service=service,
            address=self.address(name=name, door="backend"),
            zone=zone,
            fabric=self.fabric,
            referee=self.referee,
            rng=self.rng_for(name=name),
            is_primary=is_primary,
            # why: a primary's log passes to whoever comes to its address; a copy takes its own along
            log=old.log if old is not None and old.is_primary else None,
        )
        if old is not None:
            backend.term = old.term
        service.backends[name] = self.backends[name] = backend
        if is_primary:
            service.last = backend
        return backend

    # -- machines of the system --

    def _context(self, *, name: str, process: SimProcess) -> Context:
        life = self.lives[name]
        # why: no two machines' steady clocks agree, nor do one machine's before and after a restart
        skew_us = self.rng_for(name=f"skew/{name}/{life}").randrange(10**12)
        log = logging.getLogger(f"platform.{name}")
        log.setLevel(self.log_level)
        disk = self.disks.setdefault(name, SimDisk(rng=self.rng_for(name=f"disk/{name}")))
        return Context(
            name=name,
            site=self.zones[name],
            rng=self.rng_for(name=f"luck/{name}/{life}"),
            clock=lambda: self.now_us + skew_us,
            wall=lambda: self.now_us,
            net=SimNet(network=self.network, process=process),
            disk=disk if name in self.controllers else NoDisk(),
            log=log,
            counters=Counters(),
        )

    def machine(self, *, name: str) -> Any:
        """What the settings file of a machine says now."""
        from adapter.settings_file import MachineSettings

        proxy = name in self.proxies
        return MachineSettings(
            name=name,
            site=self.zones[name],
            ip=self.addresses[name],
            seeds=tuple(self.controls[:3]),
            regions=REGIONS,
            spare_port=PORTS["records"],
            folder="" if proxy else "data",
            front=self.address(name=name, door="front") if proxy else "",
            ready=self.address(name=name, door="ready") if proxy else "",
            control="" if proxy else self.address(name=name, door="control"),
            provider=self.address(name="platform", door="platform"),
            first_run=self.first_run and not proxy,
            losses=1,
            beat_every_us=1_000_000,
            grace_us=GRACE_US,
            catch_up_us=CATCH_UP_US,
            drain_us=self.referee.drain.drain_us,
        )

    def start(self, *, name: str) -> None:
        """One run of a machine's process."""
        from adapter.controller_role import ControllerRole
        from adapter.proxy_role import ProxyRole

        self.network.dark.discard(name)
        process = SimProcess(name=name)
        self.lives[name] = self.lives.get(name, 0) + 1
        ctx = self._context(name=name, process=process)
        self.processes[name], self.contexts[name] = process, ctx
        make = ProxyRole if name in self.proxies else ControllerRole
        machine = self.machine(name=name)
        streams = self.streams(name=name, process=process)

        async def run() -> None:
            role = make(ctx, machine, streams, lambda reason: self._halt(name=name, reason=reason))
            if name in self.controllers:
                role.controller.handover = self.handover
            self.roles[name] = role
            result = await role.start()
            if result.is_error():
                self._halt(name=name, reason=result.error.reason)

        self.network.run_at(process=process, work=run())

    def _halt(self, *, name: str, reason: str) -> None:
        self.halted[name] = reason
        self.kill(name=name)

    def _end(self, *, name: str, dark: bool) -> None:
        process = self.processes[name]
        self.loop.kill(process=process)
        self.network.close_all(process=process)
        self.fabric.end_of(host=name, silently=dark)
        self.roles.pop(name, None)

    def kill(self, *, name: str, again_us: int = AGAIN_US) -> None:
        """The process ends at once; the platform starts it again after a while."""
        self.note(name=name, for_us=again_us)
        self._end(name=name, dark=False)
        self.fabric.call(self._start_later(name=name, wait_us=again_us))

    async def _start_later(self, *, name: str, wait_us: int) -> None:
        await asyncio.sleep(wait_us / 1_000_000)
        if self.processes[name].dead and (name in self.controllers or name in self.proxies):
            self.start(name=name)

    def power_off(self, *, name: str, wipe: bool = False) -> None:
        """The machine goes dark, and may lose its disk."""
        self.note(name=name, for_us=None)
        self.network.dark.add(name)
        self._end(name=name, dark=True)
        if wipe:
            self.disks[name].wipe()

    def power_on(self, *, name: str) -> None:
        self.past(name=name)
        # why: a machine that is gone for good meanwhile has no power to come back to
        if name in self.controllers or name in self.proxies:
            self.start(name=name)

    def add_controller(self, *, name: str, zone: str) -> None:
        """A new machine of control with an empty disk, at an address of its own."""
        self._place(name=name, zone=zone)
        self.controllers.append(name)
        self.note(name=name, for_us=CATCH_UP_US)
        self.start(name=name)
        self.controls.append(self.address(name=name, door="control"))

    def remove_controller(self, *, name: str) -> None:
        """A machine of control is gone for good, without a word; one that left by plan has said it."""
        if name not in self.controllers:
            return
        if name in self.roles:
            self.power_off(name=name)
        self.past(name=name)
        self.controllers.remove(name)
        self.controls.remove(self.address(name=name, door="control"))

    def leave_for_good(self, *, name: str) -> asyncio.Task[Any]:
        """A planned end without a new start; done once the process has ended, or was ended."""
        self.note(name=name, for_us=GRACE_US, planned=True)
        return self.fabric.call(self._drained(name=name, dark=True))

    def freeze(self, *, name: str) -> None:
        self.note(name=name, for_us=None)
        self.loop.freeze(process=self.processes[name])

    def thaw(self, *, name: str) -> None:
        self.past(name=name)
        self.loop.thaw(process=self.processes[name])

    def stop(self, *, name: str, again_us: int = 1_500_000) -> None:
        """A planned stop and start: SIGTERM, an orderly end or SIGKILL, and a new start."""
        self.note(name=name, for_us=GRACE_US + again_us, planned=True)

        async def ends() -> None:
            if await self._drained(name=name, dark=False):
                await self._start_later(name=name, wait_us=again_us)

        self.fabric.call(ends())

    async def _drained(self, *, name: str, dark: bool) -> bool:
        """SIGTERM, then an orderly end or SIGKILL; False where the process ended otherwise meanwhile."""
        process, role = self.processes[name], self.roles[name]
        task = self.network.run_at(process=process, work=role.drain())
        await asyncio.wait([task], timeout=GRACE_US / 1_000_000)
        if self.processes[name] is not process or process.dead:
            return False
        self._end(name=name, dark=dark)
        return True

    def reset(self, *, name: str) -> None:
        self.note(name=name, for_us=0)
        self.fabric.reset(host=name)

    def cut(self, *, ones: list[str], others: list[str], both: bool = True) -> None:
        for name in [*ones, *others]:
            if name in self.processes:
                self.note(name=name, for_us=None)
        # why: far ahead, until the cut is healed
        self.referee.late.cut_us = 1 << 62
        for one in ones:
            for other in others:
                self.network.cuts.add((one, other))
                if both:
                    self.network.cuts.add((other, one))

    def cut_off_controller(self, *, name: str, both: bool = True) -> None:
        """Cuts one controller off from the others, which are a majority and settle without it."""
        others = [other for other in self.controllers if other != name]
        self.cut(ones=[name], others=others, both=both)
        for other in others:
            self.past(name=other)
        self.minority.add(name)

    def heal(self) -> None:
        # why: they are joined again, which unsettles all for a while
        self.minority.clear()
        for name in self.processes:
            self.past(name=name)
        self.network.cuts.clear()
        self.referee.late.cut_us = self.now_us

    # -- in touch --

    def note(self, *, name: str, for_us: int | None, planned: bool = False) -> None:
        until_us = None if for_us is None else self.now_us + for_us
        self.disruptions.append(Disruption(scope=name, from_us=self.now_us, until_us=until_us, planned=planned))

    def past(self, *, name: str) -> None:
        for each in self.disruptions:
            if each.scope == name and each.until_us is None:
                each.until_us = self.now_us

    def in_touch(self, *, name: str) -> bool:
        """Whether a machine of ours was untroubled for a while, and all controllers with it."""
        now_us = self.now_us
        return not any(
            each.touches(from_us=now_us - QUIET_US, until_us=now_us)
            for each in self.disruptions
            if each.scope == name or (each.scope in self.controllers and each.scope not in self.minority)
        )

    def _excused(self, *, requested_us: int) -> bool:
        """Whether anything unplanned befell anybody at about that time."""
        return any(
            not each.planned and each.touches(from_us=requested_us - QUIET_US, until_us=self.now_us)
            for each in self.disruptions
        )

    def answered(self, proxy: str, requested_us: int, what: str) -> None:
        """A client got its answer; it counts where a planned stop might have cost it."""
        planned = any(
            each.planned and each.touches(from_us=requested_us, until_us=self.now_us) for each in self.disruptions
        )
        if planned and not self._excused(requested_us=requested_us):
            self.referee.lost.answered(whole=True, what=what)

    def dropped(self, proxy: str, requested_us: int, what: str) -> None:
        """A connection closed while a client waited for an answer."""
        now_us = self.now_us
        excused = self._excused(requested_us=requested_us)
        ident = what.split(" ")[1].encode() if what.startswith("ASK") else b""
        if excused or (now_us - requested_us <= SLACK_US and ident not in self.referee.handed):
            return
        self.referee.lost.answered(whole=False, what=f"{proxy} closed on {what} of {requested_us} at {now_us}")

    # -- backends --

    def heartbeat(self, *, backend: StandInBackend) -> None:
        """Starts a backend and its heartbeats."""
        backend.start()
        sender = HeartbeatSender(
            backend=backend,
            streams=self.streams(name=backend.name),
            controls=self.controls,
            referee=self.referee,
            rng=self.rng_for(name=f"beat/{backend.name}/{backend.life}"),
        )
        old = self.senders.get(backend.name)
        sender.count = 0 if old is None else old.count + 100
        self.senders[backend.name] = sender
        self.fabric.call(sender.run())

    def primary(self, *, service: str = "ledger0") -> StandInBackend:
        """Whoever leads, or led last."""
        found = self.services[service].last
        assert found is not None
        return found

    def replicas(self, *, service: str = "ledger0") -> list[StandInBackend]:
        primary = self.services[service].last
        return [each for each in self.services[service].backends.values() if each is not primary and each.up]

    def crash(self, *, backend: StandInBackend, dark: bool = False, again_us: int | None = 3_000_000) -> None:
        self.note(name=backend.name, for_us=0)
        backend.crash(dark=dark)
        if again_us is not None:
            self.fabric.call(self._return_later(backend=backend, wait_us=again_us))

    async def _return_later(self, *, backend: StandInBackend, wait_us: int) -> None:
        await asyncio.sleep(wait_us / 1_000_000)
        backend.light()
        if not backend.up:
            self.heartbeat(backend=backend)

    def release(self, *, backend: StandInBackend, again_us: int = 800_000, deregister_first: bool = False) -> None:
        """A planned end, and a new backend at its address, which gets the log of a primary."""

        async def replaced() -> None:
            await self.senders[backend.name].leave(deregister_first=deregister_first)
            await asyncio.sleep(again_us / 1_000_000)
            service = backend.service
            del service.backends[backend.name]
            index = int(backend.name.partition("-b")[2].partition("r")[0])
            # why: where nobody took its place, whoever gets the log of a primary leads with it
            is_primary = backend.is_primary and backend.term == service.term
            self.heartbeat(backend=self._backend(service=service, index=index, is_primary=is_primary, old=backend))

        self.fabric.call(replaced())

    # -- configurations --

    def configuration(
        self, *, version: int, extra: tuple[str, ...] = (), without: tuple[str, ...] = (), give_up_ms: int = 900
    ) -> bytes:
        """As an operator writes it; `extra` databases lead to the first service."""
        routes: list[dict[str, Any]] = []
        services = list(self.services)
        names = {**self.databases, **dict.fromkeys(extra, services[0])}
        for number, (database, service) in enumerate(names.items()):
            if database in without:
                continue
            sort, age_ms = SORTS[number % len(SORTS)] if database in self.databases else SORTS[0]
            route = {
                "name": f"r{number}",
                "host_name": database,
                "path_start": "/",
                "sort": sort,
                "give_up_ms": give_up_ms,
                "goal_ms": 300,
                "rank": number % 3,
                "target": service,
                "tries": 2,
            }
            routes.append(route | ({"max_age_ms": age_ms} if age_ms else {}))
            self.referee.route.allow(database=database, service=service)
            self.referee.stale.sorts[database] = (sort, age_ms * 1_000)
        listed = [
            {
                "name": each.name,
                "health_path": "/health",
                "max_links": each.max_links,
                "protocol": "h1",
                "encrypted": False,
                "waits_for": each.waits_for,
            }
            for each in self.services.values()
        ]
        limits = {"head_bytes": 8192, "body_bytes": 65536, "idle_ms": 9000, "tx_rest_ms": 2500}
        return json.dumps({"revision": version, "routes": routes, "services": listed, "limits": limits}).encode()

    def put(self, *, body: bytes, valid: bool = True) -> asyncio.Task[int]:
        return self.fabric.call(self.operator.put(body=body, valid=valid))

    # -- running --

    def run(self, *, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    def advance(self, *, for_ms: int) -> None:
        self.run(work=asyncio.sleep(for_ms / 1_000))

    def await_that(self, *, test: Callable[[], bool], within_ms: int, what: str) -> None:
        until_us = self.now_us + within_ms * 1_000
        while not test():
            if self.now_us > until_us:
                raise AssertionError(f"seed {self.seed}: not within {within_ms} ms: {what}")
            self.advance(for_ms=50)

    async def _on_timer(self) -> None:
        while True:
            for service in self.services.values():
                service.on_timer()
            await asyncio.sleep(TIMER_PERIOD_S)

    def serves(self) -> bool:
        """Whether every proxy is ready and knows who leads everything."""
        proxies = [self.roles[name].proxy for name in self.proxies if name in self.roles]
        return len(proxies) == len(self.proxies) and all(
            proxy.ready and all(proxy.router.confirmed_primary(service=service).is_ok() for service in self.services)
            for proxy in proxies
        )

    def begin(self) -> None:
        """From nothing to a platform that serves."""
        for name in [*self.controllers, *self.proxies]:
            self.start(name=name)
        self.fabric.call(self._on_timer())
        self.platform.start()
        for backend in list(self.backends.values()):
            self.heartbeat(backend=backend)
        self.put(body=self.configuration(version=3))
        self.await_that(test=self.serves, within_ms=25_000, what="every proxy serves")
        self.first_run = False
        self.advance(for_ms=1_200)

    def clients_begin(
        self,
        *,
        count: int,
        think_us: int = 280_000,
        write_share: float = 0.4,
        transaction_share: float = 0.3,
        pauses_us: tuple[int, ...] = PAUSES_US,
    ) -> None:
        """Two thirds of them with long sessions."""
        names = sorted(self.databases)
        for number in range(count):
            name = f"client-{number}"
            self._place(name=name, zone=ZONES[number % len(ZONES)])
            # why: no two shares of clients and databases go in step, so every zone uses every database
            database = names[(number + number // len(names)) % len(names)]
            reads_only = database.endswith("-recent")
            client = PlatformClient(
                name=name,
                zone=self.zones[name],
                database=database,
                services=self.services,
                fabric=self.fabric,
                streams=self.streams(name=name),
                platform=self.platform,
                referee=self.referee,
                rng=self.rng_for(name=name),
                think_us=think_us,
                long=number // len(ZONES) % 3 != 2,
                write_share=0.0 if reads_only else write_share,
                transaction_share=transaction_share,
                pauses_us=pauses_us,
                answered=self.answered,
                dropped=self.dropped,
            )
            self.clients.append(client)
            self.fabric.call(client.run())
        self.prober.databases.extend([names[0], "nowhere"])
        self.fabric.call(self.prober.run())

    @property
    def served(self) -> int:
        return sum(client.served for client in self.clients)

    @property
    def owed(self) -> int:
        return sum(client.owed for client in self.clients)

    def end(self) -> None:
        """The clients come to an end, and the operator reads back."""
        for client in self.clients:
            client.stopped = True
        self.prober.stopped = True
        self.advance(for_ms=2_000)
        self.referee.config.read_back(body=self.run(work=self.operator.read_back(for_us=APPLY_US)))
        self.referee.end(services=list(self.services.values()))
        for ctx in self.contexts.values():
            if ctx.counters.counts["internal.crashes"]:
                self.errors.append(f"{ctx.name} crashed {ctx.counters.counts['internal.crashes']} times inside")

    def close(self) -> None:
        for process in self.processes.values():
            process.dead = True
        self.loop.ended = True
        self.loop.retained_tasks.clear()
        self.loop.close()
