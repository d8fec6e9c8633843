"""Finds out which process under test has opened a connection to a stand-in."""

import os
import socket
import struct
import time
from collections.abc import Iterator
from pathlib import Path

from .child_processes import ChildProcesses

# One look at all sockets serves all connections that are opened within this time.
MIN_REFRESH_S = 0.05
TCP_TABLE = Path("/proc/net/tcp")
SOCKET_LINK = "socket:["

Endpoint = tuple[str, int]


class ConnectionOwners:
    """Keeps the machine of each open connection's near end, by its address and the address that it connects to.

    Reads the kernel's tables of sockets and of the open files of the processes under test: `proc_pid_net(5)`,
    `proc_pid_fd(5)`.
    """

    def __init__(self, *, children: ChildProcesses) -> None:
        self.children = children
        self.owners: dict[tuple[Endpoint, Endpoint], str] = {}
        self.refreshed_s = 0.0

    def owner(self, *, near: Endpoint, far: Endpoint) -> str:
        """The machine whose process has the end `near` of a connection to `far`; empty if none has."""
        if (near, far) not in self.owners and time.monotonic() - self.refreshed_s > MIN_REFRESH_S:
            self._refresh()
        return self.owners.get((near, far), "")

    def _refresh(self) -> None:
        names = {inode: name for pid, name in self.children.names_by_pid().items() for inode in _socket_inodes(pid)}
        self.owners = {
            (near, far): names[inode] for near, far, inode in _connections(TCP_TABLE.read_text()) if inode in names
        }
        self.refreshed_s = time.monotonic()


def _socket_inodes(pid: int) -> Iterator[str]:
    """The inodes of a process's open sockets; none if it has ended."""
    try:
        entries = os.listdir(f"/proc/{pid}/fd")
    except OSError:
        return
    for entry in entries:
        try:
            target = os.readlink(f"/proc/{pid}/fd/{entry}")
        except OSError:
            continue
        if target.startswith(SOCKET_LINK):
            yield target.removeprefix(SOCKET_LINK).rstrip("]")


def _connections(table: str) -> Iterator[tuple[Endpoint, Endpoint, str]]:
    """The local and remote address and the inode of each line of the kernel's table of TCP sockets."""
    for line in table.splitlines()[1:]:
        fields = line.split()
        yield _endpoint(fields[1]), _endpoint(fields[2]), fields[9]


def _endpoint(text: str) -> Endpoint:
    """An address in the table: hexadecimal, the host in the machine's byte order."""
    host, _, port = text.partition(":")
    return socket.inet_ntoa(struct.pack("=I", int(host, 16))), int(port, 16)
