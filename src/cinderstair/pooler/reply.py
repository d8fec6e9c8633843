"""The reply to one statement, from a backend or from the proxy itself."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.errors import ErrorCode
from ..runtime.position import Position


class State(IntEnum):
    """The state of a session or a link: idle, in a transaction, or in a failed transaction that awaits its rollback.

    The numbers are part of the protocol between proxies.
    """

    idle = 0
    open = 1
    failed = 2


@dataclass(kw_only=True, slots=True)
class Reply:
    """The outcome of one statement.

    `rows`: the backend's result, one entry a row. `stamp`: what the backend sent along with its
    completion line, passed on to the client as it is.
    `fault` is None on success. `native` is the backend's own wording of an error.
    `not_run`: the backend declares that it did not run the statement, so it may be sent elsewhere.
    `retriable`: the statement ran and failed, and a read may succeed at another backend.
    `state`: the session's or link's state after the statement. `position`: the backend's log position; None where it
    reported none. `retry_after_us`: in how many microseconds to try again; 0 where that is not known.
    """

    rows: list[bytes]
    stamp: bytes = b""
    fault: ErrorCode | None = None
    native: bytes = b""
    not_run: bool = False
    retriable: bool = False
    state: State = State.idle
    position: Position | None = None
    retry_after_us: int = 0


def refusal(*, kind: ErrorCode, state: State = State.idle, retry_after_us: int = 0) -> Reply:
    """The proxy's own error reply: nothing was done, or the outcome is unknown.

    :param retry_after_us: in how many microseconds to try again; 0 where that is not known.
    """
    return Reply(rows=[], fault=kind, state=state, retry_after_us=retry_after_us)
