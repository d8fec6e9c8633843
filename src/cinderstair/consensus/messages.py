"""The requests and answers of the register's protocol, shared by client and server.

The protocol is CASPaxos (Rystsov, 2018): each key is a Paxos instance of its own, whose value is replaced by a
prepare and an accept request. Every vote and lease request names the epoch of the roster under which it is sent.
`encode` puts the message type first, which the dispatcher removes before `decode`; answers have no message type.
Decoding raises ValueError for a malformed record.
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
# most sources in one vector request; bounds the work that a request can cause
MAX_SOURCES = 64


class Status(IntEnum):
    """The first byte of every answer. The numbers are part of the protocol."""

    OK = 0
    # a higher ballot was promised, or the lease can't be granted now
    REFUSED = 1
    # the request's epoch is older than the replica's roster, which the answer contains
    STALE = 2
    # the request's epoch is newer than the replica's roster
    AHEAD = 3
    # the replica is not a voter of its roster
    NO_VOTE = 4
    # a vector answer with the changes since a revision
    SINCE = 5


VOTE_STATUSES = frozenset((Status.OK, Status.REFUSED, Status.SINCE))


def status_of(*, answer: bytes) -> int:
    """The status of an answer; AHEAD for an empty one, which a replica without a roster sends."""
    return answer[0] if answer else Status.AHEAD


class SourceRevision(NamedTuple):
    """The revision up to which a source's vector is known. A source is one run of one replica's process."""

    source: int
    revision: int


@dataclass(frozen=True, kw_only=True)
class PrepareRequest:
    """Asks for a promise not to accept a lower ballot (phase 1 of Paxos)."""

    message_type: ClassVar[MessageType] = MessageType.PREPARE
    epoch: int
    key: str
    ballot: Ballot

    def encode(self) -> bytes:
        """Returns the encoded message."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.key)
        self.ballot.write(packer=packer)
        return packer.bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        request = cls(epoch=unpacker.u32(), key=unpacker.text(), ballot=read_ballot(unpacker=unpacker))
        unpacker.done()
        return request


@dataclass(frozen=True, kw_only=True)
class AcceptRequest:
    """Asks to accept a value under a promised ballot (phase 2 of Paxos)."""

    message_type: ClassVar[MessageType] = MessageType.ACCEPT
    epoch: int
    key: str
    ballot: Ballot
    value: bytes

    def encode(self) -> bytes:
        """Returns the encoded message."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.key)
        self.ballot.write(packer=packer)
        return packer.blob(value=self.value).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        request = cls(
            epoch=unpacker.u32(),
            key=unpacker.text(),
            ballot=read_ballot(unpacker=unpacker),
            value=unpacker.blob(),
        )
        unpacker.done()
        if len(request.value) > MAX_VALUE_BYTES:
            raise ValueError(f"value of {len(request.value)} bytes exceeds the limit of {MAX_VALUE_BYTES}")
        return request


@dataclass(frozen=True, kw_only=True)
class ReadRequest:
    """Asks for the accepted value of a key and its ballot."""

    message_type: ClassVar[MessageType] = MessageType.READ
    epoch: int
    key: str

    def encode(self) -> bytes:
        """Returns the encoded message."""
        return Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.key).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        request = cls(epoch=unpacker.u32(), key=unpacker.text())
        unpacker.done()
        return request


@dataclass(frozen=True, kw_only=True)
class VectorRequest:
    """Asks for the accepted ballot of every key.

    `known` holds the revisions that the requester has; only later changes are sent. It is None in version 1 of the
    protocol, which always sends the full vector.
    """

    message_type: ClassVar[MessageType] = MessageType.VECTOR
    epoch: int
    known: tuple[SourceRevision, ...] | None = None

    def encode(self, *, version: int) -> bytes:
        """Returns the encoded message."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch)
        if version > 1:
            packer.many(
                values=self.known or (),
                each=lambda p, known: p.u64(value=known.source).u64(value=known.revision),
            )
        return packer.bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        epoch = unpacker.u32()
        known = None
        if unpacker.version > 1:
            known = tuple(unpacker.many(each=lambda u: SourceRevision(u.u64(), u.u64())))
        unpacker.done()
        if known is not None and len(known) > MAX_SOURCES:
            raise ValueError(f"{len(known)} sources exceed the limit of {MAX_SOURCES}")
        return cls(epoch=epoch, known=known)


@dataclass(frozen=True, kw_only=True)
class LeaseRequest:
    """Asks for a lease of `length_us` microseconds; 0 releases the lease."""

    message_type: ClassVar[MessageType] = MessageType.LEASE
    epoch: int
    lease: str
    holder: int
    length_us: int

    def encode(self) -> bytes:
        """Returns the encoded message."""
        packer = Packer().u8(value=self.message_type).u32(value=self.epoch).text(value=self.lease)
        return packer.u64(value=self.holder).u64(value=self.length_us).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        request = cls(epoch=unpacker.u32(), lease=unpacker.text(), holder=unpacker.u64(), length_us=unpacker.u64())
        unpacker.done()
        return request


