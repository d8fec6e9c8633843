"""Base of the child processes: runs commands from standard input until it is closed."""

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
    """Returns the monotonic clock, which all processes of a machine share."""
    return time.monotonic_ns() // 1_000


def rss_bytes() -> int:
    """Returns the resident memory of this process, as the kernel counts it."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def cpu_us() -> int:
    """Returns the CPU time that this process has used."""
    return time.process_time_ns() // 1_000


def use_adapter() -> None:
    """Adds the adapter's folder to the import path.

    The project root is not added: its folder `platform` would shadow the standard module.
    """
    if not PLATFORM.is_dir():
        raise FileNotFoundError(
            f"{PLATFORM}: not found; run the tool from a checkout, which has the adapter beside src"
        )
    if str(PLATFORM) not in sys.path:
        sys.path.insert(0, str(PLATFORM))


def metered_context(*, name: str, site: str, disk: Disk, seed: int) -> Context:
    """Returns a daemon's context with real clocks and a network that counts its traffic."""
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
    """Reads this process's counters, with the traffic of all its networks."""
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
    """Reads commands as lines of JSON and answers each with a line of JSON.

    The field `do` of a command selects the method do_<name>, the other fields are its arguments.
    """

    async def start(self) -> None:
        """Runs before the first command."""

    async def stop(self) -> None:
        """Runs after the last command."""

    async def dispatch(self, *, command: dict[str, Any]) -> dict[str, Any]:
        """Runs one command and returns its answer."""
        method = getattr(self, f"do_{command.pop('do')}")
        result: dict[str, Any] = await method(**command)
        return result

    async def run(self) -> None:
        """Serves commands until standard input is closed."""
        logging.basicConfig(level=logging.WARNING, format="%(levelname)s %(name)s %(message)s", stream=sys.stderr)
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        await self.start()
        # The pipe closes when the parent ends, so that no child outlives it.
        while line := await reader.readline():
            answer = await self.dispatch(command=json.loads(line))
            sys.stdout.write(json.dumps(answer) + "\n")
            sys.stdout.flush()
        await self.stop()
