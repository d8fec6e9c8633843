"""A register replica's storage: two snapshot slots that are written alternately, each followed by a short log.

Slots and log entries carry a CRC-32 seeded with the slot's serial number, so that data left from an earlier use of
the same file fails the check.
"""

import struct
import zlib
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.disk import Disk
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .durable_state import DurableState, apply_entry, seal_entry

# magic, serial number, size of the body, its checksum
SLOT_HEAD = struct.Struct("!8sQII")
# magic, serial number, checksum of the two
LOG_HEAD = struct.Struct("!8sQI")
LOG_HEAD_CHECKED = struct.Struct("!8sQ")
# size of the entry, its checksum
ENTRY_HEAD = struct.Struct("!II")
# a magic ends with the number of the format
SLOT_MAGIC = b"CSSLOT01"
LOG_MAGIC = b"CSLOG001"
FORMAT = 1
SLOTS = ("slot-a", "slot-b")
LOGS = ("log-a", "log-b")
# a longer log is replaced by a new slot, which bounds what a start has to read
MAX_LOG_BYTES = 256 * 1024


@dataclass(frozen=True, kw_only=True)
class Slot:
    """The content of an intact slot; `index` is its position in SLOTS."""

    index: int
    serial: int
    body: bytes


def checksum(*, data: bytes, serial: int) -> int:
    """The CRC-32 of a slot's body or of a log entry."""
    return zlib.crc32(data, serial & 0xFFFFFFFF)


def format_of(*, data: bytes, magic: bytes) -> int:
    """The format number at the start of a file; 0 if the file does not start with this magic."""
    head = data[: len(magic)]
    letters = magic.rstrip(b"0123456789")
    number = head[len(letters) :]
    return int(number) if head.startswith(letters) and number.isdigit() else 0


