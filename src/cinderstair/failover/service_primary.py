"""The primary assignment of a service, as stored in the register."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.packer import Packer
from ..runtime.position import START, Position
from ..runtime.unpacker import Unpacker


class PrimaryState(IntEnum):
    """What proxies may do at the primary. The names appear in status texts.

    settled: the primary serves. closing: open transactions may finish and no new ones start. moving: no backend
    serves until the new primary has been promoted.
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
    """The primary assignment of a service whose backends confirm commits themselves.

    :param term: increases with each new primary.
    :param primary: the name of the backend.
    :param fence: while moving, a log position at or after every acknowledged commit; the new primary has it. START
        until it is known, that is while a proxy may still acknowledge commits of the old primary.
    :param ready_in_us: estimated time from this assignment until the primary serves, in microseconds.
    :param planned: whether the old primary was asked to step down.
    :param revision: increases with each change, which distinguishes assignments that are equal otherwise.
    """

    term: int
    primary: str
    state: PrimaryState
    fence: Position = START
    ready_in_us: int = 0
    planned: bool = False
    revision: int = 0

    @property
    def fence_pending(self) -> bool:
        """Whether a new primary is chosen, but the fence is not known yet."""
        return self.state == PrimaryState.moving and self.fence == START

    @property
    def fence_known(self) -> bool:
        """Whether a new primary is chosen, and its fence is known."""
        return self.state == PrimaryState.moving and not self.fence_pending

    def bytes(self) -> bytes:
        """The encoded assignment, as stored in the register."""
        packer = Packer().u64(value=self.term).text(value=self.primary).u8(value=self.state)
        packer.u64(value=self.fence.term).u64(value=self.fence.number).u64(value=self.ready_in_us)
        return packer.u8(value=int(self.planned)).u64(value=self.revision).bytes()


def read_service_primary(*, data: bytes) -> ServicePrimary:
    """Decodes the output of `ServicePrimary.bytes`; raises ValueError on malformed input."""
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
