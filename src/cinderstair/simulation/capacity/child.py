"""One process of the tool: it does what it is told on its standard input, and ends when that ends."""

import asyncio
import json
import logging
import random
import resource
import sys
import time
from pathlib import Path
from typing import Any

from ...runtime.context import Context
from ...runtime.counters import Counters
from ...runtime.disk import Disk
from .metered_net import MeteredNet
from .reading import Reading

PLATFORM = Path(__file__).resolve().parents[4] / "platform"
MAX_LINE_BYTES = 64 * 1024 * 1024


def now_us() -> int:
    """One clock for all processes of this machine."""
    return time.monotonic_ns() // 1_000


def rss_bytes() -> int:
    """Resident memory of this process as the system counts it."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def cpu_us() -> int:
    return time.process_time_ns() // 1_000


def use_adapter() -> None:
    """Puts the platform's adapter on the path; the root folder stays off it, for the standard module's sake."""
    if not PLATFORM.is_dir():
        raise FileNotFoundError(f"{PLATFORM}: the tool runs from a checkout, which has the adapter beside src")
    if str(PLATFORM) not in sys.path:
        sys.path.insert(0, str(PLATFORM))


def metered_context(*, name: str, site: str, disk: Disk, seed: int) -> Context:
    counters = Counters()
    return Context(
        name=name,
        site=site,
        rng=random.Random(seed),
        clock=now_us,
        wall=lambda: time.time_ns() // 1_000,
        net=MeteredNet(counters=counters),
        disk=disk,
        log=logging.getLogger(name),
        counters=counters,
    )


def reading_of(*, nets: list[MeteredNet], http: tuple[int, int] = (0, 0), syncs: int = 0) -> Reading:
    return Reading(
        at_us=now_us(),
        cpu_us=cpu_us(),
        rss_bytes=rss_bytes(),
        records_in=sum(net.records_in for net in nets),
        records_out=sum(net.records_out for net in nets),
        bytes_in=sum(net.bytes_in for net in nets),
        bytes_out=sum(net.bytes_out for net in nets),
        http_in=http[0],
        http_out=http[1],
        syncs=syncs,
    )


class Child:
    """A command is a line of JSON with `do`; the method of that name gives the answer, in one line."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...

    async def dispatch(self, *, command: dict[str, Any]) -> dict[str, Any]:
        method = getattr(self, f"do_{command.pop('do')}")
        result: dict[str, Any] = await method(**command)
        return result

    async def run(self) -> None:
        logging.basicConfig(level=logging.WARNING, format="%(levelname)s %(name)s %(message)s", stream=sys.stderr)
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        await self.start()
        # why: a parent that is gone closes the pipe, and so nothing outlives it
        while line := await reader.readline():
            answer = await self.dispatch(command=json.loads(line))
            sys.stdout.write(json.dumps(answer) + "\n")
            sys.stdout.flush()
        await self.stop()
