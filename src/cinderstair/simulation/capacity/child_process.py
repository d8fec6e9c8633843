"""The parent's handle of a child process."""

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

from .reading import Reading, read_reading

MAX_LINE_BYTES = 64 * 1024 * 1024
STOP_TIMEOUT_S = 5.0


class ChildProcess:
    """Starts one child process, sends it commands and stops it. Its standard error goes to a log file."""

    def __init__(self, *, role: str, name: str, options: dict[str, Any], folder: Path) -> None:
        self.role = role
        self.name = name
        self.options = options
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.lock = asyncio.Lock()

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cinderstair.simulation.capacity.children",
                self.role,
                json.dumps(self.options),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=MAX_LINE_BYTES,
                env={**os.environ, "PYTHONHASHSEED": "0"},
            )

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def ask(self, *, do: str, wait_s: float = 60.0, **options: Any) -> dict[str, Any]:
        """Sends a command and returns the answer; RuntimeError if the child has ended or doesn't answer in time."""
        process = self.process
        if process is None or process.stdin is None or process.stdout is None:
            raise RuntimeError(f"{self.name} was not started")
        try:
            async with self.lock, asyncio.timeout(wait_s):
                process.stdin.write(json.dumps({"do": do, **options}).encode() + b"\n")
                await process.stdin.drain()
                line = await process.stdout.readline()
        except TimeoutError as error:
            raise RuntimeError(f"{self.name} did not answer {do!r} within {wait_s:.0f} s") from error
        except ConnectionError:
            line = b""
        if not line:
            raise RuntimeError(f"{self.name} has ended: {self.log_tail()}")
        answer: dict[str, Any] = json.loads(line)
        return answer

    def log_tail(self) -> str:
        """Returns the end of the child's log."""
        return self.log.read_text(errors="replace")[-600:] if self.log.exists() else ""

    async def reading(self) -> Reading:
        """Reads the child's resource counters."""
        return read_reading(value=await self.ask(do="read"))

    async def kill(self) -> None:
        """Kills the child without notice, as when a machine fails."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def stop(self) -> None:
        """Closes the child's standard input, which ends it; kills it after STOP_TIMEOUT_S."""
        process = self.process
        if process is None or process.returncode is not None:
            return
        if process.stdin is not None:
            process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            await self.kill()
