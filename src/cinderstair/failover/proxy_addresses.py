"""The table of places: where each proxy stands, and where other proxies reach it."""

from dataclasses import dataclass, field

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

# why: a key of its own, since a daemon of an earlier version can't read a slot table of another shape
PROXY_ADDRESSES_KEY = "places"


@dataclass(frozen=True, kw_only=True)
class ProxyAddress:
    """`records` is the address at which a proxy takes records of other proxies; empty where it takes none."""

    site: str
    records: str = ""


@dataclass(frozen=True, kw_only=True)
class ProxyAddresses:
    places: dict[str, ProxyAddress] = field(default_factory=dict)

    def bytes(self) -> bytes:
        def write(packer: Packer, entry: tuple[str, ProxyAddress]) -> None:
            packer.text(value=entry[0]).text(value=entry[1].site).text(value=entry[1].records)

        return Packer().many(values=sorted(self.places.items()), each=write).bytes()


def read_proxy_addresses(*, data: bytes) -> ProxyAddresses:
    """Raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    entries = unpacker.many(each=lambda u: (u.text(), ProxyAddress(site=u.text(), records=u.text())))
    unpacker.done()
    return ProxyAddresses(places=dict(entries))
