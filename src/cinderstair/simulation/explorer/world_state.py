"""One state of an explored world."""

from collections.abc import Hashable
from typing import NamedTuple

from .message import Message


class Budget(NamedTuple):
    """How often each thing may still go wrong, and how often time may still pass."""

    losses: int = 0
    late: int = 0
    doubles: int = 0
    restarts: int = 0
    wipes: int = 0
    passes: int = 0
    timers: int = 0


class WorldState(NamedTuple):
    """`places` are numbers of local states by process; `watch` is what the model's invariants keep in mind.

    `last`: whose operation went on last; -2 where it was time, -1 where that is not kept.
    """

    local_numbers: tuple[int, ...]
    runs: tuple[int, ...]
    messages: tuple[Message, ...]
    budget: Budget
    monitor: Hashable
    last_process: int = -1
