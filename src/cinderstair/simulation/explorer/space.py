"""Interface of a transition system that can be searched."""

from collections.abc import Hashable, Sequence
from typing import Any, Protocol


class Space(Protocol):
    """A deterministic transition system: a schedule (indices of enabled actions) identifies a path."""

    def initial(self) -> Hashable:
        """The initial state."""
        ...

    def enabled_actions(self, *, state: Any) -> Sequence[Any]:
        """The enabled actions in a fixed order; the first is that of the default schedule."""
        ...

    def step(self, *, state: Any, action: Any) -> Hashable:
        """The successor state."""
        ...

    def digest(self, *, state: Any) -> bytes:
        """A fingerprint that is equal for equal states."""
        ...

    def violation(self, *, state: Any) -> str:
        """The invariant that the state violates; empty if none."""
        ...

    def describe(self, *, state: Any, action: Any) -> str:
        """Describes an action for a counterexample."""
        ...
