"""When a proxy last asked a controller, and how it votes on a proposed shard map."""

from dataclasses import dataclass

from ..failover.shard_state import Vote
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker


@dataclass(frozen=True, kw_only=True)
class ProxyContact:
    """A proxy's last request to one controller.

    :ivar age_us: time since that request
    :ivar vote: the proxy's vote on proposal number `proposal`
    """

    name: str
    age_us: int
    proposal: int
    vote: Vote

    def write(self, *, packer: Packer) -> None:
        """Appends the fields in wire order."""
        packer.text(value=self.name).u64(value=self.age_us).u64(value=self.proposal).u8(value=self.vote)


def read_proxy_contact(unpacker: Unpacker) -> ProxyContact:
    """Reads what ProxyContact.write appended; raises ValueError for an unknown vote or a truncated record."""
    return ProxyContact(
        name=unpacker.text(), age_us=unpacker.u64(), proposal=unpacker.u64(), vote=Vote(unpacker.u8())
    )
