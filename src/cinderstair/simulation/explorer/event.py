"""Input events and outputs of a modelled process."""

from typing import NamedTuple


class RequestId(NamedTuple):
    """Identifies a request: index of the sending process, its run (restart count) and the number in that run."""

    process: int
    run: int
    number: int


class Event(NamedTuple):
    """An input of a process; `kind` decides which of the other fields are set:

    request (request_id, body), response (number, body), lost (number of the request that times out), synced, timer,
    pass (number: microseconds) and begin (name of the operation).
    """

    kind: str
    number: int = 0
    body: bytes = b""
    request_id: RequestId | None = None
    name: str = ""


class RequestSent(NamedTuple):
    """A process sent a request to an address."""

    number: int
    address: str
    body: bytes


class ResponseSent(NamedTuple):
    """A process answered a request that it had received."""

    request_id: RequestId
    body: bytes


class OperationEvent(NamedTuple):
    """A client began an operation (`phase` begin) or finished it with an outcome (end); monitors evaluate it."""

    phase: str
    operation: str
    outcome: tuple[str | int, ...] = ()


Output = RequestSent | ResponseSent | OperationEvent
