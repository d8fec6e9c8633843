"""Which versions of the records a daemon reads and writes, and how a record says its own."""

from dataclasses import dataclass

from .message_types import MESSAGE_TYPES_BY_VERSION

# why: no kind of record reaches this bit, so a daemon of the first version takes a wrapped record for an
# unknown kind and drops it, as it drops everything that it does not know
WRAPPED = 0x80


@dataclass(frozen=True, kw_only=True)
class ProtocolVersions:
    """From the lowest to the highest version; a daemon speaks its own and the one before."""

    lowest: int
    highest: int

    def agreed(self, *, other: "ProtocolVersions") -> int:
        """The highest version that both speak; 0 where there is none."""
        version = min(self.highest, other.highest)
        return version if version >= max(self.lowest, other.lowest) else 0

    def reads(self, *, version: int) -> bool:
        return self.lowest <= version <= self.highest

    def knows(self, *, kind: int) -> bool:
        """Whether the tables of this daemon's own version have the kind at all."""
        return kind in MESSAGE_TYPES_BY_VERSION[min(self.highest, max(MESSAGE_TYPES_BY_VERSION))]

    def __str__(self) -> str:
        return f"{self.lowest} to {self.highest}"


PROTOCOL_VERSIONS = ProtocolVersions(lowest=1, highest=2)


def wrapped(*, version: int, body: bytes) -> bytes:
    """A record with its version in front; the first version went without one."""
    return body if version == 1 else bytes([WRAPPED | version]) + body


def unwrapped(*, data: bytes) -> tuple[int, bytes]:
    if data and data[0] & WRAPPED:
        return data[0] & ~WRAPPED, data[1:]
    return 1, data


def denial(*, protocol_versions: ProtocolVersions) -> bytes:
    """What is said to a record of a version that is not spoken here. Version 0 is never anything else."""
    return bytes([WRAPPED, protocol_versions.lowest, protocol_versions.highest])
