"""The slot table: each HTTP proxy's dense, stable id."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

PROXY_IDS_KEY = "slots"


@dataclass(frozen=True, kw_only=True)
class ProxyIds:
    """Names by id. A name keeps its id until it is freed; the lowest free id is used next."""

    names: tuple[tuple[int, str], ...] = ()

    def id_of(self, *, name: str) -> int | None:
        return next((number for number, owner in self.names if owner == name), None)

    @property
    def ids(self) -> tuple[int, ...]:
        return tuple(number for number, _ in self.names)

    def with_name(self, *, name: str) -> "ProxyIds":
        # why: a daemon that comes back under its name finds its old id, and nobody's share changes
        if self.id_of(name=name) is not None:
            return self
        taken = set(self.ids)
        free = next(number for number in range(len(taken) + 1) if number not in taken)
        return ProxyIds(names=tuple(sorted([*self.names, (free, name)])))

    def without(self, *, name: str) -> "ProxyIds":
        return ProxyIds(names=tuple(entry for entry in self.names if entry[1] != name))

    def bytes(self) -> bytes:
        return Packer().many(values=self.names, each=lambda p, e: p.u32(value=e[0]).text(value=e[1])).bytes()


def read_proxy_ids(*, data: bytes) -> ProxyIds:
    if not data:
        return ProxyIds()
    unpacker = Unpacker(data=data)
    names = unpacker.many(each=lambda u: (u.u32(), u.text()))
    unpacker.done()
    return ProxyIds(names=tuple(names))
