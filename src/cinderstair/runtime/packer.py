"""Writes the struct records that our processes send one another and keep on disk."""

import struct
from collections.abc import Callable, Iterable
from typing import Self, TypeVar

T = TypeVar("T")


class Packer:
    """Appends fields in network order; texts and bytes carry their length in front."""

    def __init__(self) -> None:
        self.parts: list[bytes] = []

    def u8(self, *, value: int) -> Self:
        self.parts.append(struct.pack("!B", value))
        return self

    def u32(self, *, value: int) -> Self:
        self.parts.append(struct.pack("!I", value))
        return self

    def u64(self, *, value: int) -> Self:
        self.parts.append(struct.pack("!Q", value))
        return self

    def blob(self, *, value: bytes) -> Self:
        self.parts.append(struct.pack("!I", len(value)))
        self.parts.append(value)
        return self

    def text(self, *, value: str) -> Self:
        return self.blob(value=value.encode())

    def many(self, *, values: Iterable[T], each: Callable[["Packer", T], object]) -> Self:
        """A counted list, each entry written by `each`."""
        entries = list(values)
        self.u32(value=len(entries))
        for entry in entries:
            each(self, entry)
        return self

    def bytes(self) -> bytes:
        return b"".join(self.parts)
