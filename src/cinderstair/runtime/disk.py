"""The disk interface that the other packages depend on."""

from collections.abc import Awaitable, Callable
from typing import Protocol


class Disk(Protocol):
    """The files in one data folder, by name. Every method may raise OSError.

    What a method has written survives a power loss once the method has returned.
    """

    def read(self, *, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        ...

    def write(self, *, name: str, data: bytes) -> None:
        """Replace the content of a file, and sync the file and the folder."""
        ...

    def append(self, *, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist, and sync it."""
        ...

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        """Run a function that calls this disk without blocking the event loop; one function at a time.

        :returns: an awaitable that ends with the function, and raises what it raises.
        """
        ...
