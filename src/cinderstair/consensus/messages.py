"""The requests and answers of the register's protocol; client and server share these definitions.

The register is a CASPaxos (Rystsov, 2018): one Paxos instance a key, whose value is replaced by prepare and accept.
Every request names the epoch of the roster under which it is sent. `encode` gives a request with its message type in
front, which the dispatcher has taken off when `decode` reads the rest; answers have none. Decoding raises ValueError
where a record does not have the expected shape.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import ClassVar, NamedTuple, Self

from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .ballot import BLANK, Ballot, read_ballot
from .roster import Roster, Voter, read_roster, read_voter, write_voter

MAX_VALUE_BYTES = 4 * 1024 * 1024
# sources that one vector request may name; bounds the work that a request can cause
MAX_SOURCES = 64


class Status(IntEnum):
    """The first byte of every answer. The numbers are part of the protocol."""

    OK = 0
    # a higher ballot was promised, or the lease is another's
    BEATEN = 1
    # the requester's roster is older than the replica's, which is attached
    STALE = 2
    # the requester's roster is newer than the replica's
    AHEAD = 3
    # the replica is not a voter of its roster
    NO_VOTE = 4
    # a vector that holds the changes since a revision
    SINCE = 5


VOTE_STATUSES = frozenset((Status.OK, Status.BEATEN, Status.SINCE))


def status_of(*, answer: bytes) -> int:
    """The status of an answer; AHEAD for an empty one, which comes from a replica that has no roster."""
    return answer[0] if answer else Status.AHEAD


class SourceRevision(NamedTuple):
    """How much of a source's vector is known. A source is one run of one replica's process."""

    source: int
    revision: int


@dataclass(frozen=True, kw_only=True)
class PrepareRequest:
    """Asks for the promise to accept no ballot below this one."""

    message_type: ClassVar[MessageType] = MessageType.PREPARE
    epoch: int
    key: str
    ballot: Ballot

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.key)
        self.ballot.write(packer=packer)
        return packer.bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        request = cls(epoch=unpacker.u32(), key=unpacker.text(), ballot=read_ballot(unpacker=unpacker))
        unpacker.done()
        return request


@dataclass(frozen=True, kw_only=True)
class AcceptRequest:
    """Asks to accept a value under a ballot that was promised before."""

    message_type: ClassVar[MessageType] = MessageType.ACCEPT
    epoch: int
    key: str
    ballot: Ballot
    value: bytes

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.key)
        self.ballot.write(packer=packer)
        return packer.blob(value=self.value).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        request = cls(
            epoch=unpacker.u32(),
            key=unpacker.text(),
            ballot=read_ballot(unpacker=unpacker),
            value=unpacker.blob(),
        )
        unpacker.done()
        if len(request.value) > MAX_VALUE_BYTES:
            raise ValueError("value too large")
        return request


@dataclass(frozen=True, kw_only=True)
class ReadRequest:
    """Asks for a key's accepted value and its ballot."""

    message_type: ClassVar[MessageType] = MessageType.READ
    epoch: int
    key: str

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        return Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.key).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        request = cls(epoch=unpacker.u32(), key=unpacker.text())
        unpacker.done()
        return request


