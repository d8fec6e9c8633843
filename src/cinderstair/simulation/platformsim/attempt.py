"""One try of one operation."""

from dataclasses import dataclass, field

from .client_statement import ClientStatement


@dataclass(eq=False, kw_only=True)
class Attempt:
    """`place` is the backend connection that ran the transaction's first statement."""

    client: str
    session: int
    database: str
    in_transaction: bool
    read_only: bool
    statements: list[ClientStatement] = field(default_factory=list)
    promises: list[str] = field(default_factory=list)
    outcome: str = ""
    commit_sent: bool = False
    commit_requested: bool = False
    place: object | None = None
