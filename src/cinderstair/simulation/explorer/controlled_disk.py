"""A simulated disk whose syncs beside the loop end when somebody says so."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from ..sim_disk import SimDisk


class ControlledDisk(SimDisk):
    """What was not synced when its process ends is lost; nothing is torn here (store.feature tears every byte)."""

    def __init__(self, *, files: dict[str, bytes]) -> None:
        super().__init__(rng=random.Random(0))
        self.files = files
        self.syncing: asyncio.Future[None] | None = None

    def run_in_background(self, *, work: Callable[[], None]) -> Awaitable[None]:
        return self._when_reported(work)

    async def _when_reported(self, work: Callable[[], None]) -> None:
        self.syncing = asyncio.get_running_loop().create_future()
        await self.syncing
        work()

    def synced(self) -> None:
        assert self.syncing is not None
        syncing, self.syncing = self.syncing, None
        syncing.set_result(None)
