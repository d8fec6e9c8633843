"""The network of the stand-ins over real sockets."""

import asyncio
import contextvars
import random
import time
from typing import Any

from expression import Error, Ok, Result

from ...runtime.errors import CinderstairError, ErrorCode
from ..platformsim.listener import Listener
from ..platformsim.platform_network import PlatformNetwork
from ..platformsim.stream_fabric import StreamFabric
from .connection_owners import ConnectionOwners
from .stand_in_connection import StandInConnection

BACKLOG = 512


class SocketFabric(StreamFabric):
    """Listens for stand-ins at real addresses; what stand-ins send to each other stays in this process.

    Partitions act between stand-ins, and between stand-ins and the processes under test, not between the latter.
    """

    def __init__(self, *, loop: Any, network: PlatformNetwork, rng: random.Random, owners: ConnectionOwners) -> None:
        super().__init__(loop=loop, network=network, rng=rng)
        self.owners = owners
        self.servers: dict[str, asyncio.Server] = {}
        self.connections: dict[str, dict[StandInConnection, None]] = {}

    @property
    def now_us(self) -> int:
        """The monotonic clock, which all processes share."""
        return time.monotonic_ns() // 1_000

    # -- listeners --

    def listen(self, *, address: str, listener: Listener) -> None:
        """Listens at an address for a stand-in."""
        self.listeners[address] = listener
        self.call(self._listen(address=address, listener=listener))

    async def _listen(self, *, address: str, listener: Listener) -> None:
        host, _, port = address.rpartition(":")
        old = self.servers.pop(address, None)
        if old is not None:
            # a host without power has kept its listener, as its peers got no reset
            old.close()
            self.release()

        def accept() -> StandInConnection:
            return StandInConnection(fabric=self, host=listener.host, protocol=listener.protocol())

        server = await self.loop.create_server(accept, host, int(port), backlog=BACKLOG, reuse_address=True)
        if self.listeners.get(address) is listener:
            self.servers[address] = server
        else:
            # the stand-in ended before it listened
            server.close()

    def close_listeners(self, *, host: str, process: Any) -> None:
        """Stops to listen for a stand-in."""
        for address in [address for address, each in self.listeners.items() if each.host == host]:
            del self.listeners[address]
            server = self.servers.pop(address, None)
            if server is not None:
                server.close()

    # -- connections --

    def register(self, *, connection: StandInConnection) -> None:
        """Adds an open connection."""
        self.connections.setdefault(connection.host, {})[connection] = None

    def unregister_connection(self, *, connection: StandInConnection) -> None:
        """Removes a connection that was lost."""
        self.connections.get(connection.host, {}).pop(connection, None)

    def _own_connections(self, *, host: str) -> list[StandInConnection]:
        return list(self.connections.get(host, {}))

    def end_host(self, *, host: str, silently: bool = False) -> None:
        """A stand-in ends; with `silently` its peers get no reset before its host is reachable again."""
        if silently:
            self.network.unreachable.add(host)
        else:
            self.close_listeners(host=host, process=None)
        for connection in self._own_connections(host=host):
            connection.fail()

    def reset(self, *, host: str) -> None:
        """Resets the connections between a host, a stand-in or a process under test, and all stand-ins."""
        for connections in list(self.connections.values()):
            for connection in list(connections):
                if host in (connection.host, connection.peer.host):
                    connection.fail()

    def release(self) -> None:
        """Delivers what partitions that have ended held up."""
        for connections in list(self.connections.values()):
            for connection in list(connections):
                connection.release()

    def host_end(self) -> None:
        """Closes all listeners."""
        for server in self.servers.values():
            server.close()


class SocketStreams:
    """Connections of a stand-in to processes under test; implements what the stand-ins use of `SimStreams`."""

    def __init__(self, *, fabric: SocketFabric, host: str) -> None:
        self.fabric = fabric
        self.host = host
        self.context = contextvars.Context()

    async def connect(self, *, address: str, protocol: Any, wait_us: int) -> Result[Any, CinderstairError]:
        """See `SimStreams.connect`; a partition is a timeout."""
        target = self.fabric.host_at(address=address)
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(wait_us / 1_000_000):
                if not self.fabric.reaches(one=self.host, other=target):
                    await asyncio.sleep(wait_us / 1_000_000)
                _, made = await self.fabric.loop.create_connection(protocol, host, int(port))
        except (TimeoutError, OSError) as error:
            details = {"ended": int(isinstance(error, ConnectionRefusedError))}
            reason = f"{address}: {type(error).__name__}"
            return Error(CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=reason, details=details))
        return Ok(made)
