"""A validated and compiled configuration, with the default policies and routes."""

from dataclasses import dataclass, field

from .backend import Backend
from .program_builder import Program
from .route import Route
from .window import Window

#: Register key of the newest accepted document.
CONFIGURATION_KEY = "charter"

#: Values of policies that a configuration does not set; durations in microseconds.
DEFAULTS: dict[str, int | str] = {
    "liveAge": 1_100_000,
    "freshAge": 2_000_000,
    "commitWait": 2_000_000,
    # typical subsets hold 20 to 100 backends; a list shorter than this is used entirely
    "subsetSize": 20,
    # statements in flight on one connection pool, beyond which the backend counts as full
    "active": 100,
    # every commit waits for each in-sync replica; with two, one may fail
    "inSync": 2,
    # time for open transactions to finish before a planned change of primary; transactions are short, and one that is
    # still open after this is rolled back and its client gets an error
    "closeWait": 1_000_000,
    "site": "near",
}
#: Targets by kind of statement, used if no route of the configuration covers the statement.
DEFAULT_TARGETS = {"primary": "primary", "write": "primary", "live": "replica", "fresh": "replica"}


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the configuration.

    :ivar raw: the operator's document, returned unchanged when it is read back
    :ivar backends: by name
    :ivar databases: names of the backends of each database, sorted
    :ivar http_proxy_labels: labels of each HTTP proxy, by its name
    :ivar warnings: probable mistakes that are valid, one line each
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
        """The value of a policy for a database; the last matching statement wins."""
        value = DEFAULTS[name]
        for policy in self.program.policies:
            if policy.name == name and (policy.databases is None or database in policy.databases):
                value = policy.amount
        return value

    def amount(self, *, name: str, database: str) -> int:
        """The value of a numeric policy; durations are in microseconds."""
        return int(self.policy(name=name, database=database))

    def route(self, *, kind: str, database: str) -> Route:
        """The first route that covers a kind of statement on a database, or the default route."""
        for route in self.program.routes:
            if route.covers(kind=kind, database=database):
                return route
        return Route(kinds=(kind,), databases=None, target=DEFAULT_TARGETS[kind])
