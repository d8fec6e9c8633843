"""The roster: the register replicas that vote in one epoch."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

# the key under which the register keeps its own roster
ROSTER_KEY = "roster"
SEED_EPOCH = 0


@dataclass(frozen=True, kw_only=True)
class Voter:
    """A register replica and the identity stored on its disk; a replica whose disk was lost gets a new identity."""

    ident: int
    name: str
    address: str


@dataclass(frozen=True, kw_only=True)
class Roster:
    """The voters of an epoch. Epoch 0 consists of the seeds, which vote only on the roster of epoch 1."""

    epoch: int
    voters: tuple[Voter, ...]

    @property
    def majority(self) -> int:
        """The smallest number of voters such that any two sets of that size share a voter."""
        return len(self.voters) // 2 + 1

    def has(self, *, ident: int) -> bool:
        """Whether the replica with this identity is a voter."""
        return any(voter.ident == ident for voter in self.voters)

    def bytes(self) -> bytes:
        """The encoded roster, as sent and stored on disk."""
        packer = Packer().u32(value=self.epoch)
        packer.many(values=self.voters, each=lambda p, v: write_voter(packer=p, voter=v))
        return packer.bytes()


def write_voter(*, packer: Packer, voter: Voter) -> None:
    """Appends an encoded voter."""
    packer.u64(value=voter.ident).text(value=voter.name).text(value=voter.address)


def read_voter(*, unpacker: Unpacker) -> Voter:
    """Reads a voter. Raises ValueError if it is malformed."""
    return Voter(ident=unpacker.u64(), name=unpacker.text(), address=unpacker.text())


def read_roster(*, data: bytes) -> Roster:
    """Decodes a roster. Raises ValueError if it is malformed."""
    unpacker = Unpacker(data=data)
    epoch = unpacker.u32()
    voters = unpacker.many(each=lambda u: read_voter(unpacker=u))
    unpacker.done()
    return Roster(epoch=epoch, voters=tuple(voters))


def seed_roster(*, addresses: tuple[str, ...]) -> Roster:
    """The roster of epoch 0, under which the first roster is chosen; the seeds' identities are not known yet."""
    return Roster(
        epoch=SEED_EPOCH, voters=tuple(Voter(ident=0, name="seed", address=address) for address in addresses)
    )
