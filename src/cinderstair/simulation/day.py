"""A whole day in the simulator, at the size of today: the work of one of the users among all that fails."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .injected_fault import InjectedFault
from .trial import Trial, begun

MOST_HTTP_PROXIES, MOST_REGISTER_REPLICAS = 3, 2


@dataclass(frozen=True, kw_only=True)
class Place:
    """What one of the users calls usual."""

    promotion_us: int
    # why: shares of writes, transactions and reads of each kind; trades and lineup locks, or claims and sign-offs
    mix: dict[str, float]
    callers: int = 123
    think_us: int = 640_000
    once_us: int = 2_000_000


PROXY_ADDRESSES = {
    "jamaica": Place(
        promotion_us=1_000_000,
        mix={"append": 0.25, "transaction": 0.12, "primary": 0.12, "live": 0.3, "fresh": 0.13},
    ),
    "thailand": Place(
        promotion_us=550_000,
        mix={"append": 0.3, "transaction": 0.06, "primary": 0.1, "live": 0.26, "fresh": 0.2},
    ),
}


@dataclass(kw_only=True)
class Day:
    """The world of a day, and who of it may still be struck: never more at once than must be survived."""

    trial: Trial
    harmed: dict[str, int] = field(default_factory=dict)
    used: set[str] = field(default_factory=set)
    old: tuple[str, ...] = ()
    windows: list[dict[str, str]] = field(default_factory=list)
    version: int = 1
    fallen: Counter[str] = field(default_factory=Counter)

    @property
    def world(self) -> Any:
        return self.trial.world

    def next(self) -> int:
        self.version += 1
        return self.version

    def submit(self, *, rng: random.Random) -> None:
        """An operator sends a whole configuration, and sends the same again where the outcome is not known."""
        version = self.next()
        for _ in range(6):
            at = rng.choice(self.world.ups())
            status = self.trial.submit(version=version, at=at, old=self.old, windows=self.windows)
            if status in (200, 409):
                return
            self.world.advance(for_us=500_000)

    def _hurt(self, *, names: list[str]) -> list[str]:
        return [name for name in names if self.harmed.get(name, 0) > self.world.now_us]

    def backend(self, *, rng: random.Random, for_us: int, primary: bool | None = None) -> str:
        """One to strike, a primary by preference; empty while each database has one that is not itself again."""
        whole = [database for database in self.world.databases if self._whole(database=database)]
        if not whole:
            return ""
        database = rng.choice(whole)
        leader = self.trial.primary_of(database=database)
        others = [name for name in self.world.listed[database] if name != leader]
        name = leader if primary is not False and rng.random() < 0.6 else rng.choice(others)
        self.harmed[name] = self.world.now_us + for_us
        return name

    def _whole(self, *, database: str) -> bool:
        if self._hurt(names=self.world.databases[database]):
            return False
        views = [self.world.http_proxy(name=name).view for name in self.world.ups()]
        assignments = [
            view.assignment(database=database) for view in views if view.assignment(database=database) is not None
        ]
        assignment = max(assignments, key=lambda each: each.term, default=None)
        return assignment is not None and assignment.state == "settled" and len(assignment.in_sync) >= 2

    def http_proxy(self, *, rng: random.Random, for_us: int) -> str:
        """One to strike, the holder of the duty of leads by preference."""
        fit = [name for name in self.world.ups() if not self._hurt(names=[name])]
        if len(self._hurt(names=self.world.http_proxy_names)) >= MOST_HTTP_PROXIES or not fit:
            return ""
        name = self.trial.holder if rng.random() < 0.4 and self.trial.holder in fit else rng.choice(fit)
        self.harmed[name] = self.world.now_us + for_us
        return name

    def register_replica(self, *, rng: random.Random, for_us: int) -> str:
        hurt = self._hurt(names=self.world.register_replica_names)
        if len(hurt) >= MOST_REGISTER_REPLICAS:
            return ""
        name = rng.choice([name for name in self.world.register_replica_names if name not in hurt])
        self.harmed[name] = self.world.now_us + for_us
        return name


def opened(*, place: str, seed: int) -> Day:
    """The day's world at work: 9 HTTP proxies, 5 register replicas, 3 sites, 3 databases, 150 sessions."""
    usual = PROXY_ADDRESSES[place]
    trial = begun(
        seed=seed,
        callers=usual.callers,
        think_us=usual.think_us,
        once_us=usual.once_us,
        http_proxies=9,
        databases=3,
        cap=64,
        spares=3,
        mix=usual.mix,
    )
    day = Day(trial=trial)
    world = day.world
    world.roles["platform"].promotion_us = usual.promotion_us
    for database in world.databases:
        day.used |= set(world.listed[database])
    # why: one machine is slow from morning to night
    world.network.lags_us[random.Random(f"slow/{seed}").choice(world.http_proxy_names)] = 15_000
    return day


def planned(*, place: str, seed: int, kinds: list[str], for_us: int, every_us: int) -> list[InjectedFault]:
    """The day's failures: each kind once before any twice, in an order drawn by the seed, overlapping."""
    rng = random.Random(f"day/{place}/{seed}")
    injected_faults: list[InjectedFault] = []
    turn: list[str] = []
    at_us = 0
    while at_us < for_us:
        if not turn:
            turn = rng.sample(kinds, len(kinds))
        injected_faults.append(
            InjectedFault(
                number=len(injected_faults),
                kind=turn.pop(),
                at_us=at_us,
                length_us=rng.randrange(500_000, 12_000_000),
            )
        )
        at_us += rng.randrange(every_us // 3, every_us * 5 // 3)
    return injected_faults
