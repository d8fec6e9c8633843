"""The data folder of a process on a real disk."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


class RealDisk:
    """A data folder whose files are overwritten in place; a power loss during ``write`` leaves a torn file.

    The register store copes with that: it alternates between two slots and detects a torn one.

    :param folder: the path of the data folder; it is created if it does not exist.
    :raises OSError: if the folder can't be created.
    """

    def __init__(self, *, folder: str) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self._append_handles: dict[str, int] = {}
        # A dedicated thread: a disk that hangs blocks only the tasks that await a write, not the event loop.
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        """Run a function in the disk's thread."""
        return asyncio.get_running_loop().run_in_executor(self._executor, work)

    def _sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def read(self, *, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        path = self.folder / name
        return path.read_bytes() if path.exists() else None

    def write(self, *, name: str, data: bytes) -> None:
        """Replace the content of a file, and sync the file and the folder."""
        self._close_append_handle(name=name)
        with open(self.folder / name, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        self._sync_folder()

    def append(self, *, name: str, data: bytes) -> None:
        """Append to a file, which is created if it does not exist, and sync it."""
        handle = self._append_handle(name=name)
        remaining = memoryview(data)
        # os.write may write fewer bytes than it was given.
        while remaining:
            remaining = remaining[os.write(handle, remaining) :]
        os.fsync(handle)

    def _append_handle(self, *, name: str) -> int:
        handle = self._append_handles.get(name)
        if handle is None:
            handle = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
            self._append_handles[name] = handle
            self._sync_folder()
        return handle

    def _close_append_handle(self, *, name: str) -> None:
        handle = self._append_handles.pop(name, None)
        if handle is not None:
            os.close(handle)
