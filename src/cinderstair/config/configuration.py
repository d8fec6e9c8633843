"""A whole configuration, checked and compiled."""

from dataclasses import dataclass, field

from ..maintenance.window import Window
from .backend import Backend
from .compiler import Program
from .route import Route

DEFAULTS: dict[str, int | str] = {
    "liveAge": 1_100_000,
    "freshAge": 2_000_000,
    "commitWait": 2_000_000,
    # why: the source's typical subset is 20 to 100; shorter lists are taken whole
    "subsetSize": 20,
    # why: the source's limit on active jobs a channel set, beyond which a backend counts as full
    "active": 100,
    # why: each replica in sync is waited for by every commit; two outlive the loss of one
    "inSync": 2,
    # why: transactions are short; longer ones are told that they were ended, and nothing of theirs is kept
    "closeWait": 1_000_000,
    "site": "near",
}
ROUTES = {"primary": "primary", "write": "primary", "live": "replica", "fresh": "replica"}


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """What is in force once a version of it has been accepted."""

    version: int
    raw: bytes
    backends: dict[str, Backend]
    databases: dict[str, tuple[str, ...]]
    http_proxy_labels: dict[str, dict[str, str]] = field(default_factory=dict)
    program: Program = field(default_factory=Program)
    windows: tuple[Window, ...] = ()
    warnings: tuple[str, ...] = ()

    def policy(self, *, name: str, database: str) -> int | str:
        value = DEFAULTS[name]
        for policy in self.program.policies:
            if policy.name == name and (policy.databases is None or database in policy.databases):
                value = policy.amount
        return value

    def amount(self, *, name: str, database: str) -> int:
        return int(self.policy(name=name, database=database))

    def route(self, *, kind: str, database: str) -> Route:
        for route in self.program.routes:
            if route.covers(kind=kind, database=database):
                return route
        return Route(kinds=(kind,), databases=None, target=ROUTES[kind])
