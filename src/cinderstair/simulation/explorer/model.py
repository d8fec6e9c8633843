"""What is explored: which processes there are, what may go wrong, and what must never be."""

from collections.abc import Hashable, Sequence

from .actor import Actor
from .event import OperationEvent
from .local_states import LocalState
from .process_spec import ProcessSpec
from .world_state import Budget


class Model:
    """`names` are the processes, `register replicas` of which come first; the others are clients and never fail."""

    names: tuple[str, ...] = ()
    register_replicas = 3
    budget = Budget()
    # how much time passes at once where the model has passes
    pass_us = 1_000_000
    # the bounds of a run by hand where it names none
    depth = 12
    turns: int | None = None

    def process_specs(self) -> Sequence[ProcessSpec]:
        """How each process starts."""
        raise NotImplementedError

    def make(self, spec: ProcessSpec) -> Actor:
        raise NotImplementedError

    def initial_monitor(self) -> Hashable:
        return None

    def monitor(self, *, monitor: Hashable, process: int, operation_event: OperationEvent) -> Hashable:
        """What is kept in mind once a client has said something."""
        return monitor

    def wipe_address(self, *, process: int, address: str) -> str:
        """Where a register replica comes back that has lost its disk."""
        return address

    def may_lose_disk(self, *, monitor: Hashable) -> bool:
        """Whether disks may be lost yet."""
        return True

    def wrong(self, *, local_states: Sequence[LocalState], monitor: Hashable) -> str:
        """Which invariant is broken; empty where none."""
        raise NotImplementedError
