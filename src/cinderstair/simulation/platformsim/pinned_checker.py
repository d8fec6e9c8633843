"""PINNED: statements run in their own transaction, with their session's values and prepared statements."""

from typing import TYPE_CHECKING

from .checker import Checker
from .client_statement import ClientStatement

if TYPE_CHECKING:
    from .backend_protocol import BackendProtocol


class PinnedChecker(Checker):
    """Compares a backend connection's state with the session of the client whose statement runs on it."""

    rule = "PINNED"

    def ran(self, *, statement: ClientStatement, connection: "BackendProtocol") -> None:
        """A backend executes a client's statement; the first of a transaction binds it to the connection."""
        where = f"{statement.attempt.client} {statement.ident!r} at {connection.backend.name}"
        attempt = statement.attempt
        if statement.autocommit:
            self.check(
                holds=connection.state == b"I", description=f"{where}: a single statement ran inside a transaction"
            )
        else:
            self.check(holds=connection.state == b"T", description=f"{where}: ran outside its transaction")
            if attempt.first_connection is None:
                self.check(
                    holds=connection.owner is None,
                    description=f"{where}: began inside the transaction of another attempt",
                )
                attempt.first_connection, connection.owner = connection, attempt
            else:
                holds = attempt.first_connection is connection and connection.owner is attempt
                self.check(
                    holds=holds, description=f"{where}: ran on another connection than its transaction began on"
                )
        self.check(
            holds=connection.values == statement.values,
            description=f"{where}: values are {connection.values}, expected {statement.values}",
        )
        if statement.shape is not None:
            shape = connection.prepared.get(connection.alias)
            self.check(
                holds=shape == statement.shape,
                description=f"{where}: runs prepared statement {shape}, expected {statement.shape}",
            )

    def unnamed(self, *, client: str, name: bytes) -> None:
        """A client was told that a prepared statement of its session is unknown."""
        self.breach(
            description=f"{client}: prepared statement {name!r} is unknown, although its preparation was acknowledged"
        )
