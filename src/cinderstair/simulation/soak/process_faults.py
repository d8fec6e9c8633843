"""Faults of the processes under test: signals, restarts and changed settings."""

from ..platformsim.platform_world import CATCH_UP_US
from .fault_schedule import FaultGroup, FaultSchedule


class ProcessFaults(FaultGroup):
    """Strikes controllers and proxies.

    One controller at a time is lost, and counts as lost for CATCH_UP_US after its return; all may be killed at once.
    """

    def __init__(self, *, schedule: FaultSchedule) -> None:
        super().__init__(schedule=schedule)
        self.next_loss_us = 0

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
