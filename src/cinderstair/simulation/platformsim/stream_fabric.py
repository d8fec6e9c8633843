"""The simulated TCP network between all machines: delays, partitions, resets, and machines that died."""

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import Any

from ..virtual_loop import SimProcess, VirtualLoop
from .listener import Listener
from .platform_network import PlatformNetwork
from .sim_transport import SimTransport

SYN_RETRY_S = 1.0
NEAR_US, ZONE_US, REGION_US = 250, 900, 5_000


class StreamFabric:
    """Owns hosts by IP address, listeners by address, and open connection ends by host.

    `refusing` holds pairs of hosts between which connections are refused; `connects` counts connection attempts.
    """

    def __init__(self, *, loop: VirtualLoop, network: PlatformNetwork, rng: random.Random) -> None:
        self.loop = loop
        self.network = network
        self.rng = rng
        self.context = contextvars.Context()
        self.hosts: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.regions: dict[str, str] = {}
        self.listeners: dict[str, Listener] = {}
        self.ends: dict[str, dict[SimTransport, None]] = {}
        self.refusing: set[tuple[str, str]] = set()
        self.connects = 0
        self.region_us = REGION_US

    @property
    def now_us(self) -> int:
        return round(self.loop.virtual * 1_000_000)

    def add_host(self, *, host: str, ip: str, zone: str, region: str) -> None:
        self.hosts[ip] = host
        self.zones[host], self.regions[host] = zone, region

    def host_at(self, *, address: str) -> str:
        return self.hosts.get(address.rpartition(":")[0], "")

    def passes(self, *, source: str, target: str) -> bool:
        return self.network.passes(source=source, target=target)

    def reaches(self, *, one: str, other: str) -> bool:
        """Whether packets pass in both directions."""
        return self.passes(source=one, target=other) and self.passes(source=other, target=one)

    def delay_s(self, *, source: str, target: str) -> float:
        """A random one-way delay, by whether the hosts share a zone or region."""
        base_us = NEAR_US
        if self.regions.get(source) != self.regions.get(target):
            base_us = self.region_us
        elif self.zones.get(source) != self.zones.get(target):
            base_us = ZONE_US
        lag_us = self.network.lags_us.get(source, 0) + self.network.lags_us.get(target, 0)
        return (base_us + self.rng.randrange(base_us // 2) + lag_us) / 1_000_000

    def later(self, *, call: Callable[[], None], source: str, target: str) -> None:
        """Delivers a packet after the delay, unless it is lost in a partition."""

        def arrive() -> None:
            if self.passes(source=source, target=target):
                call()

        delay_s = self.delay_s(source=source, target=target)
        self.loop.call_later(delay_s, arrive, context=contextvars.Context())

    # -- connections --

    def _register(self, *, end: SimTransport) -> None:
        self.ends.setdefault(end.host, {})[end] = None

    def unregister(self, *, end: SimTransport) -> None:
        self.ends.get(end.host, {}).pop(end, None)

    def connect(
        self, *, host: str, process: SimProcess | None, context: contextvars.Context, address: str
    ) -> asyncio.Future[SimTransport]:
        """The local end of a new connection; fails if refused, and stays pending while nothing answers."""
        opened: asyncio.Future[SimTransport] = self.loop.create_future()
        target = self.host_at(address=address)
        self.connects += 1

        def send_syn(wait_s: float) -> None:
            if opened.done():
                return

            def arrive() -> None:
                if opened.done():
                    return
                if not self.passes(source=host, target=target):
                    self.loop.call_later(wait_s, send_syn, wait_s * 2, context=self.context)
                    return
                listener = self.listeners.get(address)
                if listener is None or (host, target) in self.refusing:
                    self.later(call=refuse, source=target, target=host)
                    return
                self._open(opened=opened, listener=listener, host=host, process=process, context=context)

            delay_s = self.delay_s(source=host, target=target)
            self.loop.call_later(delay_s, arrive, context=self.context)

        def refuse() -> None:
            if not opened.done():
                opened.set_exception(ConnectionRefusedError(address))

        send_syn(SYN_RETRY_S)
        return opened

    def _open(
        self,
        *,
        opened: asyncio.Future[SimTransport],
        listener: Listener,
        host: str,
        process: SimProcess | None,
        context: contextvars.Context,
    ) -> None:
        near = SimTransport(fabric=self, host=host, process=process, context=context)
        far = SimTransport(fabric=self, host=listener.host, process=listener.process, context=listener.context)
        near.peer, far.peer = far, near
        self._register(end=near)
        self._register(end=far)

        def accept() -> None:
            far.attach(protocol=listener.protocol())

        def answer() -> None:
            if opened.done():
                near.abort()
            elif near.closed or near.closing:
                opened.set_exception(ConnectionResetError())
            else:
                opened.set_result(near)

        self.loop.call_soon(accept, context=listener.context)
        self.later(call=answer, source=listener.host, target=host)

    # -- machines --

    def close_listeners(self, *, host: str, process: SimProcess | None) -> None:
        """Removes the listeners of a host, with `process` those of that process alone."""
        self.listeners = {
            address: each
            for address, each in self.listeners.items()
            if not (each.host == host and (process is None or each.process is process))
        }

    def end_host(self, *, host: str, silently: bool = False) -> None:
        """All processes of a host die; silently (without resets) on power loss."""
        self.close_listeners(host=host, process=None)
        for end in list(self.ends.get(host, {})):
            end.terminate(silently=silently)

    def reset(self, *, host: str) -> None:
        """Resets all connections of a host, at both ends."""
        for end in list(self.ends.get(host, {})):
            end.peer.fail(error=ConnectionResetError("reset by the network"))
            end.fail(error=ConnectionResetError("reset by the network"))

    def listen(self, *, address: str, listener: Listener) -> None:
        self.listeners[address] = listener

    def call(self, work: Any) -> asyncio.Task[Any]:
        """Runs a coroutine outside of all processes under test."""
        return self.loop.create_task(work, context=contextvars.Context())
