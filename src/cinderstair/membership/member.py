"""One daemon, as the others know it."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker


class Standing(IntEnum):
    """Of two accounts with the same incarnation the graver one counts."""

    alive = 0
    suspect = 1
    left = 2
    dead = 3


@dataclass(frozen=True, kw_only=True)
class Member:
    name: str
    role: str
    site: str
    records: str
    http: str
    incarnation: int
    standing: Standing = Standing.alive

    def outranks(self, *, other: "Member") -> bool:
        return (self.incarnation, self.standing) > (other.incarnation, other.standing)

    def write(self, *, packer: Packer) -> None:
        for text in (self.name, self.role, self.site, self.records, self.http):
            packer.text(value=text)
        packer.u64(value=self.incarnation).u8(value=self.standing)


def read_member(*, unpacker: Unpacker) -> Member:
    return Member(
        name=unpacker.text(),
        role=unpacker.text(),
        site=unpacker.text(),
        records=unpacker.text(),
        http=unpacker.text(),
        incarnation=unpacker.u64(),
        standing=Standing(unpacker.u8()),
    )
