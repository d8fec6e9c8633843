"""A connection that a process under test has opened to a stand-in, which a partition can hold up."""

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .socket_fabric import SocketFabric

# SO_LINGER on with zero seconds: the close resets the connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
# The peer of a connection that it has closed already is not found; it is looked for this often, at these intervals.
MAX_LOOKUPS = 4
LOOKUP_INTERVAL_S = 0.1


@dataclass(kw_only=True)
class Peer:
    """The process at the other end, as the stand-ins see it. `process` is None: it is not a simulated one."""

    find_host: Callable[[], str]
    closing: bool = False
    process: None = None
    known_host: str = ""
    lookups: int = 0
    next_lookup_s: float = 0.0

    @property
    def host(self) -> str:
        """The machine's name; empty if no process under test has this end."""
        now_s = time.monotonic()
        if not self.known_host and self.lookups < MAX_LOOKUPS and now_s >= self.next_lookup_s:
            self.lookups += 1
            self.next_lookup_s = now_s + LOOKUP_INTERVAL_S
            self.known_host = self.find_host()
        return self.known_host


class StandInConnection(asyncio.Protocol):
    """Stands between a socket and a stand-in's protocol, to which it is the transport.

    While the network drops packets between both hosts, bytes of both directions are kept, and delivered once it
    passes them again; a lost connection is then reset.
    """

    def __init__(self, *, fabric: "SocketFabric", host: str, protocol: Any) -> None:
        self.fabric = fabric
        self.host = host
        self.protocol = protocol
        self.transport: Any = None
        self.peer = Peer(find_host=self._find_peer)
        self.received: list[bytes] = []
        self.unsent: list[bytes] = []
        # lost while the network drops packets: the peer must not learn of it before
        self.abandoned = False

    def _find_peer(self) -> str:
        if self.transport is None:
            return ""
        near, far = self.transport.get_extra_info("peername"), self.transport.get_extra_info("sockname")
        return "" if near is None or far is None else self.fabric.owners.owner(near=near, far=far)

    @property
    def blocked(self) -> bool:
        """Whether the network drops packets between both hosts now."""
        network = self.fabric.network
        if not network.cuts and not network.unreachable:
            return False
        return not self.fabric.reaches(one=self.host, other=self.peer.host)

    # -- of asyncio.Protocol --

    def connection_made(self, transport: Any) -> None:
        """Registers the connection, and tells the stand-in of it."""
        self.transport = transport
        self.fabric.register(connection=self)
        self.protocol.connection_made(self)

    def data_received(self, data: bytes) -> None:
        """Passes bytes on to the stand-in, or keeps them."""
        if self.blocked:
            self.received.append(data)
        elif not self.abandoned:
            self.protocol.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the stand-in."""
        self.peer.closing = True
        self.fabric.unregister_connection(connection=self)
        if not self.abandoned:
            self.abandoned = True
            self.protocol.connection_lost(exc)

    # -- as the stand-in's transport --

    def write(self, data: bytes) -> None:
        """Sends bytes, or keeps them."""
        if self.blocked:
            self.unsent.append(data)
        else:
            self.transport.write(data)

    def close(self) -> None:
        """Closes the connection after what was written."""
        if self.blocked:
            self.fail()
        else:
            self.transport.close()

    def abort(self) -> None:
        """Resets the connection."""
        self.fail()

    def fail(self, error: Exception | None = None) -> None:
        """Ends the connection for the stand-in; the peer gets a reset once packets pass."""
        if not self.abandoned:
            self.abandoned = True
            self.protocol.connection_lost(error)
        if not self.blocked:
            self._reset()

    def _reset(self) -> None:
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.transport.abort()

    def is_closing(self) -> bool:
        """Whether the connection has ended or is about to."""
        return self.abandoned or bool(self.transport.is_closing())

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """See `asyncio.BaseTransport.get_extra_info`."""
        return self.transport.get_extra_info(name, default)

    # -- after a partition --

    def release(self) -> None:
        """Delivers what was kept, if packets pass again."""
        if self.blocked:
            return
        if self.abandoned:
            self._reset()
            return
        unsent, self.unsent = self.unsent, []
        for data in unsent:
            self.transport.write(data)
        received, self.received = self.received, []
        for data in received:
            if not self.abandoned:
                self.protocol.data_received(data)
