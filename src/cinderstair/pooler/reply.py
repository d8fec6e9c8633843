"""The answer to one statement, of a backend or of the proxy itself."""

from dataclasses import dataclass
from enum import IntEnum

from ..runtime.errors import ErrorCode
from ..runtime.position import Position


class State(IntEnum):
    """The state of a session or a link: idle, in a transaction, or in a failed one that waits for its end.

    The numbers go over the wire between proxies.
    """

    idle = 0
    open = 1
    failed = 2


@dataclass(kw_only=True, slots=True)
class Reply:
    """`fault` is None on success. `native` is a backend's own wording of its error.

    `not_run`: the backend declares that it did not run the statement, so it may be sent elsewhere.
    `retriable`: the statement ran and failed, and a read may succeed at another backend.
    `position`: the backend's log position; None where it told none. `come_back_us`: when to ask again; 0: not known.
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
    """The proxy's own reply that nothing was done, or that the outcome is unknown.

    :param come_back_us: in how many microseconds to ask again; 0 where that is not known.
    """
    return Reply(rows=[], fault=kind, state=state, come_back_us=come_back_us)
