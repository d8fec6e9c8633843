"""The table of proxy addresses in the register: the site of each proxy and its address for other proxies."""

from dataclasses import dataclass, field

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

# Separate from the key of the ids, since earlier versions can't read a table of ids in another format.
PROXY_ADDRESSES_KEY = "places"


@dataclass(frozen=True, kw_only=True)
class ProxyAddress:
    """The location of one proxy.

    :param site: its site, from its settings.
    :param records: host and port at which it accepts records from other proxies; empty if it accepts none.
    """

    site: str
    records: str = ""


@dataclass(frozen=True, kw_only=True)
class ProxyAddresses:
    """The addresses of proxies by name."""

    addresses: dict[str, ProxyAddress] = field(default_factory=dict)

    def bytes(self) -> bytes:
        """The encoded table, as stored in the register, sorted by name."""

        def write(packer: Packer, entry: tuple[str, ProxyAddress]) -> None:
            packer.text(value=entry[0]).text(value=entry[1].site).text(value=entry[1].records)

        return Packer().many(values=sorted(self.addresses.items()), each=write).bytes()


def read_proxy_addresses(*, data: bytes) -> ProxyAddresses:
    """Decodes the output of `ProxyAddresses.bytes`; raises ValueError on malformed or empty input."""
    unpacker = Unpacker(data=data)
    entries = unpacker.many(each=lambda u: (u.text(), ProxyAddress(site=u.text(), records=u.text())))
    unpacker.done()
    return ProxyAddresses(addresses=dict(entries))
