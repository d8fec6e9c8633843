"""The primary assignment of a database: its primary, term and in-sync replicas."""

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
    """The primary assignment of a database, as stored in the register.

    :param incarnation: incarnation of the primary's process; a higher one in its heartbeat means a restart. 0 if not
        known yet.
    :param state: `SETTLED`: the primary serves. `CLOSING`: a planned step down is due; open transactions may finish
        and no new ones start. `MOVING`: no backend serves until the new primary has been promoted.
    :param in_sync: the replicas at which every acknowledged commit is durable; any of them may be promoted.
    :param joining: the replicas for which acknowledgements wait too, but which may lack earlier commits and must not
        be promoted yet.
    :param successors: the replicas that hold every commit acknowledged in earlier terms. They may be promoted while
        no replica is in sync, since then no new commit is acknowledged.
    :param planned: whether the move is planned, so that it is short and clients may wait for its end.
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
        """Whether open transactions may continue: settled, or closing before a planned move."""
        return self.state in (SETTLED, CLOSING)

    @property
    def confirmers(self) -> tuple[str, ...]:
        """The replicas that must confirm each commit before it is acknowledged."""
        return (*self.in_sync, *self.joining)

    def bytes(self) -> bytes:
        """The encoded assignment, as stored in the register."""
        packer = Packer().u64(value=self.term).text(value=self.primary).u64(value=self.incarnation)
        packer.u8(value=STATES.index(self.state)).u8(value=int(self.planned))
        for names in (self.in_sync, self.joining, self.successors):
            packer.many(values=names, each=lambda p, n: p.text(value=n))
        return packer.bytes()


def read_database_primary(*, data: bytes) -> DatabasePrimary:
    """Decodes the output of `DatabasePrimary.bytes`; raises ValueError on malformed input."""
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
