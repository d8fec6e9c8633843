"""Statements run inside their own transaction, with their own session's values and names."""

from typing import TYPE_CHECKING

from .checker import Checker
from .client_statement import ClientStatement

if TYPE_CHECKING:
    from .backend_door import BackendDoor


class PinnedChecker(Checker):
    rule = "PINNED"

    def ran(self, *, statement: ClientStatement, door: "BackendDoor") -> None:
        where = f"{statement.attempt.client} {statement.ident!r} at {door.backend.name}"
        attempt = statement.attempt
        if statement.alone:
            self.judge(fine=door.state == b"I", what=f"{where}: a single statement inside a transaction")
        else:
            self.judge(fine=door.state == b"T", what=f"{where}: outside its transaction")
            if attempt.place is None:
                self.judge(fine=door.owner is None, what=f"{where}: inside another's transaction")
                attempt.place, door.owner = door, attempt
            else:
                fine = attempt.place is door and door.owner is attempt
                self.judge(fine=fine, what=f"{where}: not where its transaction began")
        self.judge(
            fine=door.values == statement.values, what=f"{where}: values {door.values}, not {statement.values}"
        )
        if statement.shape is not None:
            shape = door.prepared.get(door.alias)
            self.judge(fine=shape == statement.shape, what=f"{where}: runs {shape}, prepared {statement.shape}")

    def unnamed(self, *, client: str, name: bytes) -> None:
        self.breach(what=f"{client}: {name!r} is unknown although its preparing was acknowledged")
