"""The platform: it promotes, asks proxies whether they are ready, and hands connections out."""

import asyncio
import contextvars
import hashlib
import json
import random

from .http_caller import http_call
from .http_listener import ClientAnswer, HttpListener
from .listener import Listener
from .referee import Referee
from .sim_streams import SimStreams
from .stand_in_service import StandInService
from .stream_fabric import StreamFabric

POLL_US = 1_000_000
MISSES = 2
MOST_A_SECOND = 20


class StandInPlatform:
    """`ready` and `fronts` are the proxies' addresses by name. `modes`: up, slow, down."""

    def __init__(
        self,
        *,
        fabric: StreamFabric,
        streams: SimStreams,
        address: str,
        services: dict[str, StandInService],
        referee: Referee,
        rng: random.Random,
        fronts: dict[str, str],
        ready: dict[str, str],
        zones: dict[str, str],
    ) -> None:
        self.fabric = fabric
        self.streams = streams
        self.address = address
        self.services = services
        self.referee = referee
        self.rng = rng
        self.fronts = fronts
        self.ready = ready
        self.zones = zones
        self.misses = dict.fromkeys(fronts, MISSES)
        self.mode = "up"
        self.calls: list[tuple[int, str, str, int]] = []
        self.fences: list[int] = []

    def start(self) -> None:
        listener = Listener(
            host="platform",
            process=None,
            context=contextvars.Context(),
            protocol=lambda: HttpListener(handle=self._handle),
        )
        self.fabric.listen(address=self.address, listener=listener)
        for name in self.fronts:
            self.fabric.call(self._poll(name=name))

    # -- promotions --

    def _handle(self, method: str, path: str, headers: dict[str, str], body: bytes, answer: ClientAnswer) -> None:
        if self.mode == "down":
            answer(503, b"")
            return
        if (method, path) != ("POST", "/promotion"):
            self.referee.wire.breach(what=f"the platform is asked {method} {path}")
            answer(404, b"")
            return
        now_us = self.fabric.now_us
        value = json.loads(body)
        if not headers.get("x-duty-holder") or not headers.get("x-fence-number", "").isdigit():
            self.referee.wire.breach(what=f"a promotion without holder or fence: {headers}")
            answer(400, b"")
            return
        self.fences.append(int(headers["x-fence-number"]))
        if sum(now_us - at_us < 1_000_000 for at_us, *_ in self.calls) >= MOST_A_SECOND:
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
        life = backend.life

        def take() -> None:
            if backend.up and backend.life == life and not (backend.is_primary and backend.term == found.term):
                found.take_lead(backend=backend, now_us=self.fabric.now_us)

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

    def is_in(self, *, name: str) -> bool:
        return self.misses[name] < MISSES

    def assign(self, *, client: str, zone: str, number: int) -> str:
        """The proxy that a client's next connection goes to."""
        own = sorted(name for name in self.fronts if self.zones[name] == zone)
        ready = [name for name in own if self.is_in(name=name)]
        names = own if ready and 2 * len(ready) < len(own) else ready
        if not names:
            names = [name for name in sorted(self.fronts) if self.is_in(name=name)] or own or sorted(self.fronts)
        location = int.from_bytes(hashlib.sha256(f"{client}/{number}".encode()).digest()[:4], "big")
        return names[location % len(names)]