@dataclass(frozen=True, kw_only=True)
class VectorRequest:
    """Asks for the accepted ballot of every key.

    `known` are the revisions that the requester has, of which only later changes are wanted. It is None where the
    request came in the protocol's first version, which always gives the whole vector.
    """

    message_type: ClassVar[MessageType] = MessageType.VECTOR
    epoch: int
    known: tuple[SourceRevision, ...] | None = None

    def encode(self, *, version: int) -> bytes:
        """Returns the message's bytes."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch)
        if version > 1:
            packer.many(
                values=self.known or (),
                each=lambda p, known: p.u64(value=known.source).u64(value=known.revision),
            )
        return packer.bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        epoch = unpacker.u32()
        known = None
        if unpacker.version > 1:
            known = tuple(unpacker.many(each=lambda u: SourceRevision(u.u64(), u.u64())))
        unpacker.done()
        if known is not None and len(known) > MAX_SOURCES:
            raise ValueError("too many sources")
        return cls(epoch=epoch, known=known)


@dataclass(frozen=True, kw_only=True)
class LeaseRequest:
    """Asks for a lease of `length_us` microseconds; a length of 0 gives the lease back."""

    message_type: ClassVar[MessageType] = MessageType.LEASE
    epoch: int
    lease: str
    holder: int
    length_us: int

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.lease)
        return packer.u64(value=self.holder).u64(value=self.length_us).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        request = cls(epoch=unpacker.u32(), lease=unpacker.text(), holder=unpacker.u64(), length_us=unpacker.u64())
        unpacker.done()
        return request


@dataclass(frozen=True, kw_only=True)
class AdoptRequest:
    """Tells a replica a roster, which it makes its own if it is newer."""

    message_type: ClassVar[MessageType] = MessageType.ADOPT
    roster: Roster

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        return Packer().u8(value=self.message_type).blob(value=self.roster.bytes()).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        data = unpacker.blob()
        unpacker.done()
        return cls(roster=read_roster(data=data))


@dataclass(frozen=True, kw_only=True)
class JoinRequest:
    """Introduces a replica to another, and asks for the roster."""

    message_type: ClassVar[MessageType] = MessageType.JOIN_REQUEST
    sender: Voter

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        packer = Packer().u8(value=self.message_type)
        write_voter(packer=packer, voter=self.sender)
        return packer.bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        request = cls(sender=read_voter(unpacker=unpacker))
        unpacker.done()
        return request

    @property
    def from_replica(self) -> bool:
        """False for a client, which has no identity and only wants the roster."""
        return self.sender.ident != 0


# the sender of a join request that is a client and no replica
CLIENT = Voter(ident=0, name="", address="")


@dataclass(frozen=True, kw_only=True)
class StatusAnswer:
    """An answer that says no more than its status."""

    status: Status

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        return Packer().u8(value=self.status).bytes()


@dataclass(frozen=True, kw_only=True)
class StaleAnswer:
    """Tells a requester of an earlier epoch the present roster."""

    roster: Roster

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        return Packer().u8(value=Status.STALE).blob(value=self.roster.bytes()).bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        unpacker = Unpacker(data=data)
        unpacker.u8()
        return cls(roster=read_roster(data=unpacker.blob()))


@dataclass(frozen=True, kw_only=True)
class VoteAnswer:
    """One replica's vote on a prepare, accept or read request."""

    status: Status
    promised: Ballot = BLANK
    accepted: Ballot = BLANK
    value: bytes = b""

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        packer = Packer().u8(value=self.status)
        self.promised.write(packer=packer)
        self.accepted.write(packer=packer)
        return packer.blob(value=self.value).bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        unpacker = Unpacker(data=data)
        status = Status(unpacker.u8())
        if status not in (Status.OK, Status.BEATEN):
            return cls(status=status)
        answer = cls(
            status=status,
            promised=read_ballot(unpacker=unpacker),
            accepted=read_ballot(unpacker=unpacker),
            value=unpacker.blob(),
        )
        unpacker.done()
        return answer


def _write_ballot(packer: Packer, entry: tuple[str, Ballot]) -> None:
    key, ballot = entry
    ballot.write(packer=packer.text(value=key))


@dataclass(frozen=True, kw_only=True)
class VectorAnswer:
    """The accepted ballot of each key.

    `known` is the replica's present revision, or None in the protocol's first version, where the vector is whole.
    """

    known: SourceRevision | None
    ballots: Mapping[str, Ballot] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        if self.known is None:
            packer = Packer().u8(value=Status.OK)
        else:
            packer = Packer().u8(value=Status.SINCE).u64(value=self.known.source).u64(value=self.known.revision)
        return packer.many(values=self.ballots.items(), each=_write_ballot).bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        unpacker = Unpacker(data=data)
        known = None
        if unpacker.u8() == Status.SINCE:
            known = SourceRevision(unpacker.u64(), unpacker.u64())
        ballots = dict(unpacker.many(each=lambda u: (u.text(), read_ballot(unpacker=u))))
        unpacker.done()
        return cls(known=known, ballots=ballots)


@dataclass(frozen=True, kw_only=True)
class JoinAnswer:
    """The replica's roster, None where it knows none yet, and the candidates that it lists for the requester."""

    roster: Roster | None
    candidates: tuple[Voter, ...] = ()

    def encode(self) -> bytes:
        """Returns the message's bytes."""
        roster = b"" if self.roster is None else self.roster.bytes()
        packer = Packer().u8(value=Status.OK).blob(value=roster)
        packer.many(values=self.candidates, each=lambda p, voter: write_voter(packer=p, voter=voter))
        return packer.bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Reads the message. Raises ValueError where the bytes are none."""
        unpacker = Unpacker(data=data)
        unpacker.u8()
        roster = unpacker.blob()
        candidates = unpacker.many(each=lambda u: read_voter(unpacker=u))
        return cls(roster=read_roster(data=roster) if roster else None, candidates=tuple(candidates))
