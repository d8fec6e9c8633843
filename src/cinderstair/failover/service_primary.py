"""Who leads a service whose backends confirm commits themselves."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.packer import Packer
from ..runtime.position import START, Position
from ..runtime.unpacker import Unpacker


class PrimaryState(IntEnum):
    """settled: the primary serves. closing: open transactions may end, nothing begins. moving: nobody serves."""

    settled = 0
    closing = 1
    moving = 2


PREFIX = "service/"


def service_primary_key(*, service: str) -> str:
    return PREFIX + service


@dataclass(frozen=True, kw_only=True)
class ServicePrimary:
    """The register's word on a service.

    `fence`, while moving, is at or past every commit that was ever acknowledged; the one placed holds it.
    `turn` rises with each word, so that two that say the same are told apart.
    `ready_in_us` is how long the move is expected to take from this word on; no promise.
    """

    term: int
    primary: str
    state: PrimaryState
    fence: Position = START
    ready_in_us: int = 0
    planned: bool = False
    turn: int = 0

    def bytes(self) -> bytes:
        packer = Packer().u64(value=self.term).text(value=self.primary).u8(value=self.state)
        packer.u64(value=self.fence.term).u64(value=self.fence.number).u64(value=self.ready_in_us)
        return packer.u8(value=int(self.planned)).u64(value=self.turn).bytes()


def read_service_primary(*, data: bytes) -> ServicePrimary:
    """Raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    lead = ServicePrimary(
        term=unpacker.u64(),
        primary=unpacker.text(),
        state=PrimaryState(unpacker.u8()),
        fence=Position(unpacker.u64(), unpacker.u64()),
        ready_in_us=unpacker.u64(),
        planned=bool(unpacker.u8()),
        turn=unpacker.u64(),
    )
    unpacker.done()
    return lead
