"""Encodes the binary records that processes exchange and store on disk; ``unpacker`` decodes them."""

import struct
from collections.abc import Callable, Iterable
from typing import Self, TypeVar

T = TypeVar("T")


class Packer:
    """Appends fields in network byte order; every method returns the packer, so that calls can be chained.

    A value that does not fit its field raises struct.error.
    """

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def u8(self, *, value: int) -> Self:
        """Append an unsigned integer of 8 bits."""
        self.parts.append(struct.pack("!B", value))
        return self

    def u32(self, *, value: int) -> Self:
        """Append an unsigned integer of 32 bits."""
        self.parts.append(struct.pack("!I", value))
        return self

    def u64(self, *, value: int) -> Self:
        """Append an unsigned integer of 64 bits."""
        self.parts.append(struct.pack("!Q", value))
        return self

    def blob(self, *, value: bytes) -> Self:
        """Append the length in bytes as 32 bits, then the bytes."""
        self.parts.append(struct.pack("!I", len(value)))
        self.parts.append(value)
        return self

    def text(self, *, value: str) -> Self:
        """Append a text as a blob in UTF-8."""
        return self.blob(value=value.encode())

    def many(self, *, values: Iterable[T], each: Callable[["Packer", T], object]) -> Self:
        """Append the number of entries as 32 bits, then the entries.

        :param each: appends one entry to the packer that it is given.
        """
        entries = list(values)
        self.u32(value=len(entries))
        for entry in entries:
            each(self, entry)
        return self

    def bytes(self) -> bytes:
        """Return the record."""
        return b"".join(self.parts)
