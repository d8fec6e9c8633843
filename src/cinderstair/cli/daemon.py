"""Runs a daemon as a process: signals, settings that change, and an orderly end."""

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from expression import Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from ..runtime.settings import LIVE, Settings, may_change_live, read_settings
from ..runtime.traces import Sink, Traces
from .container import Container
from .exit_code import ExitCode

WATCH_US = 1_000_000


class DaemonRole(Protocol):
    """What a role must be able to do."""

    async def start(self) -> Result[None, CinderstairError]: ...

    async def drain(self) -> None: ...

    def resettle(self, *, settings: Settings) -> None: ...


Make = Callable[[Context, Settings, Callable[[str], None]], DaemonRole]


def file_sink(*, path: str) -> Sink:
    def sink(data: bytes) -> None:
        with open(path, "ab") as file:
            file.write(data)

    return sink


class Daemon:
    def __init__(self, *, path: str, flags: dict[str, Any], settings: Settings, make: Make) -> None:
        self.path = path
        self.flags = flags
        self.settings = settings
        self.make = make
        self.stop = asyncio.Event()
        self.code = ExitCode.DONE
        self.stamp = self._stamp()
        self.log = logging.getLogger(settings.name)

    def _stamp(self) -> tuple[int, int]:
        try:
            status = os.stat(self.path)
        except OSError:
            return 0, 0
        return status.st_mtime_ns, status.st_size

    def halt(self, why: str) -> None:
        """The end when going on would be wrong: no deregistration, no flush, nothing more is answered."""
        self.log.critical("halts: %s", why)
        logging.shutdown()
        os._exit(ExitCode.FAILED)

    async def run(self) -> int:
        market = Container()
        market.config.from_dict(
            {
                "name": self.settings.name,
                "site": self.settings.site,
                "folder": self.settings.folder,
                "disk_kind": "real" if self.settings.folder else "none",
            }
        )
        ctx = market.context()
        if self.settings.traces:
            ctx.traces = Traces(service=self.settings.name, rng=ctx.rng, sink=file_sink(path=self.settings.traces))
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGINT, self.stop.set)
        trader: DaemonRole = self.make(ctx, self.settings, self.halt)
        loop.add_signal_handler(signal.SIGHUP, lambda: self._reread(trader=trader, why="signal"))
        try:
            started = await trader.start()
        except OSError as error:
            print(f"{self.path or 'flags'}: can't start: {error}", file=sys.stderr)
            return ExitCode.USAGE
        if started.is_error():
            print(f"{self.path or 'flags'}: {started.error.reason}", file=sys.stderr)
            return ExitCode.FAILED
        ctx.timer(every_us=WATCH_US).subscribe(lambda _: self._watch(trader=trader))
        await self.stop.wait()
        self.log.info("stops")
        await trader.drain()
        await ctx.net.close()
        ctx.close()
        self.log.info("counters %s", ctx.counters.snapshot())
        return self.code

    def _watch(self, *, trader: DaemonRole) -> None:
        stamp = self._stamp()
        # why: a file that is read while it is being written is seen again at the next tick
        if self.path and stamp != self.stamp and stamp != (0, 0):
            self.stamp = stamp
            self._reread(trader=trader, why="file changed")

    def _reread(self, *, trader: DaemonRole, why: str) -> None:
        read = read_settings(path=self.path, flags=self.flags)
        if read.is_error():
            self.log.error("settings not changed (%s): %s", why, read.error.reason)
            return
        fixed = may_change_live(old=self.settings, new=read.ok)
        # why: half a change would leave the process in a place that no file describes
        if fixed:
            self.log.error("settings not changed (%s): %s need a restart", why, ", ".join(fixed))
            return
        if read.ok == self.settings:
            return
        self.settings = replace(self.settings, **{key: getattr(read.ok, key) for key in LIVE})
        logging.getLogger().setLevel(self.settings.logLevel.upper())
        trader.resettle(settings=self.settings)
        self.log.info("settings changed (%s)", why)
