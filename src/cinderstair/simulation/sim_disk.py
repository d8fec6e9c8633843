"""A simulated disk: outlives its machine's runs, and can fail, tear or be lost."""

import asyncio
import random
from collections.abc import Awaitable, Callable


class SimDisk:
    """Whatever a call returned from is synced; a fault makes the call raise OSError instead."""

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[str, bytes] = {}
        self.fail_next = False
        self.tear_next = False
        self.syncs = 0
        self.hangs = 0.0

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        return self._beside(work)

    async def _beside(self, work: Callable[[], None]) -> None:
        # why: a disk that hangs holds up only those who wait for it, as a real one does beside the loop
        if self.hangs:
            await asyncio.sleep(self.hangs)
        work()

    def _strike(self, *, name: str, old: bytes, new: bytes) -> None:
        self.syncs += 1
        if self.tear_next:
            self.tear_next = False
            # why: power may go at any byte of what was being written
            self.files[name] = old + new[: self.rng.randrange(len(new))]
            raise OSError("torn")
        if self.fail_next:
            self.fail_next = False
            raise OSError("sync failed")

    def read(self, *, name: str) -> bytes | None:
        return self.files.get(name)

    def write(self, *, name: str, data: bytes) -> None:
        self._strike(name=name, old=b"", new=data)
        self.files[name] = data

    def append(self, *, name: str, data: bytes) -> None:
        old = self.files.get(name, b"")
        self._strike(name=name, old=old, new=data)
        self.files[name] = old + data

    def wipe(self) -> None:
        self.files.clear()
