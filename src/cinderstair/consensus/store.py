"""A register replica's disk: two slots written in turn, a short log between."""

import struct
import zlib
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from ..runtime.disk import Disk
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .ballot import read_ballot
from .cell import Cell

SLOT_HEAD = struct.Struct("!8sQII")
LOG_HEAD = struct.Struct("!8sQI")
ENTRY_HEAD = struct.Struct("!II")
SLOT_MAGIC = b"CSSLOT01"
LOG_MAGIC = b"CSLOG001"
FORMAT = 1
SLOTS = ("slot-a", "slot-b")
LOGS = ("log-a", "log-b")
LOG_MOST_BYTES = 256 * 1024
CELL, ROSTER, IDENT, SEALED = 1, 2, 3, 4


@dataclass(kw_only=True)
class Held:
    """All that a register replica must not forget."""

    ident: int = 0
    roster: bytes = b""
    cells: dict[str, Cell] = field(default_factory=dict)


def cell_entry(*, key: str, cell: Cell) -> bytes:
    packer = Packer().u8(value=CELL).text(value=key)
    cell.promised.write(packer=packer)
    cell.accepted.write(packer=packer)
    return packer.blob(value=cell.value).bytes()


def roster_entry(*, data: bytes) -> bytes:
    return Packer().u8(value=ROSTER).blob(value=data).bytes()


def ident_entry(*, ident: int) -> bytes:
    return Packer().u8(value=IDENT).u64(value=ident).bytes()


def apply_entry(*, held: Held, entry: bytes) -> bool:
    """Takes one log entry into the state; True where it says that the log was sealed."""
    unpacker = Unpacker(data=entry)
    kind = unpacker.u8()
    if kind == CELL:
        key = unpacker.text()
        promised, accepted = read_ballot(unpacker=unpacker), read_ballot(unpacker=unpacker)
        held.cells[key] = Cell(promised=promised, accepted=accepted, value=unpacker.blob())
    elif kind == ROSTER:
        held.roster = unpacker.blob()
    elif kind == IDENT:
        held.ident = unpacker.u64()
    elif kind == SEALED:
        return True
    else:
        raise ValueError(f"log entry of kind {kind}")
    return False


