"""The table of proxy ids, as the register keeps it: a small, stable number for each proxy."""

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
    """`names` has an entry for each proxy, in the order of the numbers.

    Invariant: a name keeps its number until it is freed. The lowest free number is taken next, so that the numbers
    stay dense.
    """

    names: tuple[ProxyId, ...] = ()

    def id_of(self, *, name: str) -> int | None:
        """A proxy's number; None where it has none."""
        return next((entry.number for entry in self.names if entry.name == name), None)

    @property
    def ids(self) -> tuple[int, ...]:
        """All numbers taken, in ascending order."""
        return tuple(entry.number for entry in self.names)

    def with_name(self, *, name: str) -> "ProxyIds":
        """The table in which the name has a number: its own where it has one, so that nobody's share changes."""
        if self.id_of(name=name) is not None:
            return self
        taken = set(self.ids)
        free = next(number for number in range(len(taken) + 1) if number not in taken)
        return ProxyIds(names=tuple(sorted([*self.names, ProxyId(number=free, name=name)])))

    def without(self, *, name: str) -> "ProxyIds":
        """The table in which the name has no number."""
        return ProxyIds(names=tuple(entry for entry in self.names if entry.name != name))

    def bytes(self) -> bytes:
        """The table as it is kept in the register."""

        def write(packer: Packer, entry: ProxyId) -> None:
            packer.u32(value=entry.number).text(value=entry.name)

        return Packer().many(values=self.names, each=write).bytes()


def read_proxy_ids(*, data: bytes) -> ProxyIds:
    """Reads what `ProxyIds.bytes` wrote; no bytes at all are the empty table. Raises ValueError on other bytes."""
    if not data:
        return ProxyIds()
    unpacker = Unpacker(data=data)
    names = unpacker.many(each=lambda u: ProxyId(number=u.u32(), name=u.text()))
    unpacker.done()
    return ProxyIds(names=tuple(names))
