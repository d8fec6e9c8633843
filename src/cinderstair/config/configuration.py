"""A whole configuration, checked and compiled."""

from dataclasses import dataclass, field

from .backend import Backend
from .program_builder import Program
from .route import Route
from .window import Window

#: The register's key for the newest accepted document.
CONFIGURATION_KEY = "charter"

#: Values of policies that a configuration does not set; durations are in microseconds.
DEFAULTS: dict[str, int | str] = {
    "liveAge": 1_100_000,
    "freshAge": 2_000_000,
    "commitWait": 2_000_000,
    # typical subsets hold 20 to 100 backends; shorter lists are taken whole
    "subsetSize": 20,
    # statements under way on one set of connections, beyond which a backend counts as full
    "active": 100,
    # each replica in sync is waited for by every commit; two outlive the loss of one
    "inSync": 2,
    # transactions are short; a longer one is told that it was ended, and nothing of it is kept
    "closeWait": 1_000_000,
    "site": "near",
}
#: Targets of statements, by kind, where no route of the configuration names them.
DEFAULT_TARGETS = {"primary": "primary", "write": "primary", "live": "replica", "fresh": "replica"}


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """What is in force once a version of it has been accepted.

    :ivar raw: the operator's own bytes, for reading back
    :ivar databases: names of the backends of each database
    :ivar warnings: what is allowed and probably a mistake, one line each
    """

    version: int
    raw: bytes
    backends: dict[str, Backend]
    databases: dict[str, tuple[str, ...]]
    http_proxy_labels: dict[str, dict[str, str]] = field(default_factory=dict)
    program: Program = field(default_factory=Program)
    windows: tuple[Window, ...] = ()
    warnings: tuple[str, ...] = ()

    def policy(self, *, name: str, database: str) -> int | str:
        """The value of a policy for a database; the last statement that names both counts."""
        value = DEFAULTS[name]
        for policy in self.program.policies:
            if policy.name == name and (policy.databases is None or database in policy.databases):
                value = policy.amount
        return value

    def amount(self, *, name: str, database: str) -> int:
        """The value of a policy that takes a number or a duration; durations are in microseconds."""
        return int(self.policy(name=name, database=database))

    def route(self, *, kind: str, database: str) -> Route:
        """The first route that covers a kind of statement on a database, or the default one."""
        for route in self.program.routes:
            if route.covers(kind=kind, database=database):
                return route
        return Route(kinds=(kind,), databases=None, target=DEFAULT_TARGETS[kind])
