"""What a search explores."""

from collections.abc import Hashable, Sequence
from typing import Any, Protocol


class Space(Protocol):
    """States are hashable and steps are always the same, so a list of choices says everything."""

    def initial(self) -> Hashable: ...

    def choices(self, *, state: Any) -> Sequence[Any]:
        """What may happen next, in a fixed order; the first is what happens in a calm world."""
        ...

    def step(self, *, state: Any, action: Any) -> Hashable: ...

    def digest(self, *, state: Any) -> bytes:
        """The same for states that are the same."""
        ...

    def wrong(self, *, state: Any) -> str:
        """Which invariant the state breaks; empty where none."""
        ...

    def reported(self, *, state: Any, action: Any) -> str:
        """The choice in words."""
        ...
