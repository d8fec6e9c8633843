"""A stand-in for the platform: promotes backends, polls proxies' readiness, and assigns client connections."""

import asyncio
import contextvars
import hashlib
import json
import random

from .http_caller import http_call
from .http_listener import HttpListener, Respond
from .listener import Listener
from .oracle import Oracle
from .sim_streams import SimStreams
from .stand_in_service import StandInService
from .stream_fabric import StreamFabric

POLL_US = 1_000_000
MAX_MISSES = 2
MAX_PROMOTIONS_PER_SECOND = 20


class StandInPlatform:
    """`ready` and `proxy_addresses` are the proxies' addresses by name; `mode` is up, slow or down.

    `misses` counts failed readiness polls in a row; `calls` lists promotions: time, service, backend, status.
    """

    def __init__(
        self,
        *,
        fabric: StreamFabric,
        streams: SimStreams,
        address: str,
        services: dict[str, StandInService],
        oracle: Oracle,
        rng: random.Random,
        proxy_addresses: dict[str, str],
        ready: dict[str, str],
        zones: dict[str, str],
    ) -> None:
        self.fabric = fabric
        self.streams = streams
        self.address = address
        self.services = services
        self.oracle = oracle
        self.rng = rng
        self.proxy_addresses = proxy_addresses
        self.ready = ready
        self.zones = zones
        self.misses = dict.fromkeys(proxy_addresses, MAX_MISSES)
        self.mode = "up"
        self.calls: list[tuple[int, str, str, int]] = []
        self.fences: list[int] = []

    def start(self) -> None:
        """Listens for promotions, and starts polling the proxies."""
        listener = Listener(
            host="platform",
            process=None,
            context=contextvars.Context(),
            protocol=lambda: HttpListener(handle=self._handle),
        )
        self.fabric.listen(address=self.address, listener=listener)
        for name in self.proxy_addresses:
            self.fabric.call(self._poll(name=name))

    # -- promotions --

    def _handle(self, method: str, path: str, headers: dict[str, str], body: bytes, answer: Respond) -> None:
        if self.mode == "down":
            answer(503, b"")
            return
        if (method, path) != ("POST", "/promotion"):
            self.oracle.wire.breach(description=f"the platform received an unknown request: {method} {path}")
            answer(404, b"")
            return
        now_us = self.fabric.now_us
        value = json.loads(body)
        if not headers.get("x-duty-holder") or not headers.get("x-fence-number", "").isdigit():
            self.oracle.wire.breach(description=f"a promotion lacks its holder or fence header: {headers}")
            answer(400, b"")
            return
        self.fences.append(int(headers["x-fence-number"]))
        if sum(now_us - at_us < 1_000_000 for at_us, *_ in self.calls) >= MAX_PROMOTIONS_PER_SECOND:
            status = 429
        else:
            status = self._promote(service=str(value["target"]), name=str(value["server_id"]))
        self.calls.append((now_us, str(value["target"]), str(value["server_id"]), status))
        if self.mode == "slow":
            self.fabric.loop.call_later(0.8 + self.rng.random(), answer, status, b"")
        else:
            answer(status, b"")

    def _promote(self, *, service: str, name: str) -> int:
        found = self.services.get(service)
        backend = None if found is None else found.backends.get(name)
        if found is None or backend is None or not backend.up:
            return 409
        if backend.is_primary and backend.term == found.term:
            return 200
        incarnation = backend.incarnation

        def take() -> None:
            if (
                backend.up
                and backend.incarnation == incarnation
                and not (backend.is_primary and backend.term == found.term)
            ):
                found.promote(backend=backend, now_us=self.fabric.now_us)

        self.fabric.loop.call_later(found.promote_us / 1_000_000, take)
        return 200

    # -- clients' connections --

    async def _poll(self, *, name: str) -> None:
        while True:
            began = self.fabric.loop.time()
            answer = await http_call(
                streams=self.streams, address=self.ready[name], method="GET", path="/cinderstair/ready"
            )
            self.misses[name] = 0 if answer is not None and answer[0] == 200 else self.misses[name] + 1
            await asyncio.sleep(max(0.0, began + POLL_US / 1_000_000 - self.fabric.loop.time()))

    def is_ready(self, *, name: str) -> bool:
        """Whether the proxy counts as ready."""
        return self.misses[name] < MAX_MISSES

    def assign(self, *, client: str, zone: str, number: int) -> str:
        """The proxy for a client's next connection: a ready one in its zone, unless most there are not ready."""
        own = sorted(name for name in self.proxy_addresses if self.zones[name] == zone)
        ready = [name for name in own if self.is_ready(name=name)]
        names = own if ready and 2 * len(ready) < len(own) else ready
        if not names:
            names = (
                [name for name in sorted(self.proxy_addresses) if self.is_ready(name=name)]
                or own
                or sorted(self.proxy_addresses)
            )
        location = int.from_bytes(hashlib.sha256(f"{client}/{number}".encode()).digest()[:4], "big")
        return names[location % len(names)]
