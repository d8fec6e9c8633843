"""MIXED: a successful answer carries the stamp and rows that a backend gave for this statement."""

from .checker import Checker
from .client_statement import ClientStatement


class MixedChecker(Checker):
    """A backend's stamps are unique, so an answer to another statement is recognized."""

    rule = "MIXED"

    def succeeded(self, *, statement: ClientStatement, stamp: bytes, rows: tuple[bytes, ...]) -> None:
        """A client received a success."""
        given = statement.stamps.get(stamp)
        holds = given is not None and given == rows
        self.check(
            holds=holds,
            description=f"{statement.ident!r} {statement.text[:40]!r} received stamp {stamp!r} "
            f"with rows {rows!r}, not {given!r}",
        )
