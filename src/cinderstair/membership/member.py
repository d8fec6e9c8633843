"""The record of a group member, as daemons exchange it."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

REGISTER_REPLICA_ROLE = "vault"
HTTP_PROXY_ROLE = "stall"


class Standing(IntEnum):
    """The state of a member; of two updates with the same incarnation, the higher state wins."""

    alive = 0
    suspect = 1
    left = 2
    dead = 3


@dataclass(frozen=True, kw_only=True)
class Member:
    """A daemon of the group; `records` and `http` are its addresses for records and HTTP, `http` may be empty."""

    name: str
    role: str
    site: str
    records: str
    http: str
    incarnation: int
    standing: Standing = Standing.alive

    def outranks(self, *, other: "Member") -> bool:
        """Whether this update of a member supersedes the other one."""
        return (self.incarnation, self.standing) > (other.incarnation, other.standing)

    def write(self, *, packer: Packer) -> None:
        """Appends the encoded record."""
        for text in (self.name, self.role, self.site, self.records, self.http):
            packer.text(value=text)
        packer.u64(value=self.incarnation).u8(value=self.standing)


def read_member(*, unpacker: Unpacker) -> Member:
    """Reads a member. Raises ValueError if the record is malformed."""
    return Member(
        name=unpacker.text(),
        role=unpacker.text(),
        site=unpacker.text(),
        records=unpacker.text(),
        http=unpacker.text(),
        incarnation=unpacker.u64(),
        standing=Standing(unpacker.u8()),
    )