@dataclass(frozen=True, kw_only=True)
class AdoptRequest:
    """Sends a roster to a replica, which adopts it if it is newer than its own."""

    message_type: ClassVar[MessageType] = MessageType.ADOPT
    roster: Roster

    def encode(self) -> bytes:
        """Returns the encoded message."""
        return Packer().u8(value=self.message_type).blob(value=self.roster.bytes()).bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        data = unpacker.blob()
        unpacker.done()
        return cls(roster=read_roster(data=data))


@dataclass(frozen=True, kw_only=True)
class JoinRequest:
    """Sends a replica's identity, name and address to another one, and asks for the roster."""

    message_type: ClassVar[MessageType] = MessageType.JOIN_REQUEST
    sender: Voter

    def encode(self) -> bytes:
        """Returns the encoded message."""
        packer = Packer().u8(value=self.message_type)
        write_voter(packer=packer, voter=self.sender)
        return packer.bytes()

    @classmethod
    def decode(cls, *, unpacker: Unpacker) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        request = cls(sender=read_voter(unpacker=unpacker))
        unpacker.done()
        return request

    @property
    def from_replica(self) -> bool:
        """False for a client, which has no identity and only asks for the roster."""
        return self.sender.ident != 0


# the sender in join requests of clients that are not replicas
CLIENT = Voter(ident=0, name="", address="")


@dataclass(frozen=True, kw_only=True)
class StatusAnswer:
    """An answer that consists of its status only."""

    status: Status

    def encode(self) -> bytes:
        """Returns the encoded message."""
        return Packer().u8(value=self.status).bytes()


@dataclass(frozen=True, kw_only=True)
class StaleAnswer:
    """Answers a request of an earlier epoch with the current roster."""

    roster: Roster

    def encode(self) -> bytes:
        """Returns the encoded message."""
        return Packer().u8(value=Status.STALE).blob(value=self.roster.bytes()).bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        unpacker = Unpacker(data=data)
        unpacker.u8()
        return cls(roster=read_roster(data=unpacker.blob()))


@dataclass(frozen=True, kw_only=True)
class VoteAnswer:
    """One replica's vote on a prepare, accept or read request. Without a vote only the status is set."""

    status: Status
    promised: Ballot = BLANK
    accepted: Ballot = BLANK
    value: bytes = b""

    def encode(self) -> bytes:
        """Returns the encoded message."""
        packer = Packer().u8(value=self.status)
        self.promised.write(packer=packer)
        self.accepted.write(packer=packer)
        return packer.blob(value=self.value).bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        unpacker = Unpacker(data=data)
        status = Status(unpacker.u8())
        if status not in (Status.OK, Status.REFUSED):
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
    """The accepted ballots by key.

    `known` is the replica's current revision; None in version 1 of the protocol, where the vector is always full.
    """

    known: SourceRevision | None
    ballots: Mapping[str, Ballot] = field(default_factory=dict)

    def encode(self) -> bytes:
        """Returns the encoded message."""
        if self.known is None:
            packer = Packer().u8(value=Status.OK)
        else:
            packer = Packer().u8(value=Status.SINCE).u64(value=self.known.source).u64(value=self.known.revision)
        return packer.many(values=self.ballots.items(), each=_write_ballot).bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        unpacker = Unpacker(data=data)
        known = None
        if unpacker.u8() == Status.SINCE:
            known = SourceRevision(unpacker.u64(), unpacker.u64())
        ballots = dict(unpacker.many(each=lambda u: (u.text(), read_ballot(unpacker=u))))
        unpacker.done()
        return cls(known=known, ballots=ballots)


@dataclass(frozen=True, kw_only=True)
class JoinAnswer:
    """The replica's roster, None if it has adopted none yet, and the candidates that it knows."""

    roster: Roster | None
    candidates: tuple[Voter, ...] = ()

    def encode(self) -> bytes:
        """Returns the encoded message."""
        roster = b"" if self.roster is None else self.roster.bytes()
        packer = Packer().u8(value=Status.OK).blob(value=roster)
        packer.many(values=self.candidates, each=lambda p, voter: write_voter(packer=p, voter=voter))
        return packer.bytes()

    @classmethod
    def decode(cls, *, data: bytes) -> Self:
        """Decodes the message. Raises ValueError if it is malformed."""
        unpacker = Unpacker(data=data)
        unpacker.u8()
        roster = unpacker.blob()
        candidates = unpacker.many(each=lambda u: read_voter(unpacker=u))
        return cls(roster=read_roster(data=roster) if roster else None, candidates=tuple(candidates))
