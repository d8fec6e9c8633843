"""A member of the group of daemons, as the others know it."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

REGISTER_REPLICA_ROLE = "vault"
HTTP_PROXY_ROLE = "stall"


class Standing(IntEnum):
    """The state of a member; of two updates with the same incarnation the one with the higher state counts."""

    alive = 0
    suspect = 1
    left = 2
    dead = 3


@dataclass(frozen=True, kw_only=True)
class Member:
    """`records` and `http` are its addresses for records and for HTTP; `http` is empty where it has none."""

    name: str
    role: str
    site: str
    records: str
    http: str
    incarnation: int
    standing: Standing = Standing.alive

    def outranks(self, *, other: "Member") -> bool:
        """Whether this update of a member replaces the other one."""
        return (self.incarnation, self.standing) > (other.incarnation, other.standing)

    def write(self, *, packer: Packer) -> None:
        """Appends the record's fields in their order on the wire."""
        for text in (self.name, self.role, self.site, self.records, self.http):
            packer.text(value=text)
        packer.u64(value=self.incarnation).u8(value=self.standing)


def read_member(*, unpacker: Unpacker) -> Member:
    """Raises ValueError where the record is none."""
    return Member(
        name=unpacker.text(),
        role=unpacker.text(),
        site=unpacker.text(),
        records=unpacker.text(),
        http=unpacker.text(),
        incarnation=unpacker.u64(),
        standing=Standing(unpacker.u8()),
    )
