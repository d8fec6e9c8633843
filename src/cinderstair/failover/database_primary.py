"""Who leads a database, in which term, and which replicas hold all it has acknowledged."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

SETTLED, CLOSING, MOVING = "settled", "closing", "moving"
STATES = (SETTLED, CLOSING, MOVING)


def database_primary_key(*, database: str) -> str:
    return f"lead/{database}"


@dataclass(frozen=True, kw_only=True)
class DatabasePrimary:
    """The value of a database's lead key.

    closing: settled, and about to move as planned; what is open may finish, nothing new begins.

    inSync: durable at each of these, or not acknowledged; any of them may be promoted.
    joining: acknowledgements wait for these too, and they may not be promoted yet.
    heirs: hold all that earlier terms acknowledged; they count while nobody is in sync, since then
    nothing is acknowledged that they could lack.
    """

    term: int
    primary: str
    incarnation: int
    state: str
    in_sync: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()
    heirs: tuple[str, ...] = ()
    planned: bool = False

    @property
    def serves(self) -> bool:
        """Whether what is open may go on: settled, or closing before a planned move."""
        return self.state in (SETTLED, CLOSING)

    @property
    def confirmers(self) -> tuple[str, ...]:
        return (*self.in_sync, *self.joining)

    def bytes(self) -> bytes:
        packer = Packer().u64(value=self.term).text(value=self.primary).u64(value=self.incarnation)
        packer.u8(value=STATES.index(self.state)).u8(value=int(self.planned))
        for names in (self.in_sync, self.joining, self.heirs):
            packer.many(values=names, each=lambda p, n: p.text(value=n))
        return packer.bytes()


def read_database_primary(*, data: bytes) -> DatabasePrimary:
    unpacker = Unpacker(data=data)
    term, primary, incarnation = unpacker.u64(), unpacker.text(), unpacker.u64()
    state, planned = STATES[min(unpacker.u8(), len(STATES) - 1)], bool(unpacker.u8())
    in_sync, joining, heirs = (tuple(unpacker.many(each=lambda u: u.text())) for _ in range(3))
    unpacker.done()
    return DatabasePrimary(
        term=term,
        primary=primary,
        incarnation=incarnation,
        state=state,
        in_sync=in_sync,
        joining=joining,
        heirs=heirs,
        planned=planned,
    )
