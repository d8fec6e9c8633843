"""Decodes the binary records that ``packer`` encodes; no length in a record is trusted."""

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
        # A slice beyond the end would be shorter than asked for, without an error.
        if end > len(self.data):
            raise ValueError("record too short")
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
        """Read bytes that have their length in front."""
        return self._take(size=self.u32())

    def text(self) -> str:
        """Read a text in UTF-8."""
        return self.blob().decode()

    def many(self, *, each: Callable[["Unpacker"], T]) -> list[T]:
        """Read a list that has its number of entries in front.

        :param each: reads one entry from the unpacker that it is given.
        """
        count = self.u32()
        # Every entry takes at least one byte; a larger count must not cost time or memory.
        if count > len(self.data) - self.offset:
            raise ValueError("count beyond record")
        return [each(self) for _ in range(count)]

    @property
    def more(self) -> bool:
        """Whether anything is left to read."""
        return self.offset < len(self.data)

    def done(self) -> None:
        """Check that the whole record has been read."""
        # Otherwise the two sides disagree on the encoding.
        if self.offset != len(self.data):
            raise ValueError("bytes left over")
