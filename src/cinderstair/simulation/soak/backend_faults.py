"""Faults and planned work of backends, and of their connections."""

from collections.abc import Callable

from ..platformsim.stand_in_backend import StandInBackend
from .fault_schedule import FaultGroup, FaultSchedule

# The share of its answers that a backend loses.
ANSWERS_LOST_SHARE = 0.05
# The share of crashes in which a backend's machine loses power, so that its peers get no reset.
POWER_LOSS_SHARE = 0.3
# How long a primary can't be reached by the controllers after a replica of its service has left, in milliseconds.
PRIMARY_PARTITION_MS = 5_000


class BackendFaults(FaultGroup):
    """Strikes backends; every one returns with its log, or hands it on by plan.

    :param kill_all_controllers: a fault that is drawn together with a departure.
    """

    def __init__(self, *, schedule: FaultSchedule, kill_all_controllers: Callable[[], None]) -> None:
        super().__init__(schedule=schedule)
        self.kill_all_controllers = kill_all_controllers
        self.partitions = 0

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
