"""The disk of a process without a data folder."""

from collections.abc import Awaitable, Callable


class NoDisk:
    """Has no files and refuses every write, so that a proxy can't come to depend on a disk."""

    def read(self, *, name: str) -> bytes | None:
        """Return None: there are no files."""
        return None

    def write(self, *, name: str, data: bytes) -> None:
        """Raise OSError."""
        raise OSError(f"no data folder for {name}")

    def append(self, *, name: str, data: bytes) -> None:
        """Raise OSError."""
        raise OSError(f"no data folder for {name}")

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        """Raise OSError."""
        raise OSError("no data folder")
