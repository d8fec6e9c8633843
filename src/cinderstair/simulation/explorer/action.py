"""One thing that may happen next."""

from typing import NamedTuple

from .message import Message


class Action(NamedTuple):
    """`kind` names it; `process` is who takes the step, or -1; `flight` is the message that it is about."""

    kind: str
    process: int = -1
    message: Message | None = None
    name: str = ""
