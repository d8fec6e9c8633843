"""Global state of an explored world."""

from collections.abc import Hashable
from typing import NamedTuple

from .message import Message


class Budget(NamedTuple):
    """How many more faults of each kind, steps of time and timers may occur."""

    losses: int = 0
    late: int = 0
    doubles: int = 0
    restarts: int = 0
    wipes: int = 0
    passes: int = 0
    timers: int = 0


class WorldState(NamedTuple):
    """`local_numbers`: the local state of each process; `runs`: how often each restarted; `monitor`: the model's.

    `last_process`: the process whose operation advanced last; -2 if time passed, -1 if that is not tracked.
    """

    local_numbers: tuple[int, ...]
    runs: tuple[int, ...]
    messages: tuple[Message, ...]
    budget: Budget
    monitor: Hashable
    last_process: int = -1
