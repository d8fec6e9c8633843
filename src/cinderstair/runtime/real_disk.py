"""The data folder on a real disk."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path


class RealDisk:
    """Writes in place on purpose: two slots written in turn need no rename, and a torn slot is detected."""

    def __init__(self, *, folder: str) -> None:
        self.folder = Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.handles: dict[str, int] = {}
        # why: one thread, whose whole work is to wait: a disk that hangs must hold up nobody but those who need it
        self.thread = ThreadPoolExecutor(max_workers=1, thread_name_prefix="disk")

    def beside(self, *, work: Callable[[], None]) -> Awaitable[None]:
        return asyncio.get_running_loop().run_in_executor(self.thread, work)

    def _sync_folder(self) -> None:
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def read(self, *, name: str) -> bytes | None:
        path = self.folder / name
        return path.read_bytes() if path.exists() else None

    def write(self, *, name: str, data: bytes) -> None:
        self._forget(name=name)
        with open(self.folder / name, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        self._sync_folder()

    def append(self, *, name: str, data: bytes) -> None:
        handle = self.handles.get(name)
        if handle is None:
            handle = os.open(self.folder / name, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
            self.handles[name] = handle
            self._sync_folder()
        left = memoryview(data)
        # why: a write may be short; what was not taken must be offered again before the sync
        while left:
            left = left[os.write(handle, left) :]
        os.fsync(handle)

    def _forget(self, *, name: str) -> None:
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)
