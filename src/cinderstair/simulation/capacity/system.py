"""The child processes of one load step, in a temporary folder."""

import asyncio
import shutil
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from ...consensus.register import Register
from ...runtime.no_disk import NoDisk
from ..fleet import free_ports
from .child import metered_context
from .child_process import ChildProcess
from .heartbeat_connection import HeartbeatConnection
from .naming import operator_document, proxy_name, zone_of
from .reading import Reading
from .step import Step

HEARTBEAT_INTERVAL_US = 1_200_000
POLL_S = 0.05
MAX_HOSTS = 12
PROXIES_PER_HOST = 40


class NotSettled(Exception):
    """The step did not reach an expected state in time; the message is recorded as a result."""


def hosts_for(*, step: Step) -> int:
    """Returns the number of processes among which the proxies are distributed."""
    if not step.proxies:
        return 0
    return max(min(2, step.proxies), min(MAX_HOSTS, step.proxies // PROXIES_PER_HOST))


class System:
    """Starts controllers, backends and proxies in this order, queries them, and stops them.

    `hosts` are the processes that run proxies. Waiting methods return seconds and raise NotSettled on a timeout.
    """

    def __init__(self, *, step: Step, seed: int) -> None:
        self.step = step
        self.seed = seed
        self.folder = Path(tempfile.mkdtemp(prefix="cinderstair-capacity-"))
        ports = free_ports(count=2 * step.controllers)
        self.record_addresses = [f"127.0.0.1:{port}" for port in ports[: step.controllers]]
        self.control_addresses = [f"127.0.0.1:{port}" for port in ports[step.controllers :]]
        self.controllers = [self._controller(number=n, first_run=True) for n in range(step.controllers)]
        self.hosts = [
            ChildProcess(
                role="booths",
                name=f"host-{n}",
                options={"seeds": self.record_addresses, "seed": seed * 1_000_000 + n * 10_000},
                folder=self.folder,
            )
            for n in range(hosts_for(step=step))
        ]
        heartbeats = {
            "controls": self.control_addresses,
            "every_us": HEARTBEAT_INTERVAL_US,
            "databases": step.databases,
        }
        self.heartbeats = ChildProcess(role="beats", name="beats", options=heartbeats, folder=self.folder)
        self.ctx = metered_context(name="driver", site="e1", disk=NoDisk(), seed=seed)
        self.register = Register(ctx=self.ctx, seeds=tuple(self.record_addresses))
        self.revision = 0
        self.host_of_proxy: dict[str, ChildProcess] = {}

    def _controller(self, *, number: int, first_run: bool) -> ChildProcess:
        options = {
            "name": f"guildhall-{number}",
            "site": zone_of(number=number),
            "records": self.record_addresses[number],
            "control": self.control_addresses[number],
            "seeds": self.record_addresses,
            "voters": self.step.voting,
            "folder": str(self.folder / f"guildhall-{number}"),
            "first_run": first_run,
            "beat_every_us": HEARTBEAT_INTERVAL_US,
            "seed": self.seed * 100 + number + 1,
        }
        return ChildProcess(role="guildhall", name=f"guildhall-{number}", options=options, folder=self.folder)

    @property
    def processes(self) -> list[ChildProcess]:
        return [*self.controllers, *self.hosts, self.heartbeats]

    def running(self, *, role: str) -> list[ChildProcess]:
        return [process for process in self.processes if process.role == role and process.running]

    async def wait_until(self, *, test: Callable[[], Awaitable[str]], within_s: float, what: str) -> float:
        """Waits until the test returns no obstacle (an empty string); returns the time it took, in seconds."""
        began = time.monotonic()
        while obstacle := await test():
            if time.monotonic() - began > within_s:
                raise NotSettled(f"waited {within_s:.0f} s for {what}: {obstacle}")
            await asyncio.sleep(POLL_S)
        return time.monotonic() - began

    # -- start --

    async def start_controllers(self) -> float:
        """Starts the controllers and waits until all know a roster with all voters."""
        await asyncio.gather(*(process.start() for process in self.controllers))

        async def missing() -> str:
            states = await self.states()
            late = [state for state in states if state["voters"] != self.step.voting]
            return f"{len(late)} of {len(states)} without a roster" if late else ""

        return await self.wait_until(test=missing, within_s=30, what="a roster")

    async def states(self) -> list[dict[str, Any]]:
        """Returns the status of every running controller."""
        return list(await asyncio.gather(*(process.ask(do="status") for process in self.running(role="guildhall"))))

    async def configure(self) -> tuple[int, int]:
        """Submits the next configuration over HTTP; returns when it was sent and accepted, in microseconds."""
        self.revision += 1
        body = operator_document(revision=self.revision, databases=self.step.databases)
        address = self.control_addresses[0]
        host, _, port = address.rpartition(":")
        _, connection = await asyncio.get_running_loop().create_connection(HeartbeatConnection, host, int(port))
        began_us = self.ctx.now_us()
        try:
            async with asyncio.timeout(20):
                status = await connection.put(host=address, path="/cinderstair/settings", body=body)
        finally:
            if connection.transport is not None:
                connection.transport.close()
        if status != 200:
            raise NotSettled(f"configuration revision {self.revision} was refused with status {status}")
        return began_us, self.ctx.now_us()

    async def start_backends(self, *, within_s: float) -> float:
        """Starts the heartbeats and waits until every controller knows all backends and primaries."""
        await self.heartbeats.start()

        async def missing() -> str:
            states = await self.states()
            min_primaries = min((state["leads"] for state in states), default=0)
            current = sum(state["current"] for state in states)
            min_backends = min((state["backends"] for state in states), default=0)
            known = (
                min_primaries >= self.step.databases and min_backends >= self.step.backends and current == len(states)
            )
            if known:
                return ""
            found = f"{min_primaries} primaries and {min_backends} backends"
            return f"all controllers know {found}, {current} views are current"

        return await self.wait_until(test=missing, within_s=within_s, what="primaries")

    async def open_proxies(self, *, within_s: float) -> float:
        """Starts the proxies and waits until all have a complete and current view."""
        if not self.hosts:
            return 0.0
        await asyncio.gather(*(process.start() for process in self.hosts))
        names = [(proxy_name(number=n), zone_of(number=n)) for n in range(self.step.proxies)]
        lists = [names[n :: len(self.hosts)] for n in range(len(self.hosts))]
        for host, own in zip(self.hosts, lists, strict=True):
            self.host_of_proxy |= {name: host for name, _ in own}
        await asyncio.gather(
            *(host.ask(do="open", proxies=own, wait_s=120) for host, own in zip(self.hosts, lists, strict=True))
        )
        return await self.wait_until(
            test=self.proxies_not_ready, within_s=within_s, what="complete views of all proxies"
        )

    async def proxies_not_ready(self) -> str:
        """Says how many proxies are ready, unless all are."""
        asks = [host.ask(do="status", databases=self.step.databases, wait_s=120) for host in self.hosts]
        states = await asyncio.gather(*asks)
        ready = sum(min(state["knowing"], state["current"]) for state in states)
        return "" if ready >= self.step.proxies else f"{ready} of {self.step.proxies} ready"

    # -- queries --

    async def readings(self) -> dict[str, Reading]:
        """Reads the counters of all running processes, by process name."""
        processes = [process for process in self.processes if process.running]
        taken = await asyncio.gather(*(process.reading() for process in processes))
        return {process.name: reading for process, reading in zip(processes, taken, strict=True)}

    async def marks(self, *, key: str) -> dict[str, int]:
        """Returns when each proxy saw a key, in microseconds, or 0 if it has not."""
        found: dict[str, int] = {}
        for answer in await asyncio.gather(*(host.ask(do="marks", key=key) for host in self.hosts)):
            found |= answer
        return found

    # -- stop --

    async def stop(self) -> None:
        """Stops all processes and deletes the folder, also after a failure."""
        try:
            await asyncio.gather(*(process.stop() for process in self.processes), return_exceptions=True)
            await self.ctx.net.close()
            self.ctx.close()
        finally:
            for process in self.processes:
                if process.running and process.process is not None:
                    process.process.kill()
            shutil.rmtree(self.folder, ignore_errors=True)
