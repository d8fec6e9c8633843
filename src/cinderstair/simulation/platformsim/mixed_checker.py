"""A success comes with the backend's own stamp and rows."""

from .checker import Checker
from .client_statement import ClientStatement


class MixedChecker(Checker):
    rule = "MIXED"

    def succeeded(self, *, statement: ClientStatement, stamp: bytes, rows: tuple[bytes, ...]) -> None:
        given = statement.stamps.get(stamp)
        fine = given is not None and given == rows
        self.judge(
            fine=fine, what=f"{statement.ident!r} {statement.text[:40]!r} was told {stamp!r} {rows!r}, not {given!r}"
        )
