"""A simulated disk, which outlives the processes of its machine and can fail, tear a write or lose its data."""

import asyncio
import random
from collections.abc import Awaitable, Callable


class SimDisk:
    """Data is durable when a write or append returns; an injected fault makes the call raise OSError instead.

    `hangs` is the delay of each background call in seconds.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self.rng = rng
        self.files: dict[str, bytes] = {}
        self.fail_next = False
        self.tear_next = False
        self.syncs = 0
        self.hangs = 0.0

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        """Runs blocking disk work, after the delay of a hanging disk."""
        return self._run_after_delay(work)

    async def _run_after_delay(self, work: Callable[[], None]) -> None:
        # Only the awaiting task is delayed, as with a real disk that is accessed off the event loop
        if self.hangs:
            await asyncio.sleep(self.hangs)
        work()

    def _apply_fault(self, *, name: str, old: bytes, new: bytes) -> None:
        self.syncs += 1
        if self.tear_next:
            self.tear_next = False
            # A power failure may leave any prefix of the write
            self.files[name] = old + new[: self.rng.randrange(len(new))]
            raise OSError(f"{name}: write torn")
        if self.fail_next:
            self.fail_next = False
            raise OSError(f"{name}: sync failed")

    def read(self, *, name: str) -> bytes | None:
        """Returns the content of a file, None if it does not exist."""
        return self.files.get(name)

    def write(self, *, name: str, data: bytes) -> None:
        """Replaces a file; raises OSError on an injected fault."""
        self._apply_fault(name=name, old=b"", new=data)
        self.files[name] = data

    def append(self, *, name: str, data: bytes) -> None:
        """Appends to a file; raises OSError on an injected fault."""
        old = self.files.get(name, b"")
        self._apply_fault(name=name, old=old, new=data)
        self.files[name] = old + data

    def wipe(self) -> None:
        """Loses all data."""
        self.files.clear()
