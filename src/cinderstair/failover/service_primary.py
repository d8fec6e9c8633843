"""The assignment of a service's primary, as the register keeps it."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.packer import Packer
from ..runtime.position import START, Position
from ..runtime.unpacker import Unpacker


class PrimaryState(IntEnum):
    """What proxies may do at the primary. The names appear in operators' texts.

    settled: the primary serves. closing: open transactions may end, and none begins. moving: nobody serves.
    """

    settled = 0
    closing = 1
    moving = 2


# The key of a service's assignment is this and the service's name.
PREFIX = "service/"


def service_primary_key(*, service: str) -> str:
    """The register's key of a service's assignment."""
    return PREFIX + service


@dataclass(frozen=True, kw_only=True)
class ServicePrimary:
    """An assignment of a service whose backends confirm commits themselves.

    :param term: rises with each primary.
    :param primary: the name of the backend.
    :param fence: while moving, a position at or past every commit that was ever acknowledged; the primary has it.
    :param ready_in_us: how long the move is expected to take from this assignment on, in microseconds; an estimate.
    :param planned: whether the old primary was asked to step down.
    :param revision: rises with each change of the assignment, so that two equal ones are told apart.
    """

    term: int
    primary: str
    state: PrimaryState
    fence: Position = START
    ready_in_us: int = 0
    planned: bool = False
    revision: int = 0

    def bytes(self) -> bytes:
        """The assignment as it is kept in the register."""
        packer = Packer().u64(value=self.term).text(value=self.primary).u8(value=self.state)
        packer.u64(value=self.fence.term).u64(value=self.fence.number).u64(value=self.ready_in_us)
        return packer.u8(value=int(self.planned)).u64(value=self.revision).bytes()


def read_service_primary(*, data: bytes) -> ServicePrimary:
    """Reads what `ServicePrimary.bytes` wrote; raises ValueError on other bytes."""
    unpacker = Unpacker(data=data)
    assignment = ServicePrimary(
        term=unpacker.u64(),
        primary=unpacker.text(),
        state=PrimaryState(unpacker.u8()),
        fence=Position(unpacker.u64(), unpacker.u64()),
        ready_in_us=unpacker.u64(),
        planned=bool(unpacker.u8()),
        revision=unpacker.u64(),
    )
    unpacker.done()
    return assignment
