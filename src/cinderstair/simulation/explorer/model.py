"""What is explored: which processes there are, what may go wrong, and what must never be."""

from collections.abc import Hashable, Sequence

from .actor import Actor
from .event import BackendHeartbeat
from .local_states import LocalState
from .recipe import Recipe
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

    def recipes(self) -> Sequence[Recipe]:
        """How each process starts."""
        raise NotImplementedError

    def make(self, recipe: Recipe) -> Actor:
        raise NotImplementedError

    def first_watch(self) -> Hashable:
        return None

    def watch(self, *, watch: Hashable, process: int, said: BackendHeartbeat) -> Hashable:
        """What is kept in mind once a client has said something."""
        return watch

    def wipe_address(self, *, process: int, address: str) -> str:
        """Where a register replica comes back that has lost its disk."""
        return address

    def may_fail(self, *, watch: Hashable) -> bool:
        """Whether disks may be lost yet."""
        return True

    def wrong(self, *, locals_: Sequence[LocalState], watch: Hashable) -> str:
        """Which invariant is broken; empty where none."""
        raise NotImplementedError
