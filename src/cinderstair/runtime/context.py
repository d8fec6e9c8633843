"""The one context object: the only way to time, randomness, network and disk."""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TYPE_CHECKING, Any

import reactivex
from reactivex.scheduler.eventloop import AsyncIOScheduler

from .counters import Counters
from .disk import Disk
from .net import Net
from .peer_client import PeerClient
from .protocol_versions import PROTOCOL_VERSIONS, ProtocolVersions

if TYPE_CHECKING:
    # why: most daemons write no traces and must not load the library for them
    from .traces import Traces


@dataclass(kw_only=True)
class Context:
    """Stands in place of globals. A test hands in a virtual clock, network and disk."""

    name: str
    site: str
    rng: random.Random
    clock: Callable[[], int]
    wall: Callable[[], int]
    net: Net
    disk: Disk
    log: logging.Logger
    counters: Counters = field(default_factory=Counters)
    traces: "Traces | None" = None
    protocol_versions: ProtocolVersions = PROTOCOL_VERSIONS
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.peer_client = PeerClient(ctx=self)

    def now_us(self) -> int:
        """Monotonic microseconds; says nothing about any other machine's clock."""
        return self.clock()

    def wall_us(self) -> int:
        """Microseconds since 1970 by this machine's calendar clock; for move windows and traces alone."""
        return self.wall()

    async def sleep(self, *, duration_us: int) -> None:
        await asyncio.sleep(duration_us / 1_000_000)

    def spawn(self, *, work: Coroutine[Any, Any, Any], name: str = "") -> asyncio.Task[Any]:
        """Starts a task and keeps hold of it until it ends."""
        task = asyncio.get_running_loop().create_task(work, name=name or None)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        # why: an exception nobody awaits would vanish, and with it the reason why a duty stopped
        if not task.cancelled() and task.exception() is not None:
            self.crash(where=task.get_name(), error=task.exception())

    def crash(self, *, where: str, error: BaseException | None) -> None:
        self.counters.add(name="internal.crashes")
        self.log.error("crash in %s: %r", where, error, exc_info=error)

    def timer(self, *, every_us: int) -> reactivex.Observable[int]:
        """A stream of ticks on the process's one loop."""
        scheduler = AsyncIOScheduler(asyncio.get_running_loop())
        return reactivex.interval(timedelta(microseconds=every_us), scheduler=scheduler)

    def close(self) -> None:
        for task in list(self.tasks):
            task.cancel()
