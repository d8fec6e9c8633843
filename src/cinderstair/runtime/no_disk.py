"""The disk of a process without a data folder."""

from collections.abc import Awaitable, Callable


class NoDisk:
    """Has no files and raises OSError on every write, which keeps a proxy from depending on a disk."""

    def read(self, *, name: str) -> bytes | None:
        """Return None: there are no files."""
        return None

    def write(self, *, name: str, data: bytes) -> None:
        """Raise OSError."""
        raise OSError(f"cannot write {name}: this process has no data folder")

    def append(self, *, name: str, data: bytes) -> None:
        """Raise OSError."""
        raise OSError(f"cannot write {name}: this process has no data folder")

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        """Raise OSError."""
        raise OSError("cannot write: this process has no data folder")
