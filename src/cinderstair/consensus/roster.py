"""The roster: which register replicas vote."""

from dataclasses import dataclass

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker


@dataclass(frozen=True, kw_only=True)
class Voter:
    """A register replica by the identity that its disk holds; a blank disk is a new identity."""

    ident: int
    name: str
    address: str


@dataclass(frozen=True, kw_only=True)
class Roster:
    """Epoch 0 is the seeds, who vote on nothing but the roster of epoch 1."""

    epoch: int
    voters: tuple[Voter, ...]

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1

    def has(self, *, ident: int) -> bool:
        return any(voter.ident == ident for voter in self.voters)

    def bytes(self) -> bytes:
        packer = Packer().u32(value=self.epoch)
        packer.many(values=self.voters, each=lambda p, v: write_voter(packer=p, voter=v))
        return packer.bytes()


def write_voter(*, packer: Packer, voter: Voter) -> None:
    packer.u64(value=voter.ident).text(value=voter.name).text(value=voter.address)


def read_voter(*, unpacker: Unpacker) -> Voter:
    return Voter(ident=unpacker.u64(), name=unpacker.text(), address=unpacker.text())


def read_roster(*, data: bytes) -> Roster:
    unpacker = Unpacker(data=data)
    epoch = unpacker.u32()
    voters = unpacker.many(each=lambda u: read_voter(unpacker=u))
    unpacker.done()
    return Roster(epoch=epoch, voters=tuple(voters))


def seed_roster(*, addresses: tuple[str, ...]) -> Roster:
    return Roster(epoch=0, voters=tuple(Voter(ident=0, name="seed", address=a) for a in addresses))
