"""One attempt of a client's operation, which is a statement or a transaction."""

from dataclasses import dataclass, field

from .client_statement import ClientStatement


@dataclass(eq=False, kw_only=True)
class Attempt:
    """`first_connection` is the backend connection that ran the transaction's first statement.

    `not_executed_codes` are received error codes which say that nothing was executed; `outcome` is the code that ends
    the attempt.
    """

    client: str
    session: int
    database: str
    in_transaction: bool
    read_only: bool
    statements: list[ClientStatement] = field(default_factory=list)
    not_executed_codes: list[str] = field(default_factory=list)
    outcome: str = ""
    commit_sent: bool = False
    commit_requested: bool = False
    first_connection: object | None = None
