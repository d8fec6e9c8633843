"""Ballots, which order the proposals for a key (Paxos: Lamport, 1998)."""

from typing import NamedTuple

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker


class Ballot(NamedTuple):
    """Ordered by round, then by the proposer's number, so no two proposers ever use the same one."""

    round: int
    proposer: int

    def write(self, *, packer: Packer) -> None:
        """Appends its 16 bytes."""
        packer.u64(value=self.round).u64(value=self.proposer)


# lower than any ballot that is proposed
BLANK = Ballot(0, 0)


def read_ballot(*, unpacker: Unpacker) -> Ballot:
    """Takes a ballot off a record. ValueError: the record is too short."""
    return Ballot(unpacker.u64(), unpacker.u64())
