"""The backends that may confirm commits of a service, as stored in the register."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

# The register's key of a service's record is this and the service's name. Proxies don't need these keys.
REPLICAS_PREFIX = "replicas/"


def recorded_replicas_key(*, service: str) -> str:
    """The register's key of a service's record."""
    return REPLICAS_PREFIX + service


@dataclass(frozen=True, kw_only=True)
class RecordedReplica:
    """A backend that has sent heartbeats.

    :param is_primary: whether it is the assigned primary.
    :param departed: whether it has deregistered.
    """

    name: str
    address: str
    is_primary: bool = False
    departed: bool = False

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded entry."""
        packer.text(value=self.name).text(value=self.address)
        packer.u8(value=int(self.is_primary)).u8(value=int(self.departed))


def _read_entry(unpacker: Unpacker) -> RecordedReplica:
    return RecordedReplica(
        name=unpacker.text(),
        address=unpacker.text(),
        is_primary=bool(unpacker.u8()),
        departed=bool(unpacker.u8()),
    )


@dataclass(frozen=True, kw_only=True)
class RecordedReplicas:
    """The backends of one service, sorted by name, its primary included."""

    entries: tuple[RecordedReplica, ...] = ()

    def bytes(self) -> bytes:
        """The encoded record, as stored in the register."""
        return Packer().many(values=self.entries, each=lambda packer, entry: entry.write(packer=packer)).bytes()


def read_recorded_replicas(*, data: bytes) -> RecordedReplicas:
    """Decodes the output of `RecordedReplicas.bytes`; raises ValueError on malformed input."""
    unpacker = Unpacker(data=data)
    entries = unpacker.many(each=_read_entry)
    unpacker.done()
    return RecordedReplicas(entries=tuple(entries))