class Store:
    """Owns the files of the durable state: each change is synced to the log, and a full log leads to a new slot."""

    def __init__(self, *, disk: Disk) -> None:
        self.disk = disk
        self.state = DurableState()
        # the slot and log in use; the serial number increases with each slot written
        self.slot = 0
        self.serial = 0
        self.log_bytes = 0
        # the length of an unfinished entry that a crash left at the end of the log
        self.torn_bytes = 0

    # -- opening --

    def open(self) -> Result["Store", CinderstairError]:
        """Reads the state, and drops an unfinished entry at the end of the log. Raises OSError if the disk fails.

        diskDamaged: the files are of a newer format, or damage may hide an entry that was synced.
        """
        newer = self._newer_format()
        # files of a newer version are not damaged, and must stay unchanged for that version
        if newer:
            reason = f"data folder: format {newer}; this version reads formats up to {FORMAT}. No file was changed"
            return Error(CinderstairError(code=ErrorCode.DISK_DAMAGED, reason=reason))
        read = [self._read_slot(index=index) for index in range(len(SLOTS))]
        slots = [slot for slot in read if slot is not None]
        if not slots:
            return self._open_without_slots()
        return self._open_with(slot=max(slots, key=lambda slot: (slot.serial, slot.index)))

    def _open_with(self, *, slot: Slot) -> Result["Store", CinderstairError]:
        self.slot, self.serial = slot.index, slot.serial
        for entry in Unpacker(data=slot.body).many(each=lambda u: u.blob()):
            apply_entry(state=self.state, entry=entry)
        # a sealed log means that the other slot was complete and in use; continuing from this one would lose votes
        if self._replay_log():
            return damaged(reason=f"{SLOTS[slot.index]} was followed by {SLOTS[1 - slot.index]}, which is damaged")
        self._switch_slot()
        return Ok(self)

    def _open_without_slots(self) -> Result["Store", CinderstairError]:
        slot_a, slot_b, log_a, log_b = (self.disk.read(name=name) for name in (*SLOTS, *LOGS))
        # the first slot is synced before its log is created, so a log without a slot means damage; a single damaged
        # slot is left by a first start that was interrupted before any answer
        if log_a or log_b or (slot_a and slot_b):
            return damaged(reason="both slots are damaged")
        self._switch_slot()
        return Ok(self)

    def _newer_format(self) -> int:
        """The highest format of any file, if it is newer than FORMAT; else 0."""
        magics = [*((name, SLOT_MAGIC) for name in SLOTS), *((name, LOG_MAGIC) for name in LOGS)]
        formats = [format_of(data=self.disk.read(name=name) or b"", magic=magic) for name, magic in magics]
        newest = max(formats)
        return newest if newest > FORMAT else 0

    def _read_slot(self, *, index: int) -> Slot | None:
        """Reads a slot; None if it is absent or damaged."""
        data = self.disk.read(name=SLOTS[index])
        if data is None or len(data) < SLOT_HEAD.size:
            return None
        magic, serial, size, check = SLOT_HEAD.unpack_from(data)
        body = data[SLOT_HEAD.size :]
        if magic != SLOT_MAGIC or len(body) != size or checksum(data=body, serial=serial) != check:
            return None
        return Slot(index=index, serial=serial, body=body)

    def _replay_log(self) -> bool:
        """Applies the entries of the log in use; whether the log is sealed."""
        data = self.disk.read(name=LOGS[self.slot]) or b""
        if not self._is_log_in_use(data=data):
            return False
        at = LOG_HEAD.size
        while at + ENTRY_HEAD.size <= len(data):
            size, check = ENTRY_HEAD.unpack_from(data, at)
            entry = data[at + ENTRY_HEAD.size : at + ENTRY_HEAD.size + size]
            # an entry that fails the check was not synced, so no answer depends on it or what follows
            if len(entry) != size or checksum(data=entry, serial=self.serial) != check:
                break
            if apply_entry(state=self.state, entry=entry):
                return True
            at += ENTRY_HEAD.size + size
        self.torn_bytes = len(data) - at
        return False

    def _is_log_in_use(self, *, data: bytes) -> bool:
        """Whether a log belongs to the slot in use; a log with an earlier serial number is obsolete."""
        if len(data) < LOG_HEAD.size:
            return False
        magic, serial, check = LOG_HEAD.unpack_from(data)
        return bool(
            magic == LOG_MAGIC and serial == self.serial and check == zlib.crc32(data[: LOG_HEAD_CHECKED.size])
        )

    # -- saving --

    def save(self, *, entries: list[bytes]) -> None:
        """Appends and syncs log entries. Raises OSError if the disk fails; the store must not be used after that."""
        self._append(entries=entries)
        if self.log_bytes > MAX_LOG_BYTES:
            self._switch_slot()

    def _append(self, *, entries: list[bytes]) -> None:
        heads = [ENTRY_HEAD.pack(len(entry), checksum(data=entry, serial=self.serial)) for entry in entries]
        data = b"".join(head + entry for head, entry in zip(heads, entries, strict=True))
        self.disk.append(name=LOGS[self.slot], data=data)
        self.log_bytes += len(data)

    def _switch_slot(self) -> None:
        """Writes the full state to the other slot, seals the old log and starts a new one."""
        slot, serial = 1 - self.slot, self.serial + 1
        body = Packer().many(values=self.state.entries(), each=lambda p, entry: p.blob(value=entry)).bytes()
        head = SLOT_HEAD.pack(SLOT_MAGIC, serial, len(body), checksum(data=body, serial=serial))
        self.disk.write(name=SLOTS[slot], data=head + body)
        # the old log is sealed once the new slot is complete, so that a later start can distinguish an unfinished
        # slot from a damaged one; before the first slot there is no log
        if self.serial:
            self._append(entries=[seal_entry()])
        self.slot, self.serial = slot, serial
        checked = LOG_HEAD_CHECKED.pack(LOG_MAGIC, serial)
        self.disk.write(name=LOGS[slot], data=checked + struct.pack("!I", zlib.crc32(checked)))
        self.log_bytes = 0


def damaged(*, reason: str) -> Result[Store, CinderstairError]:
    """The error for damage that may hide a synced entry."""
    return Error(
        CinderstairError(
            code=ErrorCode.DISK_DAMAGED,
            reason=f"data folder: {reason}; replace this register replica with a blank one",
        )
    )
