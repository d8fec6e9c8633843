"""Ballots, which order the proposals for a key (Paxos: Lamport, The Part-Time Parliament, 1998)."""

from typing import NamedTuple

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker


class Ballot(NamedTuple):
    """A ballot, ordered by round and then by proposer id, so two proposers never use the same one."""

    round: int
    proposer: int

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded ballot (16 bytes)."""
        packer.u64(value=self.round).u64(value=self.proposer)


# lower than every proposed ballot; marks a key that was never promised or accepted
BLANK = Ballot(0, 0)


def read_ballot(*, unpacker: Unpacker) -> Ballot:
    """Reads a ballot. Raises ValueError if the record is too short."""
    return Ballot(unpacker.u64(), unpacker.u64())
