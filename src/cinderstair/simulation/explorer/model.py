"""Base class of models: processes, fault budget, monitor and invariants."""

from collections.abc import Hashable, Sequence

from .actor import Actor
from .event import OperationEvent
from .local_states import LocalState
from .process_spec import ProcessSpec
from .world_state import Budget


class Model:
    """`names` lists the processes: `register_replicas` replicas, then clients, which never fail.

    `depth` and `turns` are the default bounds of a search.
    """

    names: tuple[str, ...] = ()
    register_replicas = 3
    budget = Budget()
    # Duration of one step of time.
    pass_us = 1_000_000
    depth = 12
    turns: int | None = None

    def process_specs(self) -> Sequence[ProcessSpec]:
        """The start parameters of each process."""
        raise NotImplementedError

    def make(self, spec: ProcessSpec) -> Actor:
        """Creates a process."""
        raise NotImplementedError

    def initial_monitor(self) -> Hashable:
        """The monitor's state before any operation."""
        return None

    def update_monitor(self, *, monitor: Hashable, process: int, operation_event: OperationEvent) -> Hashable:
        """The monitor's state after an operation event; a string names the violated invariant."""
        return monitor

    def wipe_address(self, *, process: int, address: str) -> str:
        """The address at which a register replica restarts after losing its disk."""
        return address

    def may_lose_disk(self, *, monitor: Hashable) -> bool:
        """Whether disks may be lost in the current state."""
        return True

    def violation(self, *, local_states: Sequence[LocalState], monitor: Hashable) -> str:
        """The invariant that the state violates; empty if none."""
        raise NotImplementedError
