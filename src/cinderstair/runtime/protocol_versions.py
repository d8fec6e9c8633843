"""The protocol versions that a process supports, and the header that states the version of a message."""

from dataclasses import dataclass
from typing import NamedTuple

from .message_types import MESSAGE_TYPES_BY_VERSION
from .packer import Packer
from .unpacker import Unpacker

# No message type has this bit set. A process that supports only version 1 therefore reads a version header as an
# unknown message type and drops the message.
VERSION_FLAG = 0x80

# Messages of the first version have no version header.
FIRST_VERSION = 1

# Means "no version" in the result of ``highest_common`` and in a version rejection.
NO_VERSION = 0


@dataclass(frozen=True, kw_only=True)
class ProtocolVersions:
    """The range of protocol versions that a process supports: normally its own and the one before.

    :ivar lowest: the lowest supported version, at least 1.
    :ivar highest: the highest supported version.
    """

    lowest: int
    highest: int

    def highest_common(self, *, other: "ProtocolVersions") -> int:
        """Return the highest version that both ranges contain, or ``NO_VERSION`` if they don't overlap."""
        version = min(self.highest, other.highest)
        return version if version >= max(self.lowest, other.lowest) else NO_VERSION

    def supports_version(self, *, version: int) -> bool:
        """Return whether messages of this version can be read."""
        return self.lowest <= version <= self.highest

    def supports_type(self, *, message_type: int) -> bool:
        """Return whether the highest supported version has this message type; False for an unknown number."""
        newest_table = MESSAGE_TYPES_BY_VERSION[min(self.highest, max(MESSAGE_TYPES_BY_VERSION))]
        return message_type in newest_table

    def write(self, *, packer: Packer) -> Packer:
        """Append both ends of the range to a message, and return the packer."""
        return packer.u8(value=self.lowest).u8(value=self.highest)

    def __str__(self) -> str:
        return f"{self.lowest} to {self.highest}"


PROTOCOL_VERSIONS = ProtocolVersions(lowest=1, highest=2)
"""The versions that this release supports."""


class VersionedMessage(NamedTuple):
    """A message without its version header, and the version that the header stated."""

    version: int
    body: bytes


def read_protocol_versions(*, unpacker: Unpacker) -> ProtocolVersions:
    """Read what ``ProtocolVersions.write`` wrote.

    :raises ValueError: if the message is too short.
    """
    return ProtocolVersions(lowest=unpacker.u8(), highest=unpacker.u8())


def add_version_header(*, version: int, body: bytes) -> bytes:
    """Return the message with its version in front; version 1 has no header."""
    return body if version == FIRST_VERSION else bytes([VERSION_FLAG | version]) + body


def split_version_header(*, data: bytes) -> VersionedMessage:
    """Separate a message from its version header; a message without one is of version 1."""
    if data and data[0] & VERSION_FLAG:
        return VersionedMessage(data[0] & ~VERSION_FLAG, data[1:])
    return VersionedMessage(FIRST_VERSION, data)


def version_rejection(*, protocol_versions: ProtocolVersions) -> bytes:
    """Encode the response to a message of an unsupported version: it states the supported ones.

    Version 0 in a header marks a rejection and nothing else.
    """
    return protocol_versions.write(packer=Packer().u8(value=VERSION_FLAG | NO_VERSION)).bytes()


def read_version_rejection(*, data: bytes) -> ProtocolVersions | None:
    """Return the versions that a rejection states, or None if the response is not a rejection."""
    if len(data) != 3 or data[0] != VERSION_FLAG | NO_VERSION:
        return None
    return ProtocolVersions(lowest=data[1], highest=data[2])
