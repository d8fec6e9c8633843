"""A simulated disk whose background syncs complete by an explicit event."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..sim_disk import SimDisk


class ControlledDisk(SimDisk):
    """Loses unsynced data when its process ends. Torn writes are not modelled: store.feature covers them."""

    def __init__(self, *, files: dict[str, bytes]) -> None:
        super().__init__(rng=random.Random(0))
        self.files = files
        self.syncing: asyncio.Future[None] | None = None

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        return self._apply_when_synced(work)

    async def _apply_when_synced(self, work: Callable[[], None]) -> None:
        self.syncing = asyncio.get_running_loop().create_future()
        await self.syncing
        work()

    def synced(self) -> None:
        """Completes the sync that is in progress."""
        assert self.syncing is not None
        syncing, self.syncing = self.syncing, None
        syncing.set_result(None)
