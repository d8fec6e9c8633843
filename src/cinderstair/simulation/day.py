"""A simulated day: a production-size system under one user's workload, with overlapping random faults."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .injected_fault import InjectedFault
from .trial import Trial, start_trial

MAX_FAULTY_HTTP_PROXIES, MAX_FAULTY_REGISTER_REPLICAS = 3, 2


@dataclass(frozen=True, kw_only=True)
class Workload:
    """The usual load of one user, and the time in us that its platform takes to promote a backend."""

    promotion_us: int
    # Shares of writes, transactions and reads of each kind
    mix: dict[str, float]
    callers: int = 123
    think_us: int = 640_000
    once_us: int = 2_000_000


WORKLOADS = {
    "jamaica": Workload(
        promotion_us=1_000_000,
        mix={"append": 0.25, "transaction": 0.12, "primary": 0.12, "live": 0.3, "fresh": 0.13},
    ),
    "thailand": Workload(
        promotion_us=550_000,
        mix={"append": 0.3, "transaction": 0.06, "primary": 0.1, "live": 0.26, "fresh": 0.2},
    ),
}


@dataclass(kw_only=True)
class Day:
    """Owns the simulated system of a day, and limits concurrent faults to those that it must survive.

    `recovering_until_us` holds the machines with a fault and the time until which they count as faulty; `used` the
    backends that are or were configured; `old` the machines that the window of the day selects.
    """

    trial: Trial
    recovering_until_us: dict[str, int] = field(default_factory=dict)
    used: set[str] = field(default_factory=set)
    old: tuple[str, ...] = ()
    windows: list[dict[str, str]] = field(default_factory=list)
    version: int = 1
    injected: Counter[str] = field(default_factory=Counter)

    @property
    def world(self) -> Any:
        """The simulated system."""
        return self.trial.world

    def next(self) -> int:
        """Returns the next configuration version."""
        self.version += 1
        return self.version

    def submit(self, *, rng: random.Random) -> None:
        """Submits a new configuration, and retries the same one while the outcome is unknown."""
        version = self.next()
        for _ in range(6):
            at = rng.choice(self.world.http_proxies_up())
            status = self.trial.submit(version=version, at=at, old=self.old, windows=self.windows)
            if status in (200, 409):
                return
            self.world.advance(for_us=500_000)

    def _recovering(self, *, names: list[str]) -> list[str]:
        return [name for name in names if self.recovering_until_us.get(name, 0) > self.world.now_us]

    def backend(self, *, rng: random.Random, for_us: int, primary: bool | None = None) -> str:
        """Picks a backend for a fault, a primary by preference; empty if each database still recovers from one."""
        healthy = [database for database in self.world.databases if self._healthy(database=database)]
        if not healthy:
            return ""
        database = rng.choice(healthy)
        current = self.trial.primary_of(database=database)
        others = [name for name in self.world.configured[database] if name != current]
        name = current if primary is not False and rng.random() < 0.6 else rng.choice(others)
        self.recovering_until_us[name] = self.world.now_us + for_us
        return name

    def _healthy(self, *, database: str) -> bool:
        if self._recovering(names=self.world.databases[database]):
            return False
        views = [self.world.http_proxy(name=name).view for name in self.world.http_proxies_up()]
        assignments = [
            view.assignment(database=database) for view in views if view.assignment(database=database) is not None
        ]
        assignment = max(assignments, key=lambda each: each.term, default=None)
        return assignment is not None and assignment.state == "settled" and len(assignment.in_sync) >= 2

    def http_proxy(self, *, rng: random.Random, for_us: int) -> str:
        """Picks an HTTP proxy for a fault, the failover lease holder by preference; empty if too many are faulty."""
        available = [name for name in self.world.http_proxies_up() if not self._recovering(names=[name])]
        if len(self._recovering(names=self.world.http_proxy_names)) >= MAX_FAULTY_HTTP_PROXIES or not available:
            return ""
        name = self.trial.holder if rng.random() < 0.4 and self.trial.holder in available else rng.choice(available)
        self.recovering_until_us[name] = self.world.now_us + for_us
        return name

    def register_replica(self, *, rng: random.Random, for_us: int) -> str:
        """Picks a register replica for a fault; empty if too many are faulty."""
        faulty = self._recovering(names=self.world.register_replica_names)
        if len(faulty) >= MAX_FAULTY_REGISTER_REPLICAS:
            return ""
        name = rng.choice([name for name in self.world.register_replica_names if name not in faulty])
        self.recovering_until_us[name] = self.world.now_us + for_us
        return name


def start_day(*, workload: str, seed: int) -> Day:
    """Returns a day with 9 HTTP proxies, 5 register replicas, 3 sites, 3 databases and 150 sessions under load."""
    profile = WORKLOADS[workload]
    trial = start_trial(
        seed=seed,
        callers=profile.callers,
        think_us=profile.think_us,
        once_us=profile.once_us,
        http_proxies=9,
        databases=3,
        cap=64,
        spares=3,
        mix=profile.mix,
    )
    day = Day(trial=trial)
    world = day.world
    world.roles["platform"].promotion_us = profile.promotion_us
    for database in world.databases:
        day.used |= set(world.configured[database])
    # One HTTP proxy has a slow network for the whole day
    world.network.lags_us[random.Random(f"slow/{seed}").choice(world.http_proxy_names)] = 15_000
    return day


def draw_faults(*, workload: str, seed: int, kinds: list[str], for_us: int, every_us: int) -> list[InjectedFault]:
    """Draws overlapping faults in random order, each kind once before any kind again."""
    rng = random.Random(f"day/{workload}/{seed}")
    injected_faults: list[InjectedFault] = []
    remaining: list[str] = []
    at_us = 0
    while at_us < for_us:
        if not remaining:
            remaining = rng.sample(kinds, len(kinds))
        injected_faults.append(
            InjectedFault(
                number=len(injected_faults),
                kind=remaining.pop(),
                at_us=at_us,
                length_us=rng.randrange(500_000, 12_000_000),
            )
        )
        at_us += rng.randrange(every_us // 3, every_us * 5 // 3)
    return injected_faults
