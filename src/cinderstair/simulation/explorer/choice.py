"""One thing that may happen next."""

from typing import NamedTuple

from .flight import Flight


class Choice(NamedTuple):
    """`kind` names it; `process` is who takes the step, or -1; `flight` is the message that it is about."""

    kind: str
    process: int = -1
    flight: Flight | None = None
    name: str = ""
