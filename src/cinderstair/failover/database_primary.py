"""The assignment of a database's primary: in which term, and which replicas hold all it has acknowledged."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

SETTLED, CLOSING, MOVING = "settled", "closing", "moving"
STATES = (SETTLED, CLOSING, MOVING)


def database_primary_key(*, database: str) -> str:
    """The register's key of a database's assignment."""
    return f"lead/{database}"


@dataclass(frozen=True, kw_only=True)
class DatabasePrimary:
    """A database's assignment, as the register keeps it.

    :param incarnation: of the primary's process; a higher one in its heartbeat means that it was restarted. 0 for
        one that is not known yet.
    :param state: `SETTLED`: the primary serves. `CLOSING`: it is about to step down as planned; open transactions
        may finish, and none begins. `MOVING`: nobody serves.
    :param in_sync: the replicas at which every acknowledged commit is durable; any of them may be promoted.
    :param joining: the replicas for which acknowledgements wait as well, and which may not be promoted yet.
    :param successors: the replicas that hold all that earlier terms acknowledged. They count while nobody is in
        sync, since then nothing is acknowledged that they could lack.
    :param planned: whether the old primary serves until the move, so that clients may wait for its end.
    """

    term: int
    primary: str
    incarnation: int
    state: str
    in_sync: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()
    successors: tuple[str, ...] = ()
    planned: bool = False

    @property
    def serves(self) -> bool:
        """Whether what is open may go on: settled, or closing before a planned move."""
        return self.state in (SETTLED, CLOSING)

    @property
    def confirmers(self) -> tuple[str, ...]:
        """The replicas for which each acknowledgement waits."""
        return (*self.in_sync, *self.joining)

    def bytes(self) -> bytes:
        """The assignment as it is kept in the register."""
        packer = Packer().u64(value=self.term).text(value=self.primary).u64(value=self.incarnation)
        packer.u8(value=STATES.index(self.state)).u8(value=int(self.planned))
        for names in (self.in_sync, self.joining, self.successors):
            packer.many(values=names, each=lambda p, n: p.text(value=n))
        return packer.bytes()


def read_database_primary(*, data: bytes) -> DatabasePrimary:
    """Reads what `DatabasePrimary.bytes` wrote; raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    term, primary, incarnation = unpacker.u64(), unpacker.text(), unpacker.u64()
    state, planned = STATES[min(unpacker.u8(), len(STATES) - 1)], bool(unpacker.u8())
    in_sync, joining, successors = (tuple(unpacker.many(each=lambda u: u.text())) for _ in range(3))
    unpacker.done()
    return DatabasePrimary(
        term=term,
        primary=primary,
        incarnation=incarnation,
        state=state,
        in_sync=in_sync,
        joining=joining,
        successors=successors,
        planned=planned,
    )
