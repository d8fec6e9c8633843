"""Starts, signals and observes the processes under test."""

import os
import signal
import subprocess
from dataclasses import dataclass
from pathlib import Path

import psutil

from .deploy_file import LIBRARIES, ROOT, commands

# Of the caller's variables the platform passes on these.
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
SETTINGS_VARIABLE = "CINDERSTAIR_SETTINGS"


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Resident memory in bytes, and open descriptors, of one process."""

    memory_bytes: int
    descriptors: int


class ChildProcesses:
    """Owns the processes by machine name, their settings files and their logs, all in `folder`."""

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.commands = commands()
        self.children: dict[str, subprocess.Popen[bytes]] = {}
        self.frozen: set[str] = set()

    def settings_path(self, *, name: str) -> Path:
        """The path of a machine's settings file."""
        return self.folder / f"{name}.toml"

    def log_path(self, *, name: str) -> Path:
        """The path of the file to which a machine's processes write their logs, one after the other."""
        return self.folder / f"{name}.log"

    def start(self, *, name: str, role: str, settings: str) -> None:
        """Starts a machine's process with these settings; an earlier one must have ended."""
        self.settings_path(name=name).write_text(settings)
        environment = {key: os.environ[key] for key in PASSED_VARIABLES if key in os.environ}
        environment[SETTINGS_VARIABLE] = str(self.settings_path(name=name))
        environment["PYTHONPATH"] = str(LIBRARIES)
        with self.log_path(name=name).open("ab") as log:
            self.children[name] = subprocess.Popen(
                self.commands[role], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.frozen.discard(name)

    def running(self, *, name: str) -> bool:
        """Whether the machine's process was started and has not ended, frozen or not."""
        child = self.children.get(name)
        return child is not None and child.poll() is None

    def exit_status(self, *, name: str) -> int | None:
        """The exit status of the machine's last process, negative for a signal; None while it runs."""
        child = self.children.get(name)
        return None if child is None else child.poll()

    def send(self, *, name: str, number: signal.Signals) -> None:
        """Sends a signal; a process that has ended gets none."""
        if self.running(name=name):
            self.children[name].send_signal(number)

    def freeze(self, *, name: str) -> None:
        """Stops the process until `thaw`."""
        self.send(name=name, number=signal.SIGSTOP)
        self.frozen.add(name)

    def thaw(self, *, name: str) -> None:
        """Continues a frozen process."""
        self.send(name=name, number=signal.SIGCONT)
        self.frozen.discard(name)

    def kill(self, *, name: str) -> None:
        """Kills the process, frozen or not, and waits for its end."""
        child = self.children.get(name)
        if child is None:
            return
        child.kill()
        child.wait()
        self.frozen.discard(name)

    def names_by_pid(self) -> dict[int, str]:
        """The machines of all running processes."""
        return {child.pid: name for name, child in self.children.items() if child.poll() is None}

    def usage(self) -> dict[str, Usage]:
        """What each running process holds now, by machine."""
        found = {}
        for pid, name in self.names_by_pid().items():
            try:
                process = psutil.Process(pid)
                found[name] = Usage(memory_bytes=process.memory_info().rss, descriptors=process.num_fds())
            except psutil.Error:
                # it ended in the meantime
                continue
        return found

    def end(self) -> None:
        """Kills all processes that still run."""
        for name in list(self.children):
            self.kill(name=name)
