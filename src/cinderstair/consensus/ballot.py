"""A ballot: which of two writes is the later."""

from typing import NamedTuple

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker


class Ballot(NamedTuple):
    """Ordered by turn, then by the proposer's number, so no two proposers ever share one."""

    turn: int
    proposer: int

    def write(self, *, packer: Packer) -> None:
        packer.u64(value=self.turn).u64(value=self.proposer)


BLANK = Ballot(0, 0)


def read_ballot(*, unpacker: Unpacker) -> Ballot:
    return Ballot(unpacker.u64(), unpacker.u64())
