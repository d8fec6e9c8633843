"""The context of a process: its clocks, randomness, network, disk, log and metrics."""

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
    # Most processes write no traces; they do not load the protobuf library that traces need.
    from .traces import Traces


@dataclass(kw_only=True)
class Context:
    """A process's dependencies, passed to every component; tests supply a virtual clock, network and disk.

    :ivar name: the process's name.
    :ivar site: the site that it runs at.
    :ivar rng: the only source of randomness, so that a simulation with the same seed repeats exactly.
    :ivar clock: returns the monotonic time in microseconds.
    :ivar wall: returns the calendar time in microseconds since 1970.
    :ivar net: messages between processes, and HTTP.
    :ivar disk: the data folder.
    :ivar log: the process's logger.
    :ivar counters: the process's metrics.
    :ivar traces: collects traces; None if the process writes none.
    :ivar protocol_versions: the protocol versions that the process supports.
    :ivar tasks: the background tasks that have not ended.
    :ivar peer_client: sends requests to other processes.
    """

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
        """Return the monotonic time in microseconds; values of different processes can't be compared."""
        return self.clock()

    def wall_us(self) -> int:
        """Return the microseconds since 1970 by this machine's calendar clock.

        Only maintenance windows and traces use it: the clock may be wrong or jump.
        """
        return self.wall()

    async def sleep(self, *, duration_us: int) -> None:
        """Suspend the current task for this many microseconds."""
        await asyncio.sleep(duration_us / 1_000_000)

    def spawn(self, *, work: Coroutine[Any, Any, Any], name: str = "") -> asyncio.Task[Any]:
        """Start a background task; an exception that ends it is counted and logged.

        :param work: the coroutine to run.
        :param name: names the task in the log; empty for a generated name.
        """
        task = asyncio.get_running_loop().create_task(work, name=name or None)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        # No other code awaits the task, so its exception would go unnoticed.
        if not task.cancelled() and task.exception() is not None:
            self.crash(where=task.get_name(), error=task.exception())

    def crash(self, *, where: str, error: BaseException | None) -> None:
        """Count and log an unexpected exception, which is a fault in the code.

        :param where: the component or task that raised it.
        """
        self.counters.add(name="internal.crashes")
        self.log.error("unexpected exception in %s: %r", where, error, exc_info=error)

    def timer(self, *, every_us: int) -> reactivex.Observable[int]:
        """Return an observable that emits 0, 1, 2, ... on the running event loop.

        :param every_us: the interval in microseconds; the first number comes after one interval.
        """
        scheduler = AsyncIOScheduler(asyncio.get_running_loop())
        return reactivex.interval(timedelta(microseconds=every_us), scheduler=scheduler)

    def close(self) -> None:
        """Cancel all background tasks."""
        for task in list(self.tasks):
            task.cancel()
