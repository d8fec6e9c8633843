"""Reads struct records, bounded: a record that lies about its lengths is an error, never a crash."""

import struct
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


class Unpacker:
    """Takes fields off a record in the order in which a Packer wrote them; raises ValueError if it can't."""

    def __init__(self, *, data: bytes, version: int = 1) -> None:
        self.data = data
        self.version = version
        self.at = 0

    def _take(self, *, size: int) -> bytes:
        end = self.at + size
        # why: a short record must never be read as if zeros followed it
        if end > len(self.data):
            raise ValueError("record too short")
        part = self.data[self.at : end]
        self.at = end
        return part

    def u8(self) -> int:
        return self._take(size=1)[0]

    def u32(self) -> int:
        return int(struct.unpack("!I", self._take(size=4))[0])

    def u64(self) -> int:
        return int(struct.unpack("!Q", self._take(size=8))[0])

    def blob(self) -> bytes:
        return self._take(size=self.u32())

    def text(self) -> str:
        return self.blob().decode()

    def many(self, *, each: Callable[["Unpacker"], T]) -> list[T]:
        count = self.u32()
        # why: every entry takes a byte at least, so a larger count is a lie and must not be looped over
        if count > len(self.data) - self.at:
            raise ValueError("count beyond record")
        return [each(self) for _ in range(count)]

    @property
    def more(self) -> bool:
        """Whether anything is left to read."""
        return self.at < len(self.data)

    def done(self) -> None:
        # why: bytes left over mean that the two sides disagree on the shape
        if self.at != len(self.data):
            raise ValueError("bytes left over")
