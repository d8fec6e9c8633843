"""The verbs that run a daemon."""

import asyncio
import logging
import os
import sys
from collections.abc import Callable
from typing import Any

from cleo.helpers import option

from ..consensus.register_replica import RegisterReplica
from ..http_frontend.http_proxy import HttpProxy
from ..runtime.context import Context
from ..runtime.settings import Settings, read_settings
from .base_command import BaseCommand
from .daemon import Daemon, DaemonRole
from .exit_code import ExitCode

FLAGS = (
    ("name", "this process's name"),
    ("site", "its site"),
    ("records", "address for the records between daemons, such as 127.0.0.1:7101"),
    ("http", "address of the HTTP edge"),
    ("folder", "data folder"),
    ("platform", "address of the platform"),
    ("traces", "file for traces in the OpenTelemetry JSON form (none: off)"),
    ("logLevel", "debug, info, warning or error"),
)


class DaemonCommand(BaseCommand):
    """Reads and checks the settings, then runs one role until it is told to stop."""

    options = [
        option("settings", "s", "settings file (TOML)", flag=False),
        *(option(name, None, words, flag=False) for name, words in FLAGS),
        option("seeds", None, "three seed addresses with commas between", flag=False),
        option("foundingVaults", None, "how many register replicas found the system", flag=False),
    ]
    needs_http = False
    needs_folder = False

    def make(self, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> DaemonRole:
        raise NotImplementedError

    def _flags(self) -> dict[str, Any] | str:
        flags: dict[str, Any] = {}
        for name, _ in FLAGS:
            value = self.option(name)
            if value is not None:
                flags[name] = value
        if self.option("seeds"):
            flags["seeds"] = self.option("seeds").split(",")
        if self.option("foundingVaults"):
            if not self.option("foundingVaults").isdigit():
                return "foundingVaults: a whole number is needed"
            flags["foundingVaults"] = int(self.option("foundingVaults"))
        return flags

    def handle(self) -> int:
        path = self.option("settings") or ""
        flags = self._flags()
        if isinstance(flags, str):
            return self.fail(message=f"flags: {flags}", code=ExitCode.USAGE)
        read = read_settings(path=path, flags=flags)
        if read.is_error():
            return self.fail(message=read.error.reason, code=ExitCode.USAGE)
        settings, where = read.ok, path or "flags"
        if self.needs_http and not settings.http:
            return self.fail(message=f"{where}: http: an address is needed for this role", code=ExitCode.USAGE)
        if self.needs_folder:
            problem = folder_error(folder=settings.folder)
            if problem:
                return self.fail(message=f"{where}: folder: {problem}", code=ExitCode.USAGE)
        logging.basicConfig(
            level=settings.logLevel.upper(),
            format="%(asctime)s %(levelname)s %(name)s %(message)s",
            stream=sys.stderr,
        )

        async def main() -> int:
            daemon = Daemon(path=path, flags=flags, settings=settings, make=self.make)
            return await daemon.run()

        return asyncio.run(main())


def folder_error(*, folder: str) -> str:
    """Why a data folder can't be used; empty where it can."""
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
    name = "http-proxy"
    aliases = ["stall"]
    description = "Run an HTTP proxy: sessions, and connections to its subset of the backends"
    needs_http = True

    def make(self, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> DaemonRole:
        return HttpProxy(ctx=ctx, settings=settings)


class RegisterReplicaCommand(DaemonCommand):
    name = "register-replica"
    aliases = ["vault"]
    description = "Run a register replica on a machine with a disk: one vote of the register"
    needs_folder = True

    def make(self, ctx: Context, settings: Settings, halt: Callable[[str], None]) -> DaemonRole:
        return RegisterReplica(ctx=ctx, settings=settings, halt=halt)