class Store:
    """Every change is appended and synced before anyone is answered; a full log makes the slots take turns."""

    def __init__(self, *, disk: Disk) -> None:
        self.disk = disk
        self.held = Held()
        self.turn = 0
        self.serial = 0
        self.log_bytes = 0
        self.torn_bytes = 0

    def open(self) -> Result["Store", CinderstairError]:
        """Reads the state back, cutting a torn tail; damage that may hide a synced entry is an error."""
        newer = self._newer()
        # why: what a later version wrote is not damage, and must stay as it is for that version to read
        if newer:
            why = f"data folder: format {newer}, and {FORMAT} is the newest that is read here; nothing is changed"
            return Error(CinderstairError(code=ErrorCode.DISK_DAMAGED, reason=why))
        slots = [self._read_slot(turn=turn) for turn in (0, 1)]
        if all(slot is None for slot in slots):
            return self._open_without()
        good = [(slot[0], turn) for turn, slot in enumerate(slots) if slot is not None]
        serial, turn = max(good)
        body = slots[turn][1]  # type: ignore[index]
        self.turn, self.serial = turn, serial
        for entry in Unpacker(data=body).many(each=lambda u: u.blob()):
            apply_entry(held=self.held, entry=entry)
        sealed = self._replay(turn=turn, serial=serial)
        # why: a sealed log says that the other slot was whole and in use; to go on here would forget votes
        if sealed:
            return damaged(why=f"{SLOTS[turn]} was followed by {SLOTS[1 - turn]}, which is damaged")
        self._turn_over()
        return Ok(self)

    def _newer(self) -> int:
        """The format of a later version, where any file is in one; else 0."""
        formats = [0]
        for name, mark in zip((*SLOTS, *LOGS), (SLOT_MAGIC, SLOT_MAGIC, LOG_MAGIC, LOG_MAGIC), strict=True):
            head = (self.disk.read(name=name) or b"")[: len(mark)]
            letters = mark.rstrip(b"0123456789")
            number = head[len(letters) :]
            if head.startswith(letters) and number.isdigit() and int(number) > FORMAT:
                formats.append(int(number))
        return max(formats)

    def _open_without(self) -> Result["Store", CinderstairError]:
        raw = [self.disk.read(name=name) for name in (*SLOTS, *LOGS)]
        slot_a, slot_b, log_a, log_b = raw
        # why: the first slot is synced before any log is begun, so a log without a slot means damage;
        # a lone torn first slot is a first start that was cut short, before anything was answered
        if log_a or log_b or (slot_a and slot_b):
            return damaged(why="both slots are damaged")
        self._turn_over()
        return Ok(self)

    def _read_slot(self, *, turn: int) -> tuple[int, bytes] | None:
        data = self.disk.read(name=SLOTS[turn])
        if data is None or len(data) < SLOT_HEAD.size:
            return None
        magic, serial, size, check = SLOT_HEAD.unpack_from(data)
        body = data[SLOT_HEAD.size :]
        if magic != SLOT_MAGIC or len(body) != size or zlib.crc32(body, serial & 0xFFFFFFFF) != check:
            return None
        return serial, body

    def _replay(self, *, turn: int, serial: int) -> bool:
        data = self.disk.read(name=LOGS[turn]) or b""
        if len(data) < LOG_HEAD.size:
            return False
        magic, log_serial, check = LOG_HEAD.unpack_from(data)
        # why: a log of an earlier turn is left over from before this slot was written, and holds nothing new
        if magic != LOG_MAGIC or log_serial != serial or check != zlib.crc32(data[: LOG_HEAD.size - 4]):
            return False
        at = LOG_HEAD.size
        while at + ENTRY_HEAD.size <= len(data):
            size, check = ENTRY_HEAD.unpack_from(data, at)
            entry = data[at + ENTRY_HEAD.size : at + ENTRY_HEAD.size + size]
            # why: the first entry that does not check out was never synced, so nobody was answered on it
            if len(entry) != size or zlib.crc32(entry, serial & 0xFFFFFFFF) != check:
                break
            if apply_entry(held=self.held, entry=entry):
                return True
            at += ENTRY_HEAD.size + size
        self.torn_bytes = len(data) - at
        return False

    def _state_entries(self) -> list[bytes]:
        entries = [ident_entry(ident=self.held.ident), roster_entry(data=self.held.roster)]
        entries += [cell_entry(key=key, cell=cell) for key, cell in sorted(self.held.cells.items())]
        return entries

    def _turn_over(self) -> None:
        turn, serial = 1 - self.turn, self.serial + 1
        body = Packer().many(values=self._state_entries(), each=lambda p, e: p.blob(value=e)).bytes()
        check = zlib.crc32(body, serial & 0xFFFFFFFF)
        self.disk.write(name=SLOTS[turn], data=SLOT_HEAD.pack(SLOT_MAGIC, serial, len(body), check) + body)
        # why: sealing the old log after the new slot is whole lets a later start tell a torn slot from a lost one
        if self.serial:
            self._append(turn=self.turn, serial=self.serial, entries=[Packer().u8(value=SEALED).bytes()])
        self.turn, self.serial = turn, serial
        head = LOG_MAGIC + struct.pack("!Q", serial)
        self.disk.write(name=LOGS[turn], data=head + struct.pack("!I", zlib.crc32(head)))
        self.log_bytes = 0

    def _append(self, *, turn: int, serial: int, entries: list[bytes]) -> None:
        data = b"".join(
            ENTRY_HEAD.pack(len(entry), zlib.crc32(entry, serial & 0xFFFFFFFF)) + entry for entry in entries
        )
        self.disk.append(name=LOGS[turn], data=data)
        self.log_bytes += len(data)

    def save(self, *, entries: list[bytes]) -> None:
        """Appends and syncs; raises OSError where the disk fails, after which the store must not be used."""
        self._append(turn=self.turn, serial=self.serial, entries=entries)
        # why: the log stays short, so a start reads little
        if self.log_bytes > LOG_MOST_BYTES:
            self._turn_over()


def damaged(*, why: str) -> Result[Store, CinderstairError]:
    return Error(
        CinderstairError(
            code=ErrorCode.DISK_DAMAGED, reason=f"data folder: {why}; replace this register replica with a blank one"
        )
    )
