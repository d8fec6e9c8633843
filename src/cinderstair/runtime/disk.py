"""What our processes may ask of a disk. A file lasts only once it has been synced."""

from collections.abc import Awaitable, Callable
from typing import Protocol


class Disk(Protocol):
    """Files by name in one data folder. Calls raise OSError as a real disk does."""

    def read(self, *, name: str) -> bytes | None:
        """The whole file, or None where there is none."""
        ...

    def write(self, *, name: str, data: bytes) -> None:
        """Replaces the file's content and syncs it and the folder."""
        ...

    def append(self, *, name: str, data: bytes) -> None:
        """Adds to the file's end and syncs it."""
        ...

    def beside(self, *, work: Callable[[], None]) -> Awaitable[None]:
        """Runs calls of this disk so that the loop need not wait for them; one piece of work after the other."""
        ...
