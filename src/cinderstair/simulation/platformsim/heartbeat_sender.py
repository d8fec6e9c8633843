"""A backend's beats to whoever serves control."""

import asyncio
import json
import random

from .http_caller import http_call
from .referee import Referee
from .sim_streams import SimStreams
from .stand_in_backend import StandInBackend

HEARTBEAT_US = 1_000_000
MOST_ANSWER = 4_096
LINGER_US = 1_200_000
UNHEARD_US = 6_000_000


class HeartbeatSender:
    """Says what its backend is about once a second, and any change at once."""

    def __init__(
        self,
        *,
        backend: StandInBackend,
        streams: SimStreams,
        controls: list[str],
        referee: Referee,
        rng: random.Random,
    ) -> None:
        self.backend = backend
        self.streams = streams
        self.controls = controls
        self.referee = referee
        self.rng = rng
        self.count = 0
        self.heartbeat_to = ""
        self.changed = asyncio.Event()
        self.silent = False
        self.said = 0
        backend.on_change = self.changed.set

    def body(self) -> bytes:
        backend = self.backend
        self.count += 1
        return json.dumps(
            {
                "target": backend.service.name,
                "address": backend.address,
                "zone": backend.zone,
                "revision": "s1",
                "call_room": backend.slots.count,
                "standing": "emptying" if backend.emptying else "ready",
                "cold_left_ms": 0,
                "db_role": "primary" if backend.is_primary else "copy",
                "call_count": self.count,
            }
        ).encode()

    async def _call(self, *, method: str, body: bytes) -> bool:
        """True once one of the daemons has acknowledged it."""
        backend = self.backend
        others = self.rng.sample(self.controls, len(self.controls))
        for address in [self.heartbeat_to, *others] if self.heartbeat_to else others:
            answer = await http_call(
                streams=self.streams,
                address=address,
                method=method,
                path=f"/cinderstair/servers/{backend.name}",
                body=body,
            )
            if answer is not None and 200 <= answer[0] < 300 and len(answer[2]) <= MOST_ANSWER:
                self._obey(answer[2])
                return True
            if address == self.heartbeat_to:
                self.heartbeat_to = ""
        return False

    def _obey(self, body: bytes) -> None:
        try:
            value = json.loads(body or b"{}")
        except ValueError:
            self.referee.wire.breach(what=f"a heartbeat is answered with {body[:60]!r}")
            return
        place = value.get("beat_to") if isinstance(value, dict) else None
        if isinstance(place, str) and place:
            self.heartbeat_to = place

    async def run(self) -> None:
        """For as long as this run of the backend lasts."""
        life = self.backend.life
        while self.backend.up and self.backend.life == life:
            self.changed.clear()
            leaving = self.backend.emptying
            if not self.silent and await self._call(method="PUT", body=self.body()):
                self.said += 1
                if leaving:
                    self.referee.drain.left(backend=self.backend.name, now_us=self.backend.now_us)
            wait_us = HEARTBEAT_US - self.rng.randrange(HEARTBEAT_US // 10)
            try:
                async with asyncio.timeout(wait_us / 1_000_000):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def leave(self, *, deregister_first: bool = False) -> None:
        """A planned end: says so, serves on for the time that it promised, deregisters, and ends.

        Some deregister first and no more after it, and serve on as long.
        """
        backend, drain = self.backend, self.referee.drain
        backend.emptying = True
        if deregister_first:
            self.silent = True
            await self._deregister()
        else:
            self.changed.set()
        began_us = backend.now_us
        # why: the acknowledgement is the sender's own, and on virtual time looking often costs little
        while backend.name not in drain.acked_us and backend.now_us - began_us < UNHEARD_US:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        acked_us = drain.acked_us.get(backend.name)
        if acked_us is not None:
            left_us = acked_us + drain.drain_us + LINGER_US - backend.now_us
            await asyncio.sleep(max(0, left_us) / 1_000_000)
        if backend.up:
            if not deregister_first:
                await self._call(method="DELETE", body=b"")
            drain.gone_us[backend.name] = backend.now_us
            backend.crash()

    async def _deregister(self) -> None:
        if await self._call(method="DELETE", body=b""):
            self.referee.drain.left(backend=self.backend.name, now_us=self.backend.now_us)
