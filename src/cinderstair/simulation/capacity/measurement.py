"""Runs one load step: starts its processes, then samples the idle phase and a phase for each kind of event."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from expression import Ok

from ...consensus.register import Decide
from ...failover.service_primary import PrimaryState, ServicePrimary, read_service_primary, service_primary_key
from .child_process import ChildProcess
from .naming import REPLICAS, backend_name, proxy_name, service_name, zone_of
from .percentiles import percentiles_of
from .reading import Reading
from .sample import Sample, aggregate
from .step import Step
from .system import NotSettled, System

# Pause between the start of the proxies and the idle phase.
SETTLE_S = 1.5
IDLE_S = 5.0
EVENTS_PER_PHASE = 3
# Observation time after a controller was killed, without and with the promotion lease.
CONTROLLER_LOST_S, HOLDER_LOST_S = 3.0, 7.0
HOLDER_MAX_PROXIES = 10
EVENT_INTERVAL_S = 1.0
PROPAGATION_TIMEOUT_S = 12.0
WRITE_PHASE_S = 2.0
CONCURRENT_WRITERS = 32
WRITES_MAX_PROXIES, WRITES_MAX_DATABASES = 10, 10
ProgressLog = Callable[[str], None]
Record = Callable[[dict[str, Any]], None]
# Role of the child processes -> role in the results.
ROLE_LABELS = {"guildhall": "guildhall", "booths": "booth", "beats": "backend"}


def overwrite_with(*, value: bytes) -> Decide:
    """Returns a decision that replaces any current value of a key with this one."""
    return lambda _: Ok(value)


class OverBudget(Exception):
    """The idle step exceeds the CPU or memory budget of the run."""


class Measurement:
    """Measures one step. `cores` and `max_bytes` limit what all its processes may use when idle.

    Results go to `record` as JSON objects. A step that doesn't settle is recorded as "unsettled"; an idle step over
    its limits raises OverBudget, and a child process that fails raises RuntimeError.
    """

    def __init__(
        self, *, step: Step, seed: int, cores: float, max_bytes: int, log_progress: ProgressLog, record: Record
    ) -> None:
        self.step = step
        self.system = System(step=step, seed=seed)
        self.cores = cores
        self.max_bytes = max_bytes
        self.log_progress = log_progress
        self.record = record
        self.idle: dict[str, Sample] = {}

    def _instances(self, *, role: str) -> int:
        if role == "booths":
            return self.step.proxies
        return self.step.backends if role == "beats" else len(self.system.running(role="guildhall"))

    def _record_samples(
        self, *, phase: str, events: int, before: dict[str, Reading], after: dict[str, Reading]
    ) -> None:
        """Records one sample per role, of the processes that ran through the whole phase."""
        for role, label in ROLE_LABELS.items():
            names = [process.name for process in self.system.running(role=role) if process.name in before]
            if not names:
                continue
            sample = aggregate(
                step=self.step,
                phase=phase,
                role=label,
                instances=self._instances(role=role),
                events=events,
                before=[before[name] for name in names],
                after=[after[name] for name in names],
            )
            if phase == "idle":
                self.idle[label] = sample
            self.record(sample.value())

    def _record_time(self, *, what: str, **values: Any) -> None:
        self.record({"kind": "time", **self.step.value(), "what": what, **values})

    async def run(self) -> None:
        """Runs all phases that suit the step's size, then stops its processes."""
        system = self.system
        try:
            self._record_time(what="founded", seconds=round(await system.start_controllers(), 3))
            await self._timed_configuration(what="first configuration")
            took = await system.start_backends(within_s=40)
            self._record_time(what="leads of all databases", seconds=round(took, 3))
            took = await system.open_proxies(within_s=40)
            self._record_time(what="proxies opened", seconds=round(took, 3))
            await asyncio.sleep(SETTLE_S)
            await self._idle()
            await self._phase(name="configuration", act=self._change_configurations, events=EVENTS_PER_PHASE)
            await self._phase(name="primary", act=self._change_primaries, events=EVENTS_PER_PHASE)
            if self.step.proxies:
                restarted = max(1, min(10, self.step.proxies // 5))
                await self._phase(
                    name="restart", act=lambda: self._restart_proxies(count=restarted), events=restarted
                )
                await self._phase(name="replacement", act=self._add_new_proxy, events=1)
            # Every write is relayed to every proxy: with many proxies this would measure the relay, not the register.
            if self.step.proxies <= WRITES_MAX_PROXIES and self.step.databases <= WRITES_MAX_DATABASES:
                await self._phase(name="writes alone", act=lambda: self._register_writes(at_once=1), events=0)
                await self._phase(
                    name="writes in a membership",
                    act=lambda: self._register_writes(at_once=CONCURRENT_WRITERS),
                    events=0,
                )
            if self.step.voting >= 3:
                await self._phase(name="controller lost", act=lambda: self._kill_controller(holder=False), events=1)
            if self.step.voting >= 5 and self.step.proxies <= HOLDER_MAX_PROXIES:
                await self._phase(name="holder lost", act=lambda: self._kill_controller(holder=True), events=1)
            await self._report_crashes()
        except NotSettled as error:
            self.log_progress(f"{self.step}: {error}")
            self._record_time(what="unsettled", why=str(error))
        finally:
            await system.stop()

    async def _timed_configuration(self, *, what: str) -> None:
        began_us, done_us = await self.system.configure()
        self._record_time(what=what, seconds=(done_us - began_us) / 1_000_000)

    async def _idle(self) -> None:
        """Samples the step without events; raises OverBudget where it exceeds the limits of the run."""
        system = self.system
        before = await system.readings()
        await asyncio.sleep(IDLE_S)
        after = await system.readings()
        self._record_samples(phase="idle", events=0, before=before, after=after)
        cores_used = {name: (after[name].cpu_us - before[name].cpu_us) / 1_000_000 / IDLE_S for name in after}
        memory = sum(reading.rss_bytes for reading in after.values())
        states = await system.states()
        heartbeats = await system.heartbeats.ask(do="status")
        quiet = max(state["quiet"] for state in states)
        self._record_time(
            what="whole",
            cores=round(sum(cores_used.values()), 3),
            memory=memory,
            processes=len(after),
            heartbeats=heartbeats,
            quiet=quiet,
        )
        self.log_progress(
            f"{self.step}: idle {sum(cores_used.values()):.2f} cores, {memory / 1e6:.0f} MB, quiet {quiet}"
        )
        if sum(cores_used.values()) > self.cores or memory > self.max_bytes:
            raise OverBudget(f"{sum(cores_used.values()):.2f} cores, {memory / 1e6:.0f} MB")

    async def _phase(self, *, name: str, act: Callable[[], Any], events: int) -> None:
        """Samples all processes around an action that causes this number of events."""
        before = await self.system.readings()
        began = time.monotonic()
        await act()
        # Work that an event triggers continues after the event itself is known.
        await asyncio.sleep(max(0.5, 1.5 - (time.monotonic() - began)))
        after = await self.system.readings()
        self._record_samples(phase=name, events=events, before=before, after=after)

    async def _wait_until_marked(self, *, keys: list[str], began_us: list[int], what: str) -> None:
        """Waits until every proxy has seen every key; records the delays since the acknowledgements, in seconds."""
        if not self.step.proxies:
            return
        until = time.monotonic() + PROPAGATION_TIMEOUT_S
        while True:
            found = [await self.system.marks(key=key) for key in keys]
            missing = sum(not at for marks in found for at in marks.values())
            if not missing or time.monotonic() > until:
                break
            await asyncio.sleep(0.2)
        times = [
            (at - began) / 1_000_000
            for marks, began in zip(found, began_us, strict=True)
            for at in marks.values()
            if at
        ]
        self._record_time(what=what, **percentiles_of(times=times, missing=missing).value())

    # -- events --

    async def _change_configurations(self) -> None:
        """Submits configurations; records how long each takes to be accepted and to reach every proxy."""
        done: list[int] = []
        took: list[float] = []
        first = self.system.revision + 1
        for _ in range(EVENTS_PER_PHASE):
            began_us, done_us = await self.system.configure()
            done.append(done_us)
            took.append((done_us - began_us) / 1_000_000)
            await asyncio.sleep(EVENT_INTERVAL_S)
        keys = [f"plan {first + n}" for n in range(EVENTS_PER_PHASE)]
        self._record_time(what="configuration accepted", **percentiles_of(times=took).value())
        await self._wait_until_marked(keys=keys, began_us=done, what="configuration known")

    async def _change_primaries(self) -> None:
        """Changes primary assignments; records how long each takes to reach every proxy."""
        done: list[int] = []
        keys: list[str] = []
        for number in range(EVENTS_PER_PHASE):
            database = number % self.step.databases
            term, done_us = await self._write_primary(database=database)
            done.append(done_us)
            keys.append(f"lead {service_name(number=database)} {term}")
            await asyncio.sleep(EVENT_INTERVAL_S)
        await self._wait_until_marked(keys=keys, began_us=done, what="primary known")

    async def _write_primary(self, *, database: int) -> tuple[int, int]:
        """Assigns the next replica as primary, directly in the register; returns the term and when it was written."""
        register = self.system.register
        key = service_primary_key(service=service_name(number=database))
        found = await register.read(key=key)
        if found.is_error() or not found.ok.value:
            raise NotSettled(f"register key {key!r} could not be read or is empty")
        old = read_service_primary(data=found.ok.value)
        names = [backend_name(service=database, replica=replica) for replica in REPLICAS]
        primary = names[(names.index(old.primary) + 1) % len(names)]
        assignment = ServicePrimary(term=old.term + 1, primary=primary, state=PrimaryState.settled)
        await self.system.heartbeats.ask(do="lead", database=database, name=primary)
        written = await register.change(key=key, decide=overwrite_with(value=assignment.bytes()))
        if written.is_error():
            raise NotSettled(f"register key {key!r} was not written: {written.error.reason}")
        return assignment.term, self.system.ctx.now_us()

    async def _restart_proxies(self, *, count: int) -> None:
        """Closes proxies without notice and reopens them; records the time until they have a configuration."""
        names = [proxy_name(number=n * self.step.proxies // count) for n in range(count)]
        for name in names:
            host = self.system.host_of_proxy[name]
            await host.ask(do="close", names=[name])
            await host.ask(do="open", proxies=[[name, zone_of(number=int(name[-4:]))]])
            await asyncio.sleep(0.1)
        began: dict[str, int] = {}
        for host in self.system.hosts:
            began |= await host.ask(do="began", names=names)
        until = time.monotonic() + PROPAGATION_TIMEOUT_S
        # A restarted proxy marks a configuration as soon as it has applied its first one.
        key = f"plan {self.system.revision}"
        while time.monotonic() < until:
            marks = await self.system.marks(key=key)
            if all(marks.get(name) for name in names):
                break
            await asyncio.sleep(0.1)
        times = [(marks[name] - began[name]) / 1_000_000 for name in names if marks.get(name)]
        self._record_time(what="restarted proxy", **percentiles_of(times=times, missing=count - len(times)).value())

    async def _add_new_proxy(self) -> None:
        """Opens a proxy with a new name; records how long the others take to learn its proxy id."""
        name = "booth-new"
        for host in self.system.hosts:
            await host.ask(do="watch", name=name)
        began_us = self.system.ctx.now_us()
        await self.system.hosts[0].ask(do="open", proxies=[[name, zone_of(number=3)]])
        self.system.host_of_proxy[name] = self.system.hosts[0]
        await self._wait_until_marked(keys=[f"slot {name}"], began_us=[began_us], what="new proxy known")

    async def _register_writes(self, *, at_once: int) -> None:
        """Measures register throughput (writes/s) and latency with `at_once` writers, each with a key of its own."""
        until = time.monotonic() + WRITE_PHASE_S
        times: list[float] = []
        failed = 0
        before = await self.system.readings()

        async def writer(number: int) -> None:
            nonlocal failed
            turn = 0
            while time.monotonic() < until:
                turn += 1
                value = turn.to_bytes(64, "big")
                began = time.monotonic()
                done = await self.system.register.change(key=f"trial/{number}", decide=overwrite_with(value=value))
                times.append(time.monotonic() - began)
                failed += done.is_error()

        began = time.monotonic()
        await asyncio.gather(*(writer(number) for number in range(at_once)))
        seconds = time.monotonic() - began
        after = await self.system.readings()
        syncs = [
            (after[process.name].syncs - before[process.name].syncs) / seconds
            for process in self.system.running(role="guildhall")
        ]
        self._record_time(
            what=f"writes by {at_once}",
            rate=round((len(times) - failed) / seconds, 1),
            failed=failed,
            syncs=round(max(syncs), 1),
            **percentiles_of(times=times).value(),
        )

    async def _kill_controller(self, *, holder: bool) -> None:
        """Kills a controller and records the highest age of the proxies' views, in seconds.

        With `holder` it is the holder of the promotion lease, otherwise the other controller that most proxies poll.
        """
        system = self.system
        controllers = system.running(role="guildhall")
        states = [await process.ask(do="status") for process in controllers]
        holding = [process for process, state in zip(controllers, states, strict=True) if state["holds"]]
        others = [process for process in controllers if process not in holding]
        controllers_asked = [
            name for host in system.hosts for name in (await host.ask(do="look", on=True))["asked"].values()
        ]
        candidates = holding if holder and holding else others
        target: ChildProcess = max(
            candidates, key=lambda process: controllers_asked.count(process.options["records"])
        )
        concerned = controllers_asked.count(target.options["records"])
        await target.kill()
        # The promotion lease must expire first; the work of the next holder is observed too.
        await asyncio.sleep(HOLDER_LOST_S if holder else CONTROLLER_LOST_S)
        oldest: list[float] = []
        lapsed = still_polling = 0
        for host in system.hosts:
            answer = await host.ask(do="look", on=False)
            oldest += [age / 1_000_000 for age in answer["oldest_us"].values()]
            lapsed += sum(age >= answer["lease_us"] for age in answer["oldest_us"].values())
            still_polling += sum(controller == target.options["records"] for controller in answer["asked"].values())
        self._record_time(
            what=f"oldest view after {'the holder' if holder else 'a controller'} is lost",
            concerned=concerned,
            lapsed=lapsed,
            still_there=still_polling,
            **percentiles_of(times=oldest).value(),
        )

    async def _report_crashes(self) -> None:
        """Records exceptions that the child processes caught and counted during the measurement."""
        for process in [*self.system.running(role="guildhall"), *self.system.running(role="booths")]:
            options = {"databases": self.step.databases} if process.role == "booths" else {}
            state = await process.ask(do="status", **options)
            if state["crashes"]:
                self.log_progress(f"{self.step}: {process.name}: {state['crashes']} crashes: {process.log_tail()}")
                self._record_time(what="crashes", part=process.name, count=state["crashes"], words=process.log_tail())
