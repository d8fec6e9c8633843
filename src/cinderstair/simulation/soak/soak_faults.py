"""Random faults and planned work for a world of real processes, singly, in series and overlapping."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from ..platformsim.platform_world import CATCH_UP_US
from ..platformsim.stand_in_backend import StandInBackend
from .soak_world import SoakWorld

STEP_MS = 20
# Bounds of the pause between two draws, in milliseconds.
MIN_PAUSE_MS, MAX_PAUSE_MS = 50, 2_500
# The share of draws that are repeated on other targets, how often at most, and the longest pause between them.
SERIES_SHARE = 0.35
MAX_SERIES = 4
MAX_SERIES_PAUSE_MS = 900
# The share of its answers that a backend loses.
ANSWERS_LOST_SHARE = 0.05
# The share of crashes in which a backend's machine loses power, so that its peers get no reset.
POWER_LOSS_SHARE = 0.3
# How long a primary can't be reached by the controllers after a replica of its service has left, in milliseconds.
PRIMARY_PARTITION_MS = 5_000


@dataclass(frozen=True, kw_only=True)
class InjectedFault:
    """One fault, when it was injected, in microseconds since the start of the faults, and what it struck."""

    at_us: int
    kind: str
    target: str


class SoakFaults:
    """Draws and injects faults within what the platform's pages allow.

    One controller at a time is lost, and counts as lost for CATCH_UP_US after its return; all may be killed at once.
    Every backend returns with its log, or hands it on by plan.
    """

    def __init__(self, *, world: SoakWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.began_us = world.now_us
        self.injected: list[InjectedFault] = []
        self.scheduled: list[tuple[int, Callable[[], None]]] = []
        self.next_loss_us = 0
        self.version = 10
        self.partitions = 0

    # -- scheduling --

    def _at(self, *, in_ms: int, call: Callable[[], None]) -> None:
        self.scheduled.append((self.world.now_us + in_ms * 1_000, call))

    def _run_due(self) -> None:
        now_us = self.world.now_us
        due = [call for at_us, call in self.scheduled if at_us <= now_us]
        self.scheduled = [entry for entry in self.scheduled if entry[0] > now_us]
        for call in due:
            call()

    def _record(self, *, kind: str, target: str) -> None:
        self.injected.append(InjectedFault(at_us=self.world.now_us - self.began_us, kind=kind, target=target))

    def play(self, *, for_ms: int) -> None:
        """Injects faults for this time, and waits for the end of those that last."""
        self.began_us = self.world.now_us
        until_us = self.began_us + for_ms * 1_000
        next_us = self.began_us
        while self.world.now_us < until_us or self.scheduled:
            self._run_due()
            if next_us <= self.world.now_us < until_us:
                self._draw()
                next_us = self.world.now_us + self.rng.randrange(MIN_PAUSE_MS, MAX_PAUSE_MS) * 1_000
            self.world.advance(for_ms=STEP_MS)

    def _draw(self) -> None:
        fault = self.rng.choice(self.faults)
        fault()
        if self.rng.random() >= SERIES_SHARE:
            return
        in_ms = 0
        for _ in range(self.rng.randrange(1, MAX_SERIES)):
            in_ms += self.rng.randrange(MAX_SERIES_PAUSE_MS)
            self._at(in_ms=in_ms, call=fault)

    @property
    def faults(self) -> tuple[Callable[[], None], ...]:
        """Every fault, as often as it is to be drawn."""
        return (
            self.kill_controller,
            self.kill_controller,
            self.stop_controller,
            self.freeze_controller,
            self.kill_all_controllers,
            self.kill_proxy,
            self.stop_proxy,
            self.freeze_proxy,
            self.reload,
            self.crash_primary,
            self.crash_primary,
            self.crash_replica,
            self.crash_replica,
            self.rename_replica,
            self.rename_primary,
            self.release,
            self.release,
            self.kill_controllers_after_departure,
            self.partition_leaving_replica,
            self.interrupt_replication,
            self.interrupt_replication,
            self.delay_heartbeats,
            self.partition_primary,
            self.partition_replica,
            self.lose_answers,
            self.slow_backend,
            self.reset_connections,
            self.configure,
            self.disturb_platform,
        )

    # -- processes --

    def _running(self, *, names: list[str]) -> list[str]:
        children = self.world.children
        return [name for name in names if children.running(name=name) and name not in children.frozen]

    def _lose_controller(self, *, for_ms: int) -> str | None:
        """A controller that may be lost for this time; None where another one still counts as lost."""
        running = self._running(names=self.world.controllers)
        if self.world.now_us < self.next_loss_us or not running:
            return None
        self.next_loss_us = self.world.now_us + for_ms * 1_000 + CATCH_UP_US
        return self.rng.choice(running)

    def kill_controller(self) -> None:
        """A controller gets SIGKILL, and is started again."""
        down_ms = self.rng.randrange(100, 2_500)
        name = self._lose_controller(for_ms=down_ms)
        if name is not None:
            self._record(kind="kill controller", target=name)
            self.world.kill(name=name, restart_us=down_ms * 1_000)

    def stop_controller(self) -> None:
        """A controller gets SIGTERM, and is started again after its end."""
        name = self._lose_controller(for_ms=7_000)
        if name is not None:
            self._record(kind="stop controller", target=name)
            self.world.stop(name=name)

    def freeze_controller(self) -> None:
        """A controller gets SIGSTOP, and later SIGCONT."""
        for_ms = self.rng.randrange(200, 4_500)
        name = self._lose_controller(for_ms=for_ms)
        if name is not None:
            self._freeze(name=name, for_ms=for_ms, kind="freeze controller")

    def kill_all_controllers(self) -> None:
        """All controllers get SIGKILL at once, and are back within a second."""
        down_ms = self.rng.randrange(200, 900)
        if self._lose_controller(for_ms=down_ms) is None:
            return
        self._record(kind="kill all controllers", target="")
        for name in self.world.controllers:
            self.world.kill(name=name, restart_us=down_ms * 1_000)

    def _freeze(self, *, name: str, for_ms: int, kind: str) -> None:
        self._record(kind=kind, target=name)
        self.world.freeze(name=name)
        self._at(in_ms=for_ms, call=lambda: self.world.thaw(name=name))

    def _proxy(self) -> str | None:
        running = self._running(names=self.world.proxies)
        return self.rng.choice(running) if len(running) > 1 else None

    def kill_proxy(self) -> None:
        """A proxy gets SIGKILL, and is started again."""
        name = self._proxy()
        if name is not None:
            self._record(kind="kill proxy", target=name)
            self.world.kill(name=name, restart_us=self.rng.randrange(100_000, 2_000_000))

    def stop_proxy(self) -> None:
        """A proxy gets SIGTERM; its clients use their open connections until it has ended."""
        name = self._proxy()
        if name is not None:
            self._record(kind="stop proxy", target=name)
            self.world.stop(name=name)

    def freeze_proxy(self) -> None:
        """A proxy gets SIGSTOP, and later SIGCONT."""
        name = self._proxy()
        if name is not None:
            self._freeze(name=name, for_ms=self.rng.randrange(100, 3_500), kind="freeze proxy")

    def reload(self) -> None:
        """A process gets a changed settings file and SIGHUP."""
        running = self._running(names=[*self.world.controllers, *self.world.proxies])
        if running:
            name = self.rng.choice(running)
            self._record(kind="reload", target=name)
            self.world.reload(name=name)

    # -- backends --

    def _backends(self, *, primary: bool | None = None) -> list[StandInBackend]:
        """The backends that run and do not leave; with `primary` only those in that role."""
        return [
            each
            for each in self.world.backends.values()
            if each.up and not each.draining and (primary is None or each.is_primary == primary)
        ]

    def _backend(self, *, primary: bool | None = None) -> StandInBackend | None:
        found = self._backends(primary=primary)
        return self.rng.choice(found) if found else None

    def _crash(self, *, backend: StandInBackend | None, kind: str) -> None:
        if backend is None:
            return
        self._record(kind=kind, target=backend.name)
        power_loss = self.rng.random() < POWER_LOSS_SHARE
        self.world.crash(backend=backend, power_loss=power_loss, restart_us=self.rng.randrange(300_000, 5_000_000))

    def crash_primary(self) -> None:
        """A primary crashes or loses power, and returns with its log."""
        self._crash(backend=self._backend(primary=True), kind="crash primary")

    def crash_replica(self) -> None:
        """A replica crashes or loses power, and returns with its log."""
        self._crash(backend=self._backend(primary=False), kind="crash replica")

    def _rename(self, *, backend: StandInBackend | None, kind: str) -> None:
        if backend is not None:
            self._record(kind=kind, target=backend.name)
            power_loss = self.rng.random() < POWER_LOSS_SHARE
            restart_us = self.rng.randrange(50_000, 3_000_000)
            self.world.crash_and_rename(backend=backend, restart_us=restart_us, power_loss=power_loss)

    def rename_replica(self) -> None:
        """A replica crashes or loses power, and returns with its log under a new name."""
        self._rename(backend=self._backend(primary=False), kind="rename replica")

    def rename_primary(self) -> None:
        """A primary crashes or loses power, and returns with its log under a new name."""
        self._rename(backend=self._backend(primary=True), kind="rename primary")

    def _complete(self) -> list[StandInBackend]:
        """The backends of services whose backends all run, and of which none leaves."""
        return [
            each
            for each in self._backends()
            if all(other.up and not other.draining for other in each.service.backends.values())
        ]

    def release(self) -> None:
        """A backend leaves as planned and is replaced, one of a service at a time."""
        complete = self._complete()
        if complete:
            backend = self.rng.choice(complete)
            self._record(kind="release", target=backend.name)
            self.world.release(backend=backend, deregister_first=self.rng.random() < 0.5)

    def _deregister_replica(self, *, kind: str) -> StandInBackend | None:
        """A replica deregisters first and serves on; None where no service is complete."""
        replicas = [each for each in self._complete() if not each.is_primary]
        if not replicas:
            return None
        backend = self.rng.choice(replicas)
        self._record(kind=kind, target=backend.name)
        self.world.release(backend=backend, deregister_first=True)
        return backend

    def kill_controllers_after_departure(self) -> None:
        """All controllers are killed after a replica has left; then they can't reach the primary."""
        leaving = self._deregister_replica(kind="departure before a kill of all controllers")
        if leaving is None:
            return
        self._at(in_ms=500, call=self.kill_all_controllers)
        self._at(
            in_ms=self.rng.randrange(2_000, 5_000),
            call=lambda: self._partition_from_controllers(backend=leaving.service.primary),
        )

    def partition_leaving_replica(self) -> None:
        """The controllers can't reach a leaving replica for two seconds, and then the primary."""
        leaving = self._deregister_replica(kind="departure before a partition")
        if leaving is None:
            return
        self._at(in_ms=300, call=lambda: self._partition_from_controllers(backend=leaving, for_ms=2_000))
        self._at(in_ms=2_800, call=lambda: self._partition_from_controllers(backend=leaving.service.primary))

    def _partition_from_controllers(
        self, *, backend: StandInBackend | None, for_ms: int = PRIMARY_PARTITION_MS
    ) -> None:
        self._partition(
            backend=backend, others=list(self.world.controllers), kind="partition from controllers", for_ms=for_ms
        )

    def interrupt_replication(self) -> None:
        """A replica receives nothing for a while."""
        backend = self._backend(primary=False)
        if backend is None or any(each.replication_interrupted for each in backend.service.backends.values()):
            return
        self._record(kind="interrupt replication", target=backend.name)
        backend.replication_interrupted = True
        self._at(
            in_ms=self.rng.randrange(1_000, 9_000), call=lambda: setattr(backend, "replication_interrupted", False)
        )

    def delay_heartbeats(self) -> None:
        """The heartbeats of a backend come seconds late."""
        backend = self._backend()
        if backend is None:
            return
        sender = self.world.senders[backend.name]
        self._record(kind="delay heartbeats", target=backend.name)
        sender.silent = True
        self._at(in_ms=self.rng.randrange(500, 6_000), call=lambda: setattr(sender, "silent", False))

    def _partition(
        self, *, backend: StandInBackend | None, others: list[str], kind: str, for_ms: int | None = None
    ) -> None:
        """Partitions a backend from others, for a random time if none is given."""
        if backend is None or not others:
            return
        self._record(kind=kind, target=f"{backend.name} from {', '.join(others)}")
        self.world.partition(ones=[backend.name], others=others)
        self.partitions += 1
        self._at(in_ms=for_ms or self.rng.randrange(500, 6_000), call=self._heal_one)

    def _heal_one(self) -> None:
        """Ends all partitions together with the last one."""
        self.partitions -= 1
        if not self.partitions:
            self.world.heal()

    def partition_primary(self) -> None:
        """A primary can't be reached by the controllers, or by some proxies, or by its replicas."""
        backend = self._backend(primary=True)
        if backend is None:
            return
        world = self.world
        replicas = [each.name for each in backend.service.backends.values() if each is not backend]
        some = self.rng.sample(world.proxies, max(1, len(world.proxies) // 2))
        others = self.rng.choice((world.controllers, some, replicas, [*world.controllers, *some]))
        self._partition(backend=backend, others=list(others), kind="partition primary")

    def partition_replica(self) -> None:
        """A replica can't be reached by the controllers."""
        self._partition(
            backend=self._backend(primary=False), others=list(self.world.controllers), kind="partition replica"
        )

    def lose_answers(self) -> None:
        """A backend's answers are lost now and then, after it ran the statement."""
        backend = self._backend()
        if backend is None:
            return
        self._record(kind="lose answers", target=backend.name)
        backend.lost_answer_share = ANSWERS_LOST_SHARE
        self._at(in_ms=self.rng.randrange(500, 4_000), call=lambda: setattr(backend, "lost_answer_share", 0.0))

    def slow_backend(self) -> None:
        """A backend is slow for a while."""
        backend = self._backend()
        if backend is None:
            return
        self._record(kind="slow backend", target=backend.name)
        backend.slowdown = self.rng.choice((4, 20))
        self._at(in_ms=self.rng.randrange(500, 4_000), call=lambda: setattr(backend, "slowdown", 1))

    def reset_connections(self) -> None:
        """All connections of a backend, or those of a process to backends, are reset."""
        names = [*self.world.controllers, *self.world.proxies, *(each.name for each in self._backends())]
        name = self.rng.choice(names)
        self._record(kind="reset connections", target=name)
        self.world.reset(name=name)

    # -- operators and the platform --

    def configure(self) -> None:
        """An operator sends a new configuration; some answers to it are lost."""
        self.version += self.rng.randrange(1, 4)
        self._record(kind="configure", target=str(self.version))
        self.world.operator.lost_answers = self.rng.choice((0.0, 0.5))
        self.world.put(body=self.world.configuration(version=self.version, extra=(f"extra-{self.version}",)))

    def disturb_platform(self) -> None:
        """The platform's promotion call fails, or is slow, for a while."""
        platform = self.world.platform
        mode = self.rng.choice(("down", "slow"))
        self._record(kind=f"platform {mode}", target="")
        platform.mode = mode
        self._at(in_ms=self.rng.randrange(300, 3_000), call=lambda: setattr(platform, "mode", "up"))
