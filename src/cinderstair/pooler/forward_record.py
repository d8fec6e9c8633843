"""The messages by which a proxy has a statement run over another proxy's link."""

from dataclasses import dataclass, field
from enum import IntEnum

from ..runtime.errors import ErrorCode
from ..runtime.packer import Packer
from ..runtime.position import Position
from ..runtime.unpacker import Unpacker
from .reply import Reply, State
from .statement import Statement, Verb

NO_STATEMENT = Statement(ident=b"-", verb=Verb.read)


class ForwardStep(IntEnum):
    """The kind of a request. The numbers are part of the protocol.

    hello: reads the clock and the incarnation. single: one statement outside a transaction. begin, next, rollback,
    close: steps of a transaction. position: requests the backend's log position. keep: keeps idle transactions alive.
    """

    hello = 0
    single = 1
    begin = 2
    next = 3
    rollback = 4
    close = 5
    position = 6
    keep = 7


class Outcome(IntEnum):
    """The outcome of a request. The numbers are part of the protocol.

    answered: the reply is the backend's. not_sent: nothing was sent to the backend. lost: unknown.
    """

    answered = 0
    not_sent = 1
    lost = 2


@dataclass(frozen=True, kw_only=True)
class ForwardRequest:
    """A request to another proxy.

    `requester`: the name of the sending proxy. `incarnation`: that of the receiving proxy, as the requester knows it.
    `until_us`: the deadline by the receiver's clock, after which nothing is sent to the backend. `connection`: the
    requester's number of the transaction. `rank`: lower ranks get links first. `at_least`: the log position that the
    backend must have reached; None: the backend must be the primary. `values`: the session's values. `shape`: the
    prepared statement that an execute runs. `connections`: the transactions that a keep request names.
    """

    requester: str
    step: ForwardStep
    incarnation: int = 0
    until_us: int = 0
    connection: int = 0
    backend: str = ""
    service: str = ""
    database: str = ""
    rank: int = 0
    read_only: bool = False
    at_least: Position | None = None
    values: dict[bytes, bytes] = field(default_factory=dict)
    statement: Statement = NO_STATEMENT
    shape: bytes = b""
    connections: tuple[int, ...] = ()

    def bytes(self) -> bytes:
        """The encoded message."""
        packer = (
            Packer()
            .text(value=self.requester)
            .u8(value=self.step)
            .u64(value=self.incarnation)
            .u64(value=self.until_us)
        )
        packer.u64(value=self.connection).text(value=self.backend).text(value=self.service).text(value=self.database)
        packer.u32(value=self.rank).u8(value=int(self.read_only))
        _write_position(packer=packer, position=self.at_least)
        packer.many(values=self.values.items(), each=lambda p, e: p.blob(value=e[0]).blob(value=e[1]))
        statement = self.statement
        packer.blob(value=statement.ident).u8(value=statement.verb).blob(value=statement.text)
        packer.blob(value=statement.name).blob(value=statement.content).u8(value=int(statement.writes))
        packer.blob(value=self.shape)
        return packer.many(values=self.connections, each=lambda p, n: p.u64(value=n)).bytes()


@dataclass(frozen=True, kw_only=True)
class ForwardResponse:
    """The response to a request.

    `incarnation`: of the responding proxy. `now_us`: its clock at some time between the request's arrival and the
    response. `unknown`: those transactions of a keep request that are not open.
    """

    incarnation: int
    now_us: int
    outcome: Outcome
    reply: Reply
    unknown: tuple[int, ...] = ()

    def bytes(self) -> bytes:
        """The encoded message."""
        packer = Packer().u64(value=self.incarnation).u64(value=self.now_us).u8(value=self.outcome)
        reply = self.reply
        packer.many(values=reply.rows, each=lambda p, row: p.blob(value=row)).blob(value=reply.stamp)
        packer.text(value="" if reply.fault is None else reply.fault.value).blob(value=reply.native)
        packer.u8(value=int(reply.not_run)).u8(value=int(reply.retriable)).u8(value=reply.state)
        _write_position(packer=packer, position=reply.position)
        packer.u64(value=reply.retry_after_us)
        return packer.many(values=self.unknown, each=lambda p, n: p.u64(value=n)).bytes()


def _write_position(*, packer: Packer, position: Position | None) -> None:
    packer.u8(value=int(position is not None))
    if position is not None:
        packer.u64(value=position.term).u64(value=position.number)


def _read_position(*, unpacker: Unpacker) -> Position | None:
    return Position(unpacker.u64(), unpacker.u64()) if unpacker.u8() else None


def read_forward_request(*, unpacker: Unpacker) -> ForwardRequest:
    """Decodes a request.

    :raises ValueError: the bytes are malformed.
    """
    request = ForwardRequest(
        requester=unpacker.text(),
        step=ForwardStep(unpacker.u8()),
        incarnation=unpacker.u64(),
        until_us=unpacker.u64(),
        connection=unpacker.u64(),
        backend=unpacker.text(),
        service=unpacker.text(),
        database=unpacker.text(),
        rank=unpacker.u32(),
        read_only=bool(unpacker.u8()),
        at_least=_read_position(unpacker=unpacker),
        values=dict(unpacker.many(each=lambda u: (u.blob(), u.blob()))),
        statement=Statement(
            ident=unpacker.blob(),
            verb=Verb(unpacker.u8()),
            text=unpacker.blob(),
            name=unpacker.blob(),
            content=unpacker.blob(),
            writes=bool(unpacker.u8()),
        ),
        shape=unpacker.blob(),
        connections=tuple(unpacker.many(each=lambda u: u.u64())),
    )
    unpacker.done()
    return request


def read_forward_response(*, data: bytes) -> ForwardResponse:
    """Decodes a response.

    :raises ValueError: the bytes are malformed.
    """
    unpacker = Unpacker(data=data)
    incarnation, now_us, outcome = unpacker.u64(), unpacker.u64(), Outcome(unpacker.u8())
    rows, stamp = unpacker.many(each=lambda u: u.blob()), unpacker.blob()
    fault, native = unpacker.text(), unpacker.blob()
    reply = Reply(
        rows=rows,
        stamp=stamp,
        fault=ErrorCode(fault) if fault else None,
        native=native,
        not_run=bool(unpacker.u8()),
        retriable=bool(unpacker.u8()),
        state=State(unpacker.u8()),
        position=_read_position(unpacker=unpacker),
        retry_after_us=unpacker.u64(),
    )
    unknown = tuple(unpacker.many(each=lambda u: u.u64()))
    unpacker.done()
    return ForwardResponse(incarnation=incarnation, now_us=now_us, outcome=outcome, reply=reply, unknown=unknown)
