"""Commands that run a daemon."""

import asyncio
import logging
import os
import sys
from collections.abc import Callable
from typing import Any

from cleo.helpers import option
from expression import Error, Ok, Result

from ..consensus.register_replica import RegisterReplica
from ..http_frontend.http_proxy import HttpProxy
from ..runtime.context import Context
from ..runtime.settings import Settings, read_settings
from .base_command import BaseCommand
from .daemon import Daemon, DaemonRole
from .exit_code import ExitCode

#: The settings that can be given as flags, with their descriptions.
FLAGS = (
    ("name", "name of this process, unique in the system"),
    ("site", "site at which this process runs"),
    ("records", "address for messages from other daemons, such as 127.0.0.1:7101"),
    ("http", "address of the HTTP server"),
    ("folder", "data folder"),
    ("platform", "address of the platform, which promotes backends"),
    ("traces", "file for traces in OpenTelemetry's JSON encoding; without it no traces are written"),
    ("logLevel", "debug, info, warning or error"),
)


class DaemonCommand(BaseCommand):
    """Reads and validates the settings, then runs one role until a signal ends it.

    :cvar needs_http: whether the role needs an HTTP address
    :cvar needs_folder: whether the role needs a data folder
    """

    options = [
        option("settings", "s", "settings file (TOML)", flag=False),
        *(option(name, None, description, flag=False) for name, description in FLAGS),
        option("seeds", None, "three seed addresses, separated by commas", flag=False),
        option("foundingVaults", None, "number of register replicas that form the first voter set", flag=False),
    ]
    needs_http = False
    needs_folder = False

    def make_role(self, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> DaemonRole:
        """Creates the role that this command runs.

        :param halt: ends the process immediately; its argument is the reason for the log
        """
        raise NotImplementedError

    def _flags(self) -> Result[dict[str, Any], str]:
        """Returns the settings from the command line, or the reason why they are invalid."""
        flags: dict[str, Any] = {name: self.option(name) for name, _ in FLAGS if self.option(name) is not None}
        if self.option("seeds"):
            flags["seeds"] = self.option("seeds").split(",")
        founding = self.option("foundingVaults")
        if founding and not founding.isdigit():
            return Error("foundingVaults: a whole number is needed")
        if founding:
            flags["foundingVaults"] = int(founding)
        return Ok(flags)

    def _role_error(self, *, settings: Settings) -> str:
        """Returns what the settings lack for this role; empty if nothing."""
        if self.needs_http and not settings.http:
            return "http: an address is needed for this role"
        problem = folder_error(folder=settings.folder) if self.needs_folder else ""
        return f"folder: {problem}" if problem else ""

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        path = self.option("settings") or ""
        flags = self._flags()
        if flags.is_error():
            return self.fail(message=f"flags: {flags.error}", code=ExitCode.USAGE)
        read = read_settings(path=path, flags=flags.ok)
        if read.is_error():
            return self.fail(message=read.error.reason, code=ExitCode.USAGE)
        settings = read.ok
        problem = self._role_error(settings=settings)
        if problem:
            return self.fail(message=f"{path or 'flags'}: {problem}", code=ExitCode.USAGE)
        logging.basicConfig(
            level=settings.log_level.upper(),
            format="%(asctime)s %(levelname)s %(name)s %(message)s",
            stream=sys.stderr,
        )
        return asyncio.run(self._run(path=path, flags=flags.ok, settings=settings))

    async def _run(self, *, path: str, flags: dict[str, Any], settings: Settings) -> ExitCode:
        # The daemon creates an asyncio.Event, which belongs to the running event loop.
        daemon = Daemon(path=path, flags=flags, settings=settings, make_role=self.make_role)
        return await daemon.run()


def folder_error(*, folder: str) -> str:
    """Creates the data folder if needed, and returns why it can't be used; empty if it can."""
    if not folder:
        return "a data folder is needed for this role"
    try:
        os.makedirs(folder, exist_ok=True)
        probe = os.path.join(folder, ".probe")
        with open(probe, "wb") as file:
            file.write(b"x")
        os.unlink(probe)
    except OSError as error:
        return f"'{folder}' can't be written: {error.strerror}"
    return ""


class HttpProxyCommand(DaemonCommand):
    """Runs an HTTP proxy."""

    name = "http-proxy"
    aliases = ["stall"]
    description = "Run an HTTP proxy: sessions, and connections to its subset of the backends"
    needs_http = True

    def make_role(self, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> DaemonRole:
        """Creates the role that this command runs."""
        return HttpProxy(ctx=ctx, settings=settings)


class RegisterReplicaCommand(DaemonCommand):
    """Runs a register replica."""

    name = "register-replica"
    aliases = ["vault"]
    description = "Run a register replica, one voter of the consensus register, on a machine with a disk"
    needs_folder = True

    def make_role(self, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> DaemonRole:
        """Creates the role that this command runs."""
        return RegisterReplica(ctx=ctx, settings=settings, halt=halt)
