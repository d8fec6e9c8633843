"""A day on real processes: the failures that processes can be given, one after another, under work."""

import asyncio
import random
import signal
from collections import Counter

from .fleet import Fleet

EVERY_S = 5.0
LONG_US = 60_000_000


class FleetDay:
    """Owns the day's failures: one machine at a time, and all serve again before the next."""

    def __init__(self, *, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(f"fleetday/{seed}")
        self.version = 1
        self.fallen: Counter[str] = Counter()

    async def run(self, *, for_us: int) -> None:
        """Lets failures fall until the time is up, then a last one, and waits until everything serves."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_us / 1_000_000
        kinds = [self._killed, self._frozen, self._stopped, self._configured, self._resettled, self._emptied]
        while loop.time() < until_s:
            kind = self.rng.choice(kinds)
            await kind()
            self.fallen[kind.__name__.strip("_")] += 1
            # why: the next falls on a system that is itself again, since one at a time is what a day here gives
            await self.fleet.await_that(
                test=self.fleet.all_serve, within_us=LONG_US, what=f"served after {kind.__name__}"
            )
            await asyncio.sleep(self.rng.uniform(0.2, EVERY_S))
        await self._killed()
        await self.fleet.await_that(test=self.fleet.all_serve, within_us=LONG_US, what="served after the last fault")

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
        await asyncio.sleep(self.rng.uniform(0.0, EVERY_S))
        self.fleet.start(name=name)

    async def _frozen(self) -> None:
        name = self._any()
        self.fleet.signal(name=name, number=signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, EVERY_S))
        self.fleet.signal(name=name, number=signal.SIGCONT)

    async def _stopped(self) -> None:
        name = self.rng.choice(self.fleet.http_proxy_names)
        self.fleet.signal(name=name, number=signal.SIGTERM)
        process = self.fleet.processes[name]
        await self.fleet.await_that(
            test=lambda: process.poll() is not None, within_us=LONG_US, what=f"{name} has stopped in order"
        )
        self.fleet.start(name=name)

    async def _configured(self) -> None:
        self.version += 1
        result = await self.fleet.submit(version=self.version, stalls={"stall-0": {"turn": str(self.version)}})
        if result.returncode not in (0, 3):
            raise AssertionError(f"submit: {result.stderr}")

    async def _resettled(self) -> None:
        name = self.rng.choice(self.fleet.http_proxy_names)
        self.fleet.write_settings(name=name, queue_limit=self.rng.randrange(100, 300))
        if self.rng.random() < 0.5:
            self.fleet.signal(name=name, number=signal.SIGHUP)

    async def _emptied(self) -> None:
        name = self.rng.choice(self.fleet.backend_names())
        await self.fleet.say(name=name, path="/empty")
        await asyncio.sleep(self.rng.uniform(1.0, EVERY_S))
        await self.fleet.say(name=name, path="/refill")
