"""Runs a daemon as a process: signals, changed settings, and an orderly shutdown."""

import asyncio
import logging
import os
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from expression import Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from ..runtime.settings import RELOADABLE_SETTINGS, Settings, read_settings, settings_needing_restart
from ..runtime.traces import Sink, Traces
from .container import Container
from .exit_code import ExitCode

#: How often the settings file is looked at.
WATCH_INTERVAL_US = 1_000_000


class DaemonRole(Protocol):
    """What a daemon runs: an HTTP proxy or a register replica."""

    async def start(self) -> Result[None, CinderstairError]:
        """Begins to serve; raises OSError where an address can't be listened on."""

    async def drain(self) -> None:
        """Ends in an orderly way: hands on what others can take over."""

    def update_settings(self, *, settings: Settings) -> None:
        """Takes settings of which those in LIVE may have changed."""


RoleFactory = Callable[[Context, Settings, Callable[[str], None]], DaemonRole]


@dataclass(frozen=True, kw_only=True)
class FileVersion:
    """Tells whether a file has changed; both are 0 where there is no file."""

    modified_ns: int = 0
    size: int = 0


def file_version(*, path: str) -> FileVersion:
    """The version of a file at this moment."""
    try:
        status = os.stat(path)
    except OSError:
        return FileVersion()
    return FileVersion(modified_ns=status.st_mtime_ns, size=status.st_size)


def file_sink(*, path: str) -> Sink:
    """A sink that appends to a file."""

    def sink(data: bytes) -> None:
        with open(path, "ab") as file:
            file.write(data)

    return sink


class Daemon:
    """Runs one role until SIGTERM or SIGINT, and rereads its settings file when that changes or on SIGHUP.

    :param path: the settings file; empty where all settings are flags
    :param flags: settings from the command line, which win over the file
    """

    def __init__(self, *, path: str, flags: dict[str, Any], settings: Settings, make_role: RoleFactory) -> None:
        self.path = path
        self.flags = flags
        self.settings = settings
        self.make_role = make_role
        self.stop = asyncio.Event()
        self.settings_version = file_version(path=path)
        self.log = logging.getLogger(settings.name)

    def halt(self, reason: str) -> None:
        """Ends the process at once where going on would be wrong: nothing is handed on, flushed or answered."""
        self.log.critical("halts: %s", reason)
        logging.shutdown()
        os._exit(ExitCode.FAILED)

    async def run(self) -> ExitCode:
        """Serves until a signal, and then drains; where the role can't start the reason is printed."""
        ctx = self._context()
        role = self.make_role(ctx, self.settings, self.halt)
        self._handle_signals(role=role)
        source = self.path or "flags"
        try:
            started = await role.start()
        except OSError as error:
            print(f"{source}: can't start: {error}", file=sys.stderr)
            return ExitCode.USAGE
        if started.is_error():
            print(f"{source}: {started.error.reason}", file=sys.stderr)
            return ExitCode.FAILED
        ctx.timer(every_us=WATCH_INTERVAL_US).subscribe(lambda _: self._watch_settings(role=role))
        await self.stop.wait()
        await self._shut_down(ctx=ctx, role=role)
        return ExitCode.DONE

    def _context(self) -> Context:
        container = Container()
        container.config.from_dict(
            {
                "name": self.settings.name,
                "site": self.settings.site,
                "folder": self.settings.folder,
                "disk_kind": "real" if self.settings.folder else "none",
            }
        )
        ctx: Context = container.context()
        if self.settings.traces:
            sink = file_sink(path=self.settings.traces)
            ctx.traces = Traces(service=self.settings.name, rng=ctx.rng, sink=sink)
        return ctx

    def _handle_signals(self, *, role: DaemonRole) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop.set)
        loop.add_signal_handler(signal.SIGINT, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: self._reread_settings(role=role, cause="signal"))

    async def _shut_down(self, *, ctx: Context, role: DaemonRole) -> None:
        self.log.info("stops")
        await role.drain()
        await ctx.net.close()
        ctx.close()
        self.log.info("counters %s", ctx.counters.snapshot())

    def _watch_settings(self, *, role: DaemonRole) -> None:
        version = file_version(path=self.path)
        # A file that is read while it is being written is seen again at the next tick.
        if self.path and version not in (self.settings_version, FileVersion()):
            self.settings_version = version
            self._reread_settings(role=role, cause="file changed")

    def _reread_settings(self, *, role: DaemonRole, cause: str) -> None:
        read = read_settings(path=self.path, flags=self.flags)
        if read.is_error():
            self.log.error("settings not changed (%s): %s", cause, read.error.reason)
            return
        fixed = settings_needing_restart(old=self.settings, new=read.ok)
        # Half a change would leave the process in a state that no file describes.
        if fixed:
            self.log.error("settings not changed (%s): %s need a restart", cause, ", ".join(fixed))
            return
        if read.ok == self.settings:
            return
        self.settings = replace(self.settings, **{key: getattr(read.ok, key) for key in RELOADABLE_SETTINGS})
        logging.getLogger().setLevel(self.settings.log_level.upper())
        role.update_settings(settings=self.settings)
        self.log.info("settings changed (%s)", cause)
