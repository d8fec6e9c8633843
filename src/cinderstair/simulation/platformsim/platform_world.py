"""A simulated platform around the real proxies and controllers; the same seed gives the same run."""

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
from .oracle import APPLY_US, DRAIN_US, Oracle
from .platform_client import PlatformClient
from .platform_network import PlatformNetwork
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
SETTLE_US = 3_000_000
GRACE_US = 5_000_000
RESTART_DELAY_US = 600_000
CATCH_UP_US = 4_000_000
TIMER_PERIOD_S = 0.1
REPLY_SLACK_US = 200_000
PAUSES_US = (0, 0, 20_000, 60_000, 150_000)
PORTS = {"front": 9001, "ready": 9002, "control": 9003, "records": 9100, "backend": 9200, "platform": 9300}
ROUTE_SORTS = (("primary", 0), ("recent_enough", 1_200), ("self_hosted", 2_000))


class PlatformWorld:
    """Owns the loop, the network, all machines and stand-ins, and injects faults into machines by name.

    `disruptions` lists the faults injected so far, which excuse failures at that time; `errors` and `halted` hold
    unhandled exceptions and processes that ended by themselves, which fail the trial.
    """

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
        self.loop = self.make_loop()
        self.loop.set_exception_handler(self._on_error)
        self.network = PlatformNetwork(loop=self.loop, rng=self.rng_for(name="wires"))
        self.fabric = self.make_fabric()
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
        self.incarnations: dict[str, int] = {}
        self.first_run = True
        self.addresses: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.retired: dict[str, StandInBackend] = {}
        self.senders: dict[str, HeartbeatSender] = {}
        self.clients: list[PlatformClient] = []
        self.expected: set[str] = set()
        self.replaced = 0
        # controllers partitioned from a majority that is stable without them
        self.minority: set[str] = set()
        # how long after each loss all voters were running again
        self.voters_restored_us: list[int] = []
        self.oracle = Oracle(stable=lambda name: self.stable(name=name), drain_us=drain_us)
        self.oracle.proxies = len(self.proxies)
        for number, name in enumerate([*self.controllers, *self.proxies]):
            self._add_host(name=name, zone=ZONES[number % len(ZONES)])
        for name in ("platform", "operator", "prober"):
            self._add_host(name=name, zone=ZONES[0])
        self.services: dict[str, StandInService] = {}
        self.backends: dict[str, StandInBackend] = {}
        for number in range(services):
            service = StandInService(
                name=f"ledger{number}", waits_for=waits_for, max_links=max_links, promote_us=promote_us
            )
            service.on_promoted.append(lambda backend, lost: self.oracle.promoted(backend=backend, lost=lost))
            self.services[service.name] = service
            for index in range(backends):
                self._backend(service=service, index=index, is_primary=index == 0)
        self.handover = StandInHandover(services=self.services, oracle=self.oracle)
        self.controller_addresses = [self.address(name=name, port="control") for name in self.controllers]
        self.platform = StandInPlatform(
            fabric=self.fabric,
            streams=self.streams(name="platform"),
            address=self.address(name="platform", port="platform"),
            services=self.services,
            oracle=self.oracle,
            rng=self.rng_for(name="platform"),
            proxy_addresses={name: self.address(name=name, port="front") for name in self.proxies},
            ready={name: self.address(name=name, port="ready") for name in self.proxies},
            zones=self.zones,
        )
        self.operator = StandInOperator(
            fabric=self.fabric,
            streams=self.streams(name="operator"),
            controller_addresses=self.controller_addresses,
            oracle=self.oracle,
            rng=self.rng_for(name="operator"),
        )
        self.prober = RouteProber(
            fabric=self.fabric,
            streams=self.streams(name="prober"),
            platform=self.platform,
            oracle=self.oracle,
            rng=self.rng_for(name="prober"),
            incarnations=lambda name: self.incarnations[name],
            databases=[],
        )
        self.databases: dict[str, str] = {}
        for service_name in self.services:
            for sort, _ in ROUTE_SORTS:
                self.databases[f"{service_name}-{sort.partition('_')[0]}"] = service_name

    def make_loop(self) -> Any:
        """The event loop on which everything runs."""
        return VirtualLoop()

    def make_fabric(self) -> StreamFabric:
        """The network between all machines."""
        return StreamFabric(loop=self.loop, network=self.network, rng=self.rng_for(name="fabric"))

    def rng_for(self, *, name: str) -> random.Random:
        """A generator of its own for each use, so that one more draw in one place changes no other."""
        return random.Random(f"platform/{self.seed}/{name}")

    def _on_error(self, loop: Any, context: dict[str, Any]) -> None:
        error = context.get("exception")
        if error is not None:
            self.errors.append(f"{context.get('message')}: {error!r}")

    @property
    def now_us(self) -> int:
        return self.fabric.now_us

    # -- addresses --

    def ip_for(self, *, zone: str) -> str:
        """The address of the next machine."""
        return f"10.{ZONES.index(zone) + 1}.{len(self.zones) // 200}.{len(self.zones) % 200 + 10}"

    def _add_host(self, *, name: str, zone: str, ip: str = "") -> None:
        ip = ip or self.ip_for(zone=zone)
        self.addresses[name], self.zones[name] = ip, zone
        self.fabric.add_host(host=name, ip=ip, zone=zone, region=REGIONS[zone])

    def address(self, *, name: str, port: str) -> str:
        """A machine's address; `port` is a key of PORTS."""
        return f"{self.addresses[name]}:{PORTS[port]}"

    def streams(self, *, name: str, process: SimProcess | None = None) -> SimStreams:
        return SimStreams(fabric=self.fabric, host=name, process=process)

    def _backend(
        self,
        *,
        service: StandInService,
        index: int,
        is_primary: bool,
        old: StandInBackend | None = None,
        keeps_log: bool = False,
    ) -> StandInBackend:
        """A new backend; with `old` at that one's address. A replica starts empty unless it `keeps_log`."""
        self.replaced += old is not None
        name = f"{service.name}-b{index}" + (f"r{self.replaced}" if old is not None else "")
        zone = ZONES[index % len(ZONES)] if old is None else old.zone
        self._add_host(name=name, zone=zone, ip="" if old is None else self.addresses[old.name])
        backend = StandInBackend(
            name=name,
            service=service,
            address=self.address(name=name, port="backend"),
            zone=zone,
            fabric=self.fabric,
            oracle=self.oracle,
            rng=self.rng_for(name=name),
            is_primary=is_primary,
            # a primary's log is always kept for the backend that replaces it
            log=old.log if old is not None and (old.is_primary or keeps_log) else None,
        )
        if old is not None:
            backend.term = old.term
        service.backends[name] = self.backends[name] = backend
        if is_primary:
            service.last_primary = backend
        return backend

    # -- proxies and controllers --

    def _context(self, *, name: str, process: SimProcess) -> Context:
        incarnation = self.incarnations[name]
        # steady clocks differ between machines, and on one machine before and after a restart
        skew_us = self.rng_for(name=f"skew/{name}/{incarnation}").randrange(10**12)
        log = logging.getLogger(f"platform.{name}")
        log.setLevel(self.log_level)
        disk = self.disks.setdefault(name, SimDisk(rng=self.rng_for(name=f"disk/{name}")))
        return Context(
            name=name,
            site=self.zones[name],
            rng=self.rng_for(name=f"luck/{name}/{incarnation}"),
            clock=lambda: self.now_us + skew_us,
            wall=lambda: self.now_us,
            net=SimNet(network=self.network, process=process),
            disk=disk if name in self.controllers else NoDisk(),
            log=log,
            counters=Counters(),
        )

    def machine_settings(self, *, name: str) -> Any:
        """The current content of a machine's settings file."""
        from adapter.settings_file import MachineSettings

        proxy = name in self.proxies
        return MachineSettings(
            name=name,
            site=self.zones[name],
            ip=self.addresses[name],
            seeds=tuple(self.controller_addresses[:3]),
            regions=REGIONS,
            records_port=PORTS["records"],
            folder="" if proxy else "data",
            front=self.address(name=name, port="front") if proxy else "",
            ready=self.address(name=name, port="ready") if proxy else "",
            control="" if proxy else self.address(name=name, port="control"),
            provider=self.address(name="platform", port="platform"),
            first_run=self.first_run and not proxy,
            losses=1,
            heartbeat_interval_us=1_000_000,
            grace_us=GRACE_US,
            catch_up_us=CATCH_UP_US,
            drain_us=self.oracle.drain.drain_us,
        )

    def start(self, *, name: str) -> None:
        """Starts a new incarnation of a machine's process, with power restored."""
        from adapter.controller_role import ControllerRole
        from adapter.proxy_role import ProxyRole

        self.network.unreachable.discard(name)
        process = SimProcess(name=name)
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        ctx = self._context(name=name, process=process)
        self.processes[name], self.contexts[name] = process, ctx
        make = ProxyRole if name in self.proxies else ControllerRole
        machine = self.machine_settings(name=name)
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

    def _end(self, *, name: str, power_loss: bool) -> None:
        process = self.processes[name]
        self.loop.kill(process=process)
        self.network.close_all(process=process)
        self.fabric.end_host(host=name, silently=power_loss)
        self.roles.pop(name, None)

    def kill(self, *, name: str, restart_us: int = RESTART_DELAY_US) -> None:
        """The process is killed; the platform restarts it after `restart_us`."""
        self.begin_disruption(name=name, for_us=restart_us)
        self._end(name=name, power_loss=False)
        self.fabric.call(self._start_later(name=name, wait_us=restart_us))

    async def _start_later(self, *, name: str, wait_us: int) -> None:
        await asyncio.sleep(wait_us / 1_000_000)
        if self.processes[name].dead and (name in self.controllers or name in self.proxies):
            self.start(name=name)

    def power_off(self, *, name: str, wipe: bool = False) -> None:
        """The machine loses power, so that its peers get no reset; with `wipe` it loses its disk too."""
        self.begin_disruption(name=name, for_us=None)
        self.network.unreachable.add(name)
        self._end(name=name, power_loss=True)
        if wipe:
            self.disks[name].wipe()

    def power_on(self, *, name: str) -> None:
        """The machine's power returns, and its process starts."""
        self.end_disruption(name=name)
        # the machine may have been removed in the meantime
        if name in self.controllers or name in self.proxies:
            self.start(name=name)

    def add_controller(self, *, name: str, zone: str) -> None:
        """Adds a controller with an empty disk and a new address."""
        self._add_host(name=name, zone=zone)
        self.controllers.append(name)
        self.begin_disruption(name=name, for_us=CATCH_UP_US)
        self.start(name=name)
        self.controller_addresses.append(self.address(name=name, port="control"))

    def remove_controller(self, *, name: str) -> None:
        """Removes a controller for good; it loses power unless a planned end came first."""
        if name not in self.controllers:
            return
        if name in self.roles:
            self.power_off(name=name)
        self.end_disruption(name=name)
        self.controllers.remove(name)
        self.controller_addresses.remove(self.address(name=name, port="control"))

    def decommission(self, *, name: str) -> asyncio.Task[Any]:
        """A planned end without a restart; the task is done once the process has exited or was killed."""
        self.begin_disruption(name=name, for_us=GRACE_US, planned=True)
        return self.fabric.call(self._drained(name=name, power_loss=True))

    def freeze(self, *, name: str) -> None:
        """The process stands still, as on SIGSTOP, until `thaw`."""
        self.begin_disruption(name=name, for_us=None)
        self.loop.freeze(process=self.processes[name])

    def thaw(self, *, name: str) -> None:
        """A frozen process continues, as on SIGCONT."""
        self.end_disruption(name=name)
        self.loop.thaw(process=self.processes[name])

    def stop(self, *, name: str, restart_us: int = 1_500_000) -> None:
        """A planned restart: SIGTERM, drain, SIGKILL after the grace period, and a start after `restart_us`."""
        self.begin_disruption(name=name, for_us=GRACE_US + restart_us, planned=True)

        async def ends() -> None:
            if await self._drained(name=name, power_loss=False):
                await self._start_later(name=name, wait_us=restart_us)

        self.fabric.call(ends())

    async def _drained(self, *, name: str, power_loss: bool) -> bool:
        """SIGTERM, drain, SIGKILL after the grace period; False where the process ended otherwise in the meantime."""
        process, role = self.processes[name], self.roles[name]
        task = self.network.run_at(process=process, work=role.drain())
        await asyncio.wait([task], timeout=GRACE_US / 1_000_000)
        if self.processes[name] is not process or process.dead:
            return False
        self._end(name=name, power_loss=power_loss)
        return True

    def reset(self, *, name: str) -> None:
        """Resets all connections of a machine."""
        self.begin_disruption(name=name, for_us=0)
        self.fabric.reset(host=name)

    def partition(self, *, ones: list[str], others: list[str], both: bool = True) -> None:
        """Partitions `ones` from `others`, with `both` False only in the direction from `ones` to `others`."""
        for name in [*ones, *others]:
            if name in self.processes:
                self.begin_disruption(name=name, for_us=None)
        # far in the future until the partition heals
        self.oracle.late.partition_end_us = 1 << 62
        for one in ones:
            for other in others:
                self.network.cuts.add((one, other))
                if both:
                    self.network.cuts.add((other, one))

    def partition_controller(self, *, name: str, both: bool = True) -> None:
        """Partitions one controller from the others, which are a majority and continue without it."""
        others = [other for other in self.controllers if other != name]
        self.partition(ones=[name], others=others, both=both)
        for other in others:
            self.end_disruption(name=other)
        self.minority.add(name)

    def heal(self) -> None:
        """Ends all network partitions; the machines count as unstable for a while after it."""
        self.minority.clear()
        for name in self.processes:
            self.end_disruption(name=name)
        self.network.cuts.clear()
        self.oracle.late.partition_end_us = self.now_us

    # -- disruptions --

    def begin_disruption(self, *, name: str, for_us: int | None, planned: bool = False) -> None:
        """Records a fault of a machine; with `for_us` None it lasts until `end_disruption`."""
        until_us = None if for_us is None else self.now_us + for_us
        self.disruptions.append(Disruption(scope=name, from_us=self.now_us, until_us=until_us, planned=planned))

    def end_disruption(self, *, name: str) -> None:
        """Ends the machine's open disruptions."""
        for each in self.disruptions:
            if each.scope == name and each.until_us is None:
                each.until_us = self.now_us

    def stable(self, *, name: str) -> bool:
        """Whether neither the machine nor a controller of the majority was disrupted during the last SETTLE_US."""
        now_us = self.now_us
        return not any(
            each.touches(from_us=now_us - SETTLE_US, until_us=now_us)
            for each in self.disruptions
            if each.scope == name or (each.scope in self.controllers and each.scope not in self.minority)
        )

    def _unplanned_disruption(self, *, requested_us: int) -> bool:
        """Whether any machine was disrupted without a plan since shortly before the request."""
        return any(
            not each.planned and each.touches(from_us=requested_us - SETTLE_US, until_us=self.now_us)
            for each in self.disruptions
        )

    def answered(self, proxy: str, requested_us: int, description: str) -> None:
        """A client got its answer; counted where a planned stop could have dropped it."""
        planned = any(
            each.planned and each.touches(from_us=requested_us, until_us=self.now_us) for each in self.disruptions
        )
        if planned and not self._unplanned_disruption(requested_us=requested_us):
            self.oracle.lost.answered(complete=True, description=description)

    def dropped(self, proxy: str, requested_us: int, description: str) -> None:
        """A connection closed while a client waited for an answer."""
        now_us = self.now_us
        excused = self._unplanned_disruption(requested_us=requested_us)
        ident = description.split(" ")[1].encode() if description.startswith("ASK") else b""
        if excused or (now_us - requested_us <= REPLY_SLACK_US and ident not in self.oracle.reached_backend):
            return
        self.oracle.lost.answered(
            complete=False,
            description=f"{proxy} closed the connection during {description}, sent at {requested_us} us, "
            f"closed at {now_us} us",
        )

    # -- backends --

    def start_backend(self, *, backend: StandInBackend) -> None:
        """Starts a backend and its heartbeats."""
        backend.start()
        sender = HeartbeatSender(
            backend=backend,
            streams=self.streams(name=backend.name),
            controller_addresses=self.controller_addresses,
            oracle=self.oracle,
            rng=self.rng_for(name=f"beat/{backend.name}/{backend.incarnation}"),
        )
        old = self.senders.get(backend.name)
        sender.count = 0 if old is None else old.count + 100
        self.senders[backend.name] = sender
        self.fabric.call(sender.run())

    def primary(self, *, service: str = "ledger0") -> StandInBackend:
        """The service's primary, or its last one while it has none."""
        found = self.services[service].last_primary
        assert found is not None
        return found

    def replicas(self, *, service: str = "ledger0") -> list[StandInBackend]:
        """The service's running backends but the primary."""
        primary = self.services[service].last_primary
        return [each for each in self.services[service].backends.values() if each is not primary and each.up]

    def crash(self, *, backend: StandInBackend, power_loss: bool = False, restart_us: int | None = 3_000_000) -> None:
        self.begin_disruption(name=backend.name, for_us=0)
        backend.crash(power_loss=power_loss)
        if restart_us is not None:
            self.fabric.call(self._return_later(backend=backend, wait_us=restart_us))

    async def _return_later(self, *, backend: StandInBackend, wait_us: int) -> None:
        await asyncio.sleep(wait_us / 1_000_000)
        backend.restore_power()
        if self._is_down(backend=backend):
            self.start_backend(backend=backend)

    def _is_down(self, *, backend: StandInBackend) -> bool:
        """Whether a backend does not run, and no other one has replaced it."""
        return not backend.up and backend.service.backends.get(backend.name) is backend

    def crash_and_rename(self, *, backend: StandInBackend, restart_us: int, power_loss: bool = False) -> None:
        """A backend crashes or loses power, and a new one starts at its address with its log and its role."""
        self.begin_disruption(name=backend.name, for_us=0)
        backend.crash(power_loss=power_loss)

        async def renamed() -> None:
            await asyncio.sleep(restart_us / 1_000_000)
            if self._is_down(backend=backend):
                self._replace(backend=backend, keeps_log=True)

        self.fabric.call(renamed())

    def _replace(self, *, backend: StandInBackend, keeps_log: bool) -> None:
        """Starts a new backend at the address of one that has ended."""
        service = backend.service
        del service.backends[backend.name]
        index = int(backend.name.partition("-b")[2].partition("r")[0])
        # a primary that was not replaced in time is succeeded by the backend that takes over its log
        is_primary = backend.is_primary and backend.term == service.term
        replacement = self._backend(
            service=service, index=index, is_primary=is_primary, old=backend, keeps_log=keeps_log
        )
        self.start_backend(backend=replacement)

    def release(self, *, backend: StandInBackend, restart_us: int = 800_000, deregister_first: bool = False) -> None:
        """Drains and ends a backend, and starts a new one at its address, which takes over a primary's log."""

        async def replaced() -> None:
            await self.senders[backend.name].drain_and_exit(deregister_first=deregister_first)
            await asyncio.sleep(restart_us / 1_000_000)
            if self._is_down(backend=backend):
                self._replace(backend=backend, keeps_log=False)

        self.fabric.call(replaced())

    def add_replica(self, *, service: str = "ledger0") -> StandInBackend:
        """Starts one more replica, with an empty log and an address of its own."""
        found = self.services[service]
        replica = self._backend(service=found, index=len(found.backends), is_primary=False)
        self.start_backend(backend=replica)
        return replica

    # -- configurations --

    def configuration(
        self, *, version: int, extra: tuple[str, ...] = (), without: tuple[str, ...] = (), give_up_ms: int = 900
    ) -> bytes:
        """A configuration as an operator sends it; `extra` databases are routed to the first service."""
        routes: list[dict[str, Any]] = []
        services = list(self.services)
        names = {**self.databases, **dict.fromkeys(extra, services[0])}
        for number, (database, service) in enumerate(names.items()):
            if database in without:
                continue
            sort, age_ms = ROUTE_SORTS[number % len(ROUTE_SORTS)] if database in self.databases else ROUTE_SORTS[0]
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
            self.oracle.route.allow(database=database, service=service)
            self.oracle.stale.sorts[database] = (sort, age_ms * 1_000)
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
        """Starts sending a configuration; the task's result is the final status, 0 if all attempts failed."""
        return self.fabric.call(self.operator.put(body=body, valid=valid))

    # -- running --

    def run(self, *, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs the simulation until the coroutine is done, and returns its result."""
        return self.loop.run_until_complete(work)

    def advance(self, *, for_ms: int) -> None:
        """Runs the simulation for this virtual time."""
        self.run(work=asyncio.sleep(for_ms / 1_000))

    def await_that(self, *, test: Callable[[], bool], within_ms: int, description: str, step_ms: int = 50) -> None:
        """Advances the time in steps until `test` holds; AssertionError with `description` on a timeout."""
        until_us = self.now_us + within_ms * 1_000
        while not test():
            if self.now_us > until_us:
                raise AssertionError(f"seed {self.seed}: timed out after {within_ms} ms, waiting until {description}")
            self.advance(for_ms=step_ms)

    async def _on_timer(self) -> None:
        while True:
            for service in self.services.values():
                service.on_timer()
            if self.clients and not self.clients[0].stopped:
                self.oracle.primary.observe(world=self)
            await asyncio.sleep(TIMER_PERIOD_S)

    def serves(self) -> bool:
        """Whether every proxy is ready and knows the primary of every service."""
        proxies = [self.roles[name].proxy for name in self.proxies if name in self.roles]
        return len(proxies) == len(self.proxies) and all(
            proxy.ready and all(proxy.router.confirmed_primary(service=service).is_ok() for service in self.services)
            for proxy in proxies
        )

    def begin(self) -> None:
        """Starts all machines and backends, and waits until every proxy serves."""
        for name in [*self.controllers, *self.proxies]:
            self.start(name=name)
        self.fabric.call(self._on_timer())
        self.platform.start()
        for backend in list(self.backends.values()):
            self.start_backend(backend=backend)
        self.put(body=self.configuration(version=3))
        self.await_that(test=self.serves, within_ms=25_000, description="every proxy serves")
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
        """Starts clients, two thirds of them with long sessions, and the prober."""
        names = sorted(self.databases)
        for number in range(count):
            name = f"client-{number}"
            self._add_host(name=name, zone=ZONES[number % len(ZONES)])
            # offset by one in each round over the databases, so that every zone uses every database
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
                oracle=self.oracle,
                rng=self.rng_for(name=name),
                think_us=think_us,
                long_sessions=number // len(ZONES) % 3 != 2,
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
    def attempted(self) -> int:
        return sum(client.attempted for client in self.clients)

    def end(self) -> None:
        """Stops the clients, reads the configuration back, and runs the checks at the end of a trial."""
        for client in self.clients:
            client.stopped = True
        self.prober.stopped = True
        self.advance(for_ms=2_000)
        self.oracle.config.read_back(body=self.run(work=self.operator.read_back(for_us=APPLY_US)))
        self.oracle.end(services=list(self.services.values()))
        for ctx in self.contexts.values():
            if ctx.counters.counts["internal.crashes"]:
                self.errors.append(f"{ctx.name} had {ctx.counters.counts['internal.crashes']} internal crashes")

    def close(self) -> None:
        """Drops all processes and closes the loop."""
        for process in self.processes.values():
            process.dead = True
        self.loop.ended = True
        self.loop.retained_tasks.clear()
        self.loop.close()
