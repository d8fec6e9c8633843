"""When a proxy last asked a controller, and how it votes on a proposed shard map."""

from dataclasses import dataclass

from ..failover.shard_state import Vote
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker


@dataclass(frozen=True, kw_only=True)
class ProxyContact:
    """`age_us` is how long ago the proxy asked; `vote` is about proposal number `proposal`."""

    name: str
    age_us: int
    proposal: int
    vote: Vote

    def write(self, *, packer: Packer) -> None:
        """Appends the record's fields in their order on the wire."""
        packer.text(value=self.name).u64(value=self.age_us).u64(value=self.proposal).u8(value=self.vote)


def read_proxy_contact(unpacker: Unpacker) -> ProxyContact:
    """Raises ValueError where the fields are none of a contact."""
    return ProxyContact(
        name=unpacker.text(), age_us=unpacker.u64(), proposal=unpacker.u64(), vote=Vote(unpacker.u8())
    )
