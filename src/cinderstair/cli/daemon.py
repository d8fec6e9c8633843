"""Runs a daemon as a process: signals, reload of settings, and graceful shutdown."""

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

#: The interval at which the settings file is checked for changes.
WATCH_INTERVAL_US = 1_000_000


class DaemonRole(Protocol):
    """The service that a daemon runs: an HTTP proxy or a register replica."""

    async def start(self) -> Result[None, CinderstairError]:
        """Starts to serve.

        :returns: an error if the service can't run, for example because its files are damaged
        :raises OSError: if an address can't be bound
        """

    async def drain(self) -> None:
        """Shuts down gracefully: hands over to other processes what they can take over."""

    def update_settings(self, *, settings: Settings) -> None:
        """Applies new settings, which differ from the old ones only in those of RELOADABLE_SETTINGS."""


RoleFactory = Callable[[Context, Settings, Callable[[str], None]], DaemonRole]


@dataclass(frozen=True, kw_only=True)
class FileVersion:
    """The modification time and size of a file, to detect changes; both are 0 if there is no file."""

    modified_ns: int = 0
    size: int = 0


def file_version(*, path: str) -> FileVersion:
    """Returns the current version of a file."""
    try:
        status = os.stat(path)
    except OSError:
        return FileVersion()
    return FileVersion(modified_ns=status.st_mtime_ns, size=status.st_size)


def file_sink(*, path: str) -> Sink:
    """Returns a sink that appends to a file, which it opens for each line."""

    def sink(data: bytes) -> None:
        with open(path, "ab") as file:
            file.write(data)

    return sink


class Daemon:
    """Runs one role until SIGTERM or SIGINT, and reloads its settings file when that changes or on SIGHUP.

    :param path: the settings file; empty if all settings are flags
    :param flags: settings from the command line, which override the file
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
        """Ends the process immediately, without handover, flush or response, because it must not go on.

        :param reason: why, for the log
        """
        self.log.critical("halting immediately: %s", reason)
        logging.shutdown()
        os._exit(ExitCode.FAILED)

    async def run(self) -> ExitCode:
        """Serves until a signal, then shuts down; if the role can't start, prints the reason.

        :returns: DONE after a shutdown, USAGE if an address can't be bound, FAILED if the role reports an error
        """
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
        self.log.info("shutting down")
        await role.drain()
        await ctx.net.close()
        ctx.close()
        self.log.info("counters %s", ctx.counters.snapshot())

    def _watch_settings(self, *, role: DaemonRole) -> None:
        version = file_version(path=self.path)
        # If the file is read while it is being written, its version changes again and the next check reloads it.
        if self.path and version not in (self.settings_version, FileVersion()):
            self.settings_version = version
            self._reread_settings(role=role, cause="file changed")

    def _reread_settings(self, *, role: DaemonRole, cause: str) -> None:
        read = read_settings(path=self.path, flags=self.flags)
        if read.is_error():
            self.log.error("settings not changed (%s): %s", cause, read.error.reason)
            return
        restart_needed = settings_needing_restart(old=self.settings, new=read.ok)
        # Applying only some of the changes would leave the process with settings that no file describes.
        if restart_needed:
            self.log.error("settings not changed (%s): %s need a restart", cause, ", ".join(restart_needed))
            return
        if read.ok == self.settings:
            return
        self.settings = replace(self.settings, **{key: getattr(read.ok, key) for key in RELOADABLE_SETTINGS})
        logging.getLogger().setLevel(self.settings.log_level.upper())
        role.update_settings(settings=self.settings)
        self.log.info("settings changed (%s)", cause)
