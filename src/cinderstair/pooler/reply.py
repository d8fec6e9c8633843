"""What a backend, or the proxy in its stead, answers to one statement."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.errors import ErrorCode
from ..runtime.position import Position


class State(IntEnum):
    """Of a session, or of a link: idle, in a transaction, or in one that failed and waits for its end."""

    idle = 0
    open = 1
    failed = 2


@dataclass(kw_only=True, slots=True)
class Reply:
    """`fault` is None on success. `native` keeps the words in which a backend itself put an error.

    `not_run`: the backend says that it did not run the statement, so it may be offered elsewhere.
    `retriable`: it ran and failed, and another backend may do better with a read.
    """

    rows: list[bytes]
    stamp: bytes = b""
    fault: ErrorCode | None = None
    native: bytes = b""
    not_run: bool = False
    retriable: bool = False
    state: State = State.idle
    position: Position | None = None
    come_back_us: int = 0


def refusal(*, kind: ErrorCode, state: State = State.idle, come_back_us: int = 0) -> Reply:
    """The proxy's own word that nothing was done, or that nobody knows."""
    return Reply(rows=[], fault=kind, state=state, come_back_us=come_back_us)
