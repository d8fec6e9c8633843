"""ROUTE: a service executes only statements of databases that some configuration routes to it."""

from .checker import Checker
from .client_statement import ClientStatement


class RouteChecker(Checker):
    """`allowed` holds the services of each database."""

    rule = "ROUTE"

    def __init__(self) -> None:
        super().__init__()
        self.allowed: dict[str, set[str]] = {}

    def allow(self, *, database: str, service: str) -> None:
        """A configuration or shard map may route the database to the service from now on."""
        self.allowed.setdefault(database, set()).add(service)

    def ran(self, *, statement: ClientStatement, service: str) -> None:
        """A backend of the service executes the statement."""
        database = statement.attempt.database
        holds = service in self.allowed.get(database, ())
        self.check(holds=holds, description=f"{statement.ident!r} for {database} was executed by {service}")
