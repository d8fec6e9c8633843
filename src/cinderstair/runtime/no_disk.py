"""The disk of a machine that has none."""

from collections.abc import Awaitable, Callable


class NoDisk:
    """Reads nothing and refuses every write, so that no front daemon can come to lean on a disk."""

    def read(self, *, name: str) -> bytes | None:
        return None

    def write(self, *, name: str, data: bytes) -> None:
        raise OSError(f"no data folder for {name}")

    def append(self, *, name: str, data: bytes) -> None:
        raise OSError(f"no data folder for {name}")

    def beside(self, *, work: Callable[[], None]) -> Awaitable[None]:
        raise OSError("no data folder")
