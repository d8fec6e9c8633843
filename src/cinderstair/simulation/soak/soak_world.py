"""The simulated platform's world with real processes in real time: stand-ins, clients and checkers are the same."""

import asyncio
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..platformsim.disruption import Disruption
from ..platformsim.platform_world import GRACE_US, RESTART_DELAY_US, ZONES, PlatformWorld
from ..platformsim.repository import add_adapter_to_path
from .child_processes import ChildProcesses
from .connection_owners import ConnectionOwners
from .settings_text import settings_text
from .socket_fabric import SocketFabric, SocketStreams

WATCH_PERIOD_S = 0.1
START_MS = 60_000
# A process that ends this soon after a fault of its machine has not ended by itself.
EXCUSED_END_US = 1_000_000
MACHINES_PER_ZONE_NET = 200


class SoakWorld(PlatformWorld):
    """Owns the processes and their folder; the rest is the base class's.

    Partitions act between backends and other machines only. `ended` lists the processes that ended by themselves.

    :param network: the second byte of all addresses; two worlds at the same time need different ones.
    """

    def __init__(self, *, network: int, losses: int = 1, **sizes: Any) -> None:
        add_adapter_to_path()
        self.folder = Path(tempfile.mkdtemp(prefix="cinderstair-soak-"))
        self.children = ChildProcesses(folder=self.folder)
        self.network_byte = network
        self.losses = losses
        self.ended: list[str] = []
        # machines whose processes are meant to be down now
        self.down: set[str] = set()
        self.planned_stops: set[str] = set()
        super().__init__(**sizes)

    def make_loop(self) -> Any:
        """A loop in real time."""
        return asyncio.new_event_loop()

    def make_fabric(self) -> SocketFabric:
        """A network of real sockets."""
        owners = ConnectionOwners(children=self.children)
        return SocketFabric(loop=self.loop, network=self.network, rng=self.rng_for(name="fabric"), owners=owners)

    def ip_for(self, *, zone: str) -> str:
        """An address of the loopback network."""
        number = len(self.zones)
        subnet = ZONES.index(zone) * 10 + number // MACHINES_PER_ZONE_NET
        return f"127.{self.network_byte}.{subnet}.{number % MACHINES_PER_ZONE_NET + 10}"

    def streams(self, *, name: str, process: Any = None) -> Any:
        """Connections of a stand-in."""
        return SocketStreams(fabric=self.fabric, host=name)  # type: ignore[arg-type]

    def machine_settings(self, *, name: str) -> Any:
        """The current content of a machine's settings file."""
        from dataclasses import replace

        machine = super().machine_settings(name=name)
        folder = str(self.folder / f"{name}-data") if machine.control else ""
        return replace(machine, folder=folder, losses=self.losses)

    # -- processes --

    def start(self, *, name: str) -> None:
        """Starts a machine's process; no effect while one runs."""
        if self.children.running(name=name):
            return
        self.down.discard(name)
        self.incarnations[name] = self.incarnations.get(name, 0) + 1
        machine = self.machine_settings(name=name)
        if machine.folder:
            Path(machine.folder).mkdir(exist_ok=True)
        role = "proxy" if name in self.proxies else "controller"
        self.children.start(name=name, role=role, settings=settings_text(machine=machine))

    def kill(self, *, name: str, restart_us: int = RESTART_DELAY_US) -> None:
        """The process is killed; the platform restarts it after `restart_us`."""
        self.begin_disruption(name=name, for_us=restart_us)
        self.down.add(name)
        self.children.kill(name=name)
        self.fabric.call(self._start_later(name=name, wait_us=restart_us))

    async def _start_later(self, *, name: str, wait_us: int) -> None:
        await asyncio.sleep(wait_us / 1_000_000)
        self.start(name=name)

    def freeze(self, *, name: str) -> None:
        """The process is stopped until `thaw`."""
        self.begin_disruption(name=name, for_us=None)
        self.children.freeze(name=name)

    def thaw(self, *, name: str) -> None:
        """A stopped process continues."""
        self.end_disruption(name=name)
        self.children.thaw(name=name)

    def stop(self, *, name: str, restart_us: int = 1_500_000) -> None:
        """A planned restart: SIGTERM, SIGKILL after the grace period, and a start after `restart_us`."""
        if not self.children.running(name=name) or name in self.planned_stops:
            return
        self.begin_disruption(name=name, for_us=GRACE_US + restart_us, planned=True)
        self.planned_stops.add(name)
        self.children.send(name=name, number=signal.SIGTERM)
        self.fabric.call(self._end_planned_stop(name=name, restart_us=restart_us))

    async def _end_planned_stop(self, *, name: str, restart_us: int) -> None:
        until_us = self.now_us + GRACE_US
        while self.children.running(name=name) and self.now_us < until_us:  # noqa: ASYNC110
            await asyncio.sleep(WATCH_PERIOD_S)
        self.down.add(name)
        self.planned_stops.discard(name)
        self.children.kill(name=name)
        await self._start_later(name=name, wait_us=restart_us)

    def reload(self, *, name: str) -> None:
        """The settings file is written again, with the seeds in another order, and the process gets SIGHUP."""
        self.rng.shuffle(self.controller_addresses)
        self.disruptions.append(Disruption(scope=name, from_us=self.now_us, until_us=self.now_us, planned=True))
        text = settings_text(machine=self.machine_settings(name=name))
        self.children.settings_path(name=name).write_text(text)
        self.children.send(name=name, number=signal.SIGHUP)

    def heal(self) -> None:
        """Ends all network partitions; what they held up is delivered."""
        super().heal()
        self.fabric.release()  # type: ignore[attr-defined]

    async def _watch(self) -> None:
        """Restarts processes that ended by themselves, and records those that no fault of their machine excuses."""
        while True:
            for name in [*self.controllers, *self.proxies]:
                status = self.children.exit_status(name=name)
                if status is None or name in self.down or name in self.planned_stops:
                    continue
                excused = any(
                    each.scope == name and each.touches(from_us=self.now_us - EXCUSED_END_US, until_us=self.now_us)
                    for each in self.disruptions
                )
                if not excused:
                    self.ended.append(f"{name} ended by itself with status {status}")
                self.down.add(name)
                self.fabric.call(self._start_later(name=name, wait_us=RESTART_DELAY_US))
            await asyncio.sleep(WATCH_PERIOD_S)

    # -- running --

    def serves(self) -> bool:
        """Whether every proxy says that it is ready."""
        return all(self.platform.misses[name] == 0 for name in self.proxies)

    def await_that(self, *, test: Callable[[], bool], within_ms: int, description: str, step_ms: int = 50) -> None:
        """See `PlatformWorld.await_that`; real processes need more time to start."""
        super().await_that(test=test, within_ms=max(within_ms, START_MS), description=description, step_ms=step_ms)

    def begin(self) -> None:
        """Starts all machines and backends, and waits until every proxy is ready."""
        self.fabric.call(self._watch())
        super().begin()

    def close(self) -> None:
        """Ends all processes and closes the loop."""
        self.children.end()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.fabric.host_end()  # type: ignore[attr-defined]
        self.loop.close()
