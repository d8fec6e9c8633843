"""A transition that is enabled in a state of the explored world."""

from typing import NamedTuple

from .message import Message


class Action(NamedTuple):
    """`process` takes the step (-1: all of them); `message` is the one that is delivered, lost or duplicated."""

    kind: str
    process: int = -1
    message: Message | None = None
    name: str = ""
