"""Decodes the binary records that ``packer`` encodes; lengths and counts are checked before use."""

import struct
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


class Unpacker:
    """Reads fields in the order in which a ``Packer`` wrote them; every method raises ValueError if it can't.

    :param data: the record.
    :param version: the protocol version of the record, for records whose encoding has changed.
    """

    def __init__(self, *, data: bytes, version: int = 1) -> None:
        self.data = data
        self.version = version
        self.offset = 0

    def _take(self, *, size: int) -> bytes:
        end = self.offset + size
        # Slicing beyond the end raises no error; it returns fewer bytes.
        if end > len(self.data):
            raise ValueError(
                f"record of {len(self.data)} bytes ends within a field of {size} at offset {self.offset}"
            )
        part = self.data[self.offset : end]
        self.offset = end
        return part

    def u8(self) -> int:
        """Read an unsigned integer of 8 bits."""
        return self._take(size=1)[0]

    def u32(self) -> int:
        """Read an unsigned integer of 32 bits."""
        return int(struct.unpack("!I", self._take(size=4))[0])

    def u64(self) -> int:
        """Read an unsigned integer of 64 bits."""
        return int(struct.unpack("!Q", self._take(size=8))[0])

    def blob(self) -> bytes:
        """Read bytes that are preceded by their length."""
        return self._take(size=self.u32())

    def text(self) -> str:
        """Read a text in UTF-8."""
        return self.blob().decode()

    def many(self, *, each: Callable[["Unpacker"], T]) -> list[T]:
        """Read a list that is preceded by its number of entries.

        :param each: reads one entry from the unpacker that it is given.
        """
        count = self.u32()
        # Every entry takes at least one byte, so a larger count is rejected before it costs time or memory.
        if count > len(self.data) - self.offset:
            raise ValueError(f"record of {len(self.data)} bytes can't hold {count} entries from offset {self.offset}")
        return [each(self) for _ in range(count)]

    @property
    def more(self) -> bool:
        """Whether there are bytes left to read."""
        return self.offset < len(self.data)

    def done(self) -> None:
        """Raise ValueError if there are bytes left to read."""
        # Trailing data means that the sender and the receiver disagree on the encoding.
        if self.offset != len(self.data):
            raise ValueError(f"record of {len(self.data)} bytes has trailing data from offset {self.offset}")
