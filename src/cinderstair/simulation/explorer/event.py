"""What may reach one process, and what it may bring about: all that passes between it and the explored world."""

from typing import NamedTuple


class RequestId(NamedTuple):
    """Whose question it is: a process by its place in the model, which of its runs, and its number there."""

    process: int
    run: int
    number: int


class Event(NamedTuple):
    """`kind` is ask, answer, lost, synced, timer, pass or go; the rest only where the kind has it."""

    kind: str
    number: int = 0
    body: bytes = b""
    request_id: RequestId | None = None
    name: str = ""


class RequestSent(NamedTuple):
    number: int
    address: str
    body: bytes


class ResponseSent(NamedTuple):
    request_id: RequestId
    body: bytes


class OperationEvent(NamedTuple):
    """What a client began or learned: the invariants are judged by it."""

    word: str
    operation: str
    outcome: tuple[str | int, ...] = ()


Output = RequestSent | ResponseSent | OperationEvent
