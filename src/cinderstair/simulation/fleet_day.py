"""Injects random failures into a fleet of real processes under load."""

import asyncio
import random
import signal
from collections import Counter

from .fleet import Fleet

MAX_PAUSE_S = 5.0
RECOVERY_LIMIT_US = 60_000_000


class FleetDay:
    """Injects one failure at a time and waits until all HTTP proxies serve before the next.

    `injected` counts failures by kind; a wait that times out raises AssertionError.
    """

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(f"fleetday/{seed}")
        self.version = 1
        self.injected: Counter[str] = Counter()

    async def run(self, *, for_us: int) -> None:
        """Injects failures until the time is up, then a last kill, and waits until everything serves."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_us / 1_000_000
        kinds = [self._killed, self._frozen, self._stopped, self._configured, self._resettled, self._emptied]
        while loop.time() < until_s:
            kind = self.rng.choice(kinds)
            await kind()
            self.injected[kind.__name__.strip("_")] += 1
            # Failures must not overlap here, so the system has to recover first
            await self.fleet.await_that(
                test=self.fleet.all_serve,
                within_us=RECOVERY_LIMIT_US,
                what=f"all HTTP proxies serve after {kind.__name__.strip('_')}",
            )
            await asyncio.sleep(self.rng.uniform(0.2, MAX_PAUSE_S))
        await self._killed()
        await self.fleet.await_that(
            test=self.fleet.all_serve,
            within_us=RECOVERY_LIMIT_US,
            what="all HTTP proxies serve after the last failure",
        )

    def _any(self) -> str:
        fleet = self.fleet
        return self.rng.choice(
            [
                self.rng.choice(names)
                for names in (fleet.http_proxy_names, fleet.register_replica_names, fleet.backend_names())
            ]
        )

    async def _killed(self) -> None:
        name = self._any()
        self.fleet.kill(name=name)
        await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))
        self.fleet.start(name=name)

    async def _frozen(self) -> None:
        name = self._any()
        self.fleet.signal(name=name, number=signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, MAX_PAUSE_S))
        self.fleet.signal(name=name, number=signal.SIGCONT)

    async def _stopped(self) -> None:
        name = self.rng.choice(self.fleet.http_proxy_names)
        self.fleet.signal(name=name, number=signal.SIGTERM)
        process = self.fleet.processes[name]
        await self.fleet.await_that(
            test=lambda: process.poll() is not None,
            within_us=RECOVERY_LIMIT_US,
            what=f"{name} has stopped after SIGTERM",
        )
        self.fleet.start(name=name)

    async def _configured(self) -> None:
        self.version += 1
        result = await self.fleet.submit(version=self.version, stalls={"stall-0": {"turn": str(self.version)}})
        if result.returncode not in (0, 3):
            raise AssertionError(f"submit failed: {result.stderr}")

    async def _resettled(self) -> None:
        name = self.rng.choice(self.fleet.http_proxy_names)
        self.fleet.write_settings(name=name, queue_limit=self.rng.randrange(100, 300))
        if self.rng.random() < 0.5:
            self.fleet.signal(name=name, number=signal.SIGHUP)

    async def _emptied(self) -> None:
        name = self.rng.choice(self.fleet.backend_names())
        await self.fleet.post(name=name, path="/empty")
        await asyncio.sleep(self.rng.uniform(1.0, MAX_PAUSE_S))
        await self.fleet.post(name=name, path="/refill")
