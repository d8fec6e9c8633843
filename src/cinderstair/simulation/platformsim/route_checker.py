"""No service runs what no configuration allows to go to it."""

from .checker import Checker
from .client_statement import ClientStatement


class RouteChecker(Checker):
    rule = "ROUTE"

    def __init__(self) -> None:
        super().__init__()
        self.allowed: dict[str, set[str]] = {}

    def allow(self, *, database: str, service: str) -> None:
        self.allowed.setdefault(database, set()).add(service)

    def ran(self, *, statement: ClientStatement, service: str) -> None:
        database = statement.attempt.database
        fine = service in self.allowed.get(database, ())
        self.judge(fine=fine, what=f"{statement.ident!r} for {database} ran on {service}")
