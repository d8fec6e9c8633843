"""What lies between all machines for streams of bytes: delays, cuts, resets, and machines that are gone."""

import asyncio
import contextvars
import random
from collections.abc import Callable
from typing import Any

from ..virtual_loop import SimProcess, VirtualLoop
from .listener import Listener
from .platform_wires import PlatformWires
from .sim_transport import SimTransport

SYN_AGAIN_S = 1.0
NEAR_US, ZONE_US, REGION_US = 250, 900, 5_000


class StreamFabric:
    """Hosts are known by name; addresses lead to hosts, also when nobody listens there."""

    def __init__(self, *, loop: VirtualLoop, network: PlatformWires, rng: random.Random) -> None:
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
        self.dialled = 0
        self.region_us = REGION_US

    @property
    def now_us(self) -> int:
        return round(self.loop.virtual * 1_000_000)

    def place(self, *, host: str, ip: str, zone: str, region: str) -> None:
        self.hosts[ip] = host
        self.zones[host], self.regions[host] = zone, region

    def host_at(self, *, address: str) -> str:
        return self.hosts.get(address.rpartition(":")[0], "")

    def passes(self, *, source: str, target: str) -> bool:
        return self.network.passes(source=source, target=target)

    def reaches(self, *, one: str, other: str) -> bool:
        """Both ways."""
        return self.passes(source=one, target=other) and self.passes(source=other, target=one)

    def delay_s(self, *, source: str, target: str) -> float:
        base_us = NEAR_US
        if self.regions.get(source) != self.regions.get(target):
            base_us = self.region_us
        elif self.zones.get(source) != self.zones.get(target):
            base_us = ZONE_US
        lag_us = self.network.lags_us.get(source, 0) + self.network.lags_us.get(target, 0)
        return (base_us + self.rng.randrange(base_us // 2) + lag_us) / 1_000_000

    def later(self, *, call: Callable[[], None], source: str, target: str) -> None:
        """Something that crosses the network once, or is lost in a cut."""

        def arrive() -> None:
            if self.passes(source=source, target=target):
                call()

        delay_s = self.delay_s(source=source, target=target)
        self.loop.call_later(delay_s, arrive, context=contextvars.Context())

    # -- connections --

    def _enter(self, *, end: SimTransport) -> None:
        self.ends.setdefault(end.host, {})[end] = None

    def forget(self, *, end: SimTransport) -> None:
        self.ends.get(end.host, {}).pop(end, None)

    def dial(
        self, *, host: str, process: SimProcess | None, context: contextvars.Context, address: str
    ) -> asyncio.Future[SimTransport]:
        """The end of a connection that was opened; for ever pending where nothing answers."""
        opened: asyncio.Future[SimTransport] = self.loop.create_future()
        target = self.host_at(address=address)
        self.dialled += 1

        def knock(wait_s: float) -> None:
            if opened.done():
                return

            def arrive() -> None:
                if opened.done():
                    return
                if not self.passes(source=host, target=target):
                    self.loop.call_later(wait_s, knock, wait_s * 2, context=self.context)
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

        knock(SYN_AGAIN_S)
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
        self._enter(end=near)
        self._enter(end=far)

        def accept() -> None:
            far.attach(protocol=listener.protocol())

        def answer() -> None:
            if opened.done():
                near.abort()
            elif near.gone or near.closing:
                opened.set_exception(ConnectionResetError())
            else:
                opened.set_result(near)

        self.loop.call_soon(accept, context=listener.context)
        self.later(call=answer, source=listener.host, target=host)

    # -- machines --

    def deafen(self, *, host: str, process: SimProcess | None) -> None:
        """Nobody listens any more at what this run of a machine listened at."""
        self.listeners = {
            address: each
            for address, each in self.listeners.items()
            if not (each.host == host and (process is None or each.process is process))
        }

    def end_of(self, *, host: str, silently: bool = False) -> None:
        """Every process of a machine ends; silently where power goes too."""
        self.deafen(host=host, process=None)
        for end in list(self.ends.get(host, {})):
            end.perish(silently=silently)

    def reset(self, *, host: str) -> None:
        """All connections of a machine are reset, towards both sides."""
        for end in list(self.ends.get(host, {})):
            end.peer.lose(error=ConnectionResetError("reset on the way"))
            end.lose(error=ConnectionResetError("reset on the way"))

    def listen(self, *, address: str, listener: Listener) -> None:
        self.listeners[address] = listener

    def call(self, work: Any) -> asyncio.Task[Any]:
        """Runs work that belongs to no machine of ours."""
        return self.loop.create_task(work, context=contextvars.Context())
