"""The table of proxy ids in the register: a small, stable number for each proxy."""

from dataclasses import dataclass
from typing import NamedTuple

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

PROXY_IDS_KEY = "slots"


class ProxyId(NamedTuple):
    """A proxy's number, from 0 up, and its name."""

    number: int
    name: str


@dataclass(frozen=True, kw_only=True)
class ProxyIds:
    """The ids of all proxies, in ascending order of their numbers.

    Invariant: a name keeps its number until it is freed. The lowest free number is allocated next, so the numbers
    stay dense.
    """

    names: tuple[ProxyId, ...] = ()

    def id_of(self, *, name: str) -> int | None:
        """A proxy's number; None if it has none."""
        return next((entry.number for entry in self.names if entry.name == name), None)

    @property
    def ids(self) -> tuple[int, ...]:
        """All allocated numbers, in ascending order."""
        return tuple(entry.number for entry in self.names)

    def with_name(self, *, name: str) -> "ProxyIds":
        """The table with a number for the name; unchanged if it has one, so that no proxy's subset changes."""
        if self.id_of(name=name) is not None:
            return self
        taken = set(self.ids)
        free = next(number for number in range(len(taken) + 1) if number not in taken)
        return ProxyIds(names=tuple(sorted([*self.names, ProxyId(number=free, name=name)])))

    def without(self, *, name: str) -> "ProxyIds":
        """The table without the name."""
        return ProxyIds(names=tuple(entry for entry in self.names if entry.name != name))

    def bytes(self) -> bytes:
        """The encoded table, as stored in the register."""

        def write(packer: Packer, entry: ProxyId) -> None:
            packer.u32(value=entry.number).text(value=entry.name)

        return Packer().many(values=self.names, each=write).bytes()


def read_proxy_ids(*, data: bytes) -> ProxyIds:
    """Decodes the output of `ProxyIds.bytes`; empty input is the empty table. Raises ValueError if malformed."""
    if not data:
        return ProxyIds()
    unpacker = Unpacker(data=data)
    names = unpacker.many(each=lambda u: ProxyId(number=u.u32(), name=u.text()))
    unpacker.done()
    return ProxyIds(names=tuple(names))
