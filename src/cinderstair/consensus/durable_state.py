"""The durable state of a register replica, and the log entries that record its changes."""

from dataclasses import dataclass, field
from enum import IntEnum

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .ballot import read_ballot
from .cell import Cell


class EntryKind(IntEnum):
    """The first byte of a log entry. The numbers are part of the disk format."""

    CELL = 1
    ROSTER = 2
    IDENT = 3
    # the last entry of a log: the other slot has been written completely and replaces this one
    SEALED = 4


@dataclass(kw_only=True)
class DurableState:
    """A replica's identity (0 on a blank disk), its encoded roster (empty if there is none), and its cells by key."""

    ident: int = 0
    roster: bytes = b""
    cells: dict[str, Cell] = field(default_factory=dict)

    def entries(self) -> list[bytes]:
        """The log entries that reproduce this state from a blank one."""
        cells = [cell_entry(key=key, cell=cell) for key, cell in sorted(self.cells.items())]
        return [ident_entry(ident=self.ident), roster_entry(data=self.roster), *cells]


def cell_entry(*, key: str, cell: Cell) -> bytes:
    """The log entry that sets a key's cell."""
    packer = Packer().u8(value=EntryKind.CELL).text(value=key)
    cell.promised.write(packer=packer)
    cell.accepted.write(packer=packer)
    return packer.blob(value=cell.value).bytes()


def roster_entry(*, data: bytes) -> bytes:
    """The log entry that sets the roster, given in its encoded form."""
    return Packer().u8(value=EntryKind.ROSTER).blob(value=data).bytes()


def ident_entry(*, ident: int) -> bytes:
    """The log entry that sets the identity."""
    return Packer().u8(value=EntryKind.IDENT).u64(value=ident).bytes()


def seal_entry() -> bytes:
    """The log entry that closes a log; nothing is appended after it."""
    return Packer().u8(value=EntryKind.SEALED).bytes()


def apply_entry(*, state: DurableState, entry: bytes) -> bool:
    """Applies one log entry to the state; whether it seals the log. Raises ValueError if it is malformed."""
    unpacker = Unpacker(data=entry)
    kind = unpacker.u8()
    if kind == EntryKind.CELL:
        key = unpacker.text()
        promised, accepted = read_ballot(unpacker=unpacker), read_ballot(unpacker=unpacker)
        state.cells[key] = Cell(promised=promised, accepted=accepted, value=unpacker.blob())
    elif kind == EntryKind.ROSTER:
        state.roster = unpacker.blob()
    elif kind == EntryKind.IDENT:
        state.ident = unpacker.u64()
    elif kind != EntryKind.SEALED:
        raise ValueError(f"unknown kind of log entry: {kind}")
    return kind == EntryKind.SEALED
