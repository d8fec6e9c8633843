"""One step, from its first process to its last: idle, and by what happens to it."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

from expression import Ok

from ...consensus.register import Decide
from ...failover.service_primary import PrimaryState, ServicePrimary, read_service_primary, service_primary_key
from .naming import REPLICAS, backend_name, proxy_name, service_name, zone_of
from .part import Part
from .reading import Reading
from .sample import Sample, gathered
from .spread import spread_of
from .step import Step
from .system import System, Unsettled

SETTLE_S = 1.5
IDLE_S = 5.0
EVENTS = 3
LOST_S, HOLDER_S = 3.0, 7.0
HOLDER_MOST_PROXIES = 10
APART_S = 1.0
KNOWN_S = 12.0
WRITES_S = 2.0
MEMBERSHIP = 32
WRITES_MOST_PROXIES, WRITES_MOST_DATABASES = 10, 10
Say = Callable[[str], None]
Record = Callable[[dict[str, Any]], None]
ROLES = {"guildhall": "guildhall", "booths": "booth", "beats": "backend"}


def always(*, value: bytes) -> Decide:
    """A decision for one value, whatever stands there."""
    return lambda _: Ok(value)


class OverAllowance(Exception):
    """The step takes more of the machine than the tool may use."""


class Measurement:
    def __init__(self, *, step: Step, seed: int, cores: float, most_bytes: int, say: Say, record: Record) -> None:
        self.step = step
        self.system = System(step=step, seed=seed)
        self.cores = cores
        self.most_bytes = most_bytes
        self.say = say
        self.record = record
        self.idle: dict[str, Sample] = {}

    def _things(self, *, role: str) -> int:
        if role == "booths":
            return self.step.proxies
        return self.step.backends if role == "beats" else len(self.system.running(role="guildhall"))

    def _note(self, *, phase: str, events: int, before: dict[str, Reading], after: dict[str, Reading]) -> None:
        for role, called in ROLES.items():
            names = [part.name for part in self.system.running(role=role) if part.name in before]
            if not names:
                continue
            sample = gathered(
                step=self.step,
                phase=phase,
                role=called,
                things=self._things(role=role),
                events=events,
                before=[before[name] for name in names],
                after=[after[name] for name in names],
            )
            if phase == "idle":
                self.idle[called] = sample
            self.record(sample.value())

    def _tell(self, *, what: str, **values: Any) -> None:
        self.record({"kind": "time", **self.step.value(), "what": what, **values})

    async def run(self) -> None:
        system = self.system
        try:
            self._tell(what="founded", seconds=round(await system.found(), 3))
            await self._written(what="first configuration")
            took = await system.lead_all(within_s=40)
            self._tell(what="leads of all databases", seconds=round(took, 3))
            took = await system.open_proxies(within_s=40)
            self._tell(what="proxies opened", seconds=round(took, 3))
            await asyncio.sleep(SETTLE_S)
            await self._idle()
            await self._phase(name="configuration", act=self._configurations, events=EVENTS)
            await self._phase(name="primary", act=self._primaries, events=EVENTS)
            if self.step.proxies:
                restarted = max(1, min(10, self.step.proxies // 5))
                await self._phase(name="restart", act=lambda: self._restarts(count=restarted), events=restarted)
                await self._phase(name="replacement", act=self._replacement, events=1)
            # why: proxies are told of every key, so with many of them it is not the register replicas that would
            # be measured
            if self.step.proxies <= WRITES_MOST_PROXIES and self.step.databases <= WRITES_MOST_DATABASES:
                await self._phase(name="writes alone", act=lambda: self._writes(at_once=1), events=0)
                await self._phase(
                    name="writes in a membership", act=lambda: self._writes(at_once=MEMBERSHIP), events=0
                )
            if self.step.voting >= 3:
                await self._phase(name="controller lost", act=lambda: self._loss(holder=False), events=1)
            if self.step.voting >= 5 and self.step.proxies <= HOLDER_MOST_PROXIES:
                await self._phase(name="holder lost", act=lambda: self._loss(holder=True), events=1)
            await self._crashes()
        except Unsettled as error:
            self.say(f"{self.step}: {error}")
            self._tell(what="unsettled", why=str(error))
        finally:
            await system.end()

    async def _written(self, *, what: str) -> None:
        began_us, done_us = await self.system.configure()
        self._tell(what=what, seconds=(done_us - began_us) / 1_000_000)

    async def _idle(self) -> None:
        system = self.system
        before = await system.readings()
        await asyncio.sleep(IDLE_S)
        after = await system.readings()
        self._note(phase="idle", events=0, before=before, after=after)
        spent = {name: (after[name].cpu_us - before[name].cpu_us) / 1_000_000 / IDLE_S for name in after}
        memory = sum(reading.rss_bytes for reading in after.values())
        states = await system.states()
        heartbeats = await system.heartbeats.ask(do="status")
        quiet = max(state["quiet"] for state in states)
        self._tell(
            what="whole",
            cores=round(sum(spent.values()), 3),
            memory=memory,
            processes=len(after),
            heartbeats=heartbeats,
            quiet=quiet,
        )
        self.say(f"{self.step}: idle {sum(spent.values()):.2f} cores, {memory / 1e6:.0f} MB, quiet {quiet}")
        if sum(spent.values()) > self.cores or memory > self.most_bytes:
            raise OverAllowance(f"{sum(spent.values()):.2f} cores, {memory / 1e6:.0f} MB")

    async def _phase(self, *, name: str, act: Callable[[], Any], events: int) -> None:
        before = await self.system.readings()
        began = time.monotonic()
        await act()
        # why: what an event sets going ends some turns after it is known
        await asyncio.sleep(max(0.5, 1.5 - (time.monotonic() - began)))
        after = await self.system.readings()
        self._note(phase=name, events=events, before=before, after=after)

    async def _known(self, *, keys: list[str], began_us: list[int], what: str) -> None:
        """Waits until every proxy has marked every key, and tells how long after the acknowledgement it did."""
        if not self.step.proxies:
            return
        until = time.monotonic() + KNOWN_S
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
        self._tell(what=what, **spread_of(times=times, missing=missing).value())

    # -- what happens --

    async def _configurations(self) -> None:
        done: list[int] = []
        took: list[float] = []
        first = self.system.revision + 1
        for _ in range(EVENTS):
            began_us, done_us = await self.system.configure()
            done.append(done_us)
            took.append((done_us - began_us) / 1_000_000)
            await asyncio.sleep(APART_S)
        keys = [f"plan {first + n}" for n in range(EVENTS)]
        self._tell(what="configuration accepted", **spread_of(times=took).value())
        await self._known(keys=keys, began_us=done, what="configuration known")

    async def _primaries(self) -> None:
        done: list[int] = []
        keys: list[str] = []
        for number in range(EVENTS):
            database = number % self.step.databases
            term, done_us = await self._move(database=database)
            done.append(done_us)
            keys.append(f"lead {service_name(number=database)} {term}")
            await asyncio.sleep(APART_S)
        await self._known(keys=keys, began_us=done, what="primary known")

    async def _move(self, *, database: int) -> tuple[int, int]:
        """Writes another primary into the register, by the register's own client."""
        register = self.system.register
        key = service_primary_key(service=service_name(number=database))
        found = await register.read(key=key)
        if found.is_error() or not found.ok.value:
            raise Unsettled(f"{key}: not read")
        old = read_service_primary(data=found.ok.value)
        names = [backend_name(service=database, replica=replica) for replica in REPLICAS]
        primary = names[(names.index(old.primary) + 1) % len(names)]
        assignment = ServicePrimary(term=old.term + 1, primary=primary, state=PrimaryState.settled)
        await self.system.heartbeats.ask(do="lead", database=database, name=primary)
        written = await register.change(key=key, decide=always(value=assignment.bytes()))
        if written.is_error():
            raise Unsettled(f"{key}: {written.error.reason}")
        return assignment.term, self.system.ctx.now_us()

    async def _restarts(self, *, count: int) -> None:
        """Proxies end without a word and begin anew under their names."""
        names = [proxy_name(number=n * self.step.proxies // count) for n in range(count)]
        for name in names:
            host = self.system.places[name]
            await host.ask(do="close", names=[name])
            await host.ask(do="open", proxies=[[name, zone_of(number=int(name[-4:]))]])
            await asyncio.sleep(0.1)
        began: dict[str, int] = {}
        for host in self.system.hosts:
            began |= await host.ask(do="began", names=names)
        until = time.monotonic() + KNOWN_S
        # why: the first thing a proxy marks is the first configuration that it takes in
        key = f"plan {self.system.revision}"
        while time.monotonic() < until:
            marks = await self.system.marks(key=key)
            if all(marks.get(name) for name in names):
                break
            await asyncio.sleep(0.1)
        times = [(marks[name] - began[name]) / 1_000_000 for name in names if marks.get(name)]
        self._tell(what="restarted proxy", **spread_of(times=times, missing=count - len(times)).value())

    async def _replacement(self) -> None:
        """A proxy that nobody has seen begins, and all others learn its number."""
        name = "booth-new"
        for host in self.system.hosts:
            await host.ask(do="watch", name=name)
        began_us = self.system.ctx.now_us()
        await self.system.hosts[0].ask(do="open", proxies=[[name, zone_of(number=3)]])
        self.system.places[name] = self.system.hosts[0]
        await self._known(keys=[f"slot {name}"], began_us=[began_us], what="new proxy known")

    async def _writes(self, *, at_once: int) -> None:
        """As many changes as the register replicas bear, each of a key of its own."""
        until = time.monotonic() + WRITES_S
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
                done = await self.system.register.change(key=f"trial/{number}", decide=always(value=value))
                times.append(time.monotonic() - began)
                failed += done.is_error()

        began = time.monotonic()
        await asyncio.gather(*(writer(number) for number in range(at_once)))
        seconds = time.monotonic() - began
        after = await self.system.readings()
        syncs = [
            (after[part.name].syncs - before[part.name].syncs) / seconds
            for part in self.system.running(role="guildhall")
        ]
        self._tell(
            what=f"writes by {at_once}",
            rate=round((len(times) - failed) / seconds, 1),
            failed=failed,
            syncs=round(max(syncs), 1),
            **spread_of(times=times).value(),
        )

    async def _loss(self, *, holder: bool) -> None:
        """A controller ends without a word: the one that promotes backends, or another that many proxies ask."""
        system = self.system
        parts = system.running(role="guildhall")
        states = [await part.ask(do="status") for part in parts]
        holding = [part for part, state in zip(parts, states, strict=True) if state["holds"]]
        others = [part for part in parts if part not in holding]
        asked = [name for host in system.hosts for name in (await host.ask(do="look", on=True))["asked"].values()]
        fit = holding if holder and holding else others
        victim: Part = max(fit, key=lambda part: asked.count(part.options["records"]))
        concerned = asked.count(victim.options["records"])
        await victim.kill()
        # why: a duty is taken over when its lease has run out, and what the next holder does then is looked at too
        await asyncio.sleep(HOLDER_S if holder else LOST_S)
        oldest: list[float] = []
        lapsed = left = 0
        for host in system.hosts:
            answer = await host.ask(do="look", on=False)
            oldest += [age / 1_000_000 for age in answer["oldest_us"].values()]
            lapsed += sum(age >= answer["lease_us"] for age in answer["oldest_us"].values())
            left += sum(asked == victim.options["records"] for asked in answer["asked"].values())
        self._tell(
            what=f"oldest view after {'the holder' if holder else 'a controller'} is lost",
            concerned=concerned,
            lapsed=lapsed,
            still_there=left,
            **spread_of(times=oldest).value(),
        )

    async def _crashes(self) -> None:
        """What broke inside the children while they were measured."""
        for part in [*self.system.running(role="guildhall"), *self.system.running(role="booths")]:
            options = {"databases": self.step.databases} if part.role == "booths" else {}
            state = await part.ask(do="status", **options)
            if state["crashes"]:
                self.say(f"{self.step}: {part.name}: {state['crashes']} crashes: {part.last_words()}")
                self._tell(what="crashes", part=part.name, count=state["crashes"], words=part.last_words())
