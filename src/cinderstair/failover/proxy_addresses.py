"""The table of proxy addresses, as the register keeps it: each proxy's site, and where other proxies reach it."""

from dataclasses import dataclass, field

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

# A key apart from that of the ids, since a daemon of an earlier version can't read a table of ids in another form.
PROXY_ADDRESSES_KEY = "places"


@dataclass(frozen=True, kw_only=True)
class ProxyAddress:
    """Where one proxy is.

    :param site: the site that it runs at, by its settings.
    :param records: the host and port at which it takes records of other proxies; empty where it takes none.
    """

    site: str
    records: str = ""


@dataclass(frozen=True, kw_only=True)
class ProxyAddresses:
    """`addresses` has each proxy's address by its name."""

    addresses: dict[str, ProxyAddress] = field(default_factory=dict)

    def bytes(self) -> bytes:
        """The table as it is kept in the register, sorted by name."""

        def write(packer: Packer, entry: tuple[str, ProxyAddress]) -> None:
            packer.text(value=entry[0]).text(value=entry[1].site).text(value=entry[1].records)

        return Packer().many(values=sorted(self.addresses.items()), each=write).bytes()


def read_proxy_addresses(*, data: bytes) -> ProxyAddresses:
    """Reads what `ProxyAddresses.bytes` wrote; raises ValueError on other bytes, and on none at all."""
    unpacker = Unpacker(data=data)
    entries = unpacker.many(each=lambda u: (u.text(), ProxyAddress(site=u.text(), records=u.text())))
    unpacker.done()
    return ProxyAddresses(addresses=dict(entries))
