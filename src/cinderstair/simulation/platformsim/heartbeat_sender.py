"""A backend's heartbeats to the controllers."""

import asyncio
import json
import random

from .http_caller import http_call
from .oracle import Oracle
from .sim_streams import SimStreams
from .stand_in_backend import StandInBackend

HEARTBEAT_US = 1_000_000
MAX_ANSWER_BYTES = 4_096
EXIT_DELAY_US = 1_200_000
ACK_TIMEOUT_US = 6_000_000


class HeartbeatSender:
    """Sends the backend's state about once a second, and at once after a change.

    `heartbeat_to` is the controller that an answer named, asked first; while `silent` nothing is sent.
    """

    def __init__(
        self,
        *,
        backend: StandInBackend,
        streams: SimStreams,
        controller_addresses: list[str],
        oracle: Oracle,
        rng: random.Random,
    ) -> None:
        self.backend = backend
        self.streams = streams
        self.controller_addresses = controller_addresses
        self.oracle = oracle
        self.rng = rng
        self.count = 0
        self.heartbeat_to = ""
        self.changed = asyncio.Event()
        self.silent = False
        self.acknowledged_count = 0
        backend.on_change = self.changed.set

    def body(self) -> bytes:
        """The next heartbeat, with its number."""
        backend = self.backend
        self.count += 1
        return json.dumps(
            {
                "target": backend.service.name,
                "address": backend.address,
                "zone": backend.zone,
                "revision": "s1",
                "call_room": backend.slots.count,
                "standing": "emptying" if backend.draining else "ready",
                "cold_left_ms": 0,
                "db_role": "primary" if backend.is_primary else "copy",
                "call_count": self.count,
            }
        ).encode()

    async def _call(self, *, method: str, body: bytes) -> bool:
        """Tries the controllers in turn; True once one has acknowledged."""
        backend = self.backend
        others = self.rng.sample(self.controller_addresses, len(self.controller_addresses))
        for address in [self.heartbeat_to, *others] if self.heartbeat_to else others:
            answer = await http_call(
                streams=self.streams,
                address=address,
                method=method,
                path=f"/cinderstair/servers/{backend.name}",
                body=body,
            )
            if answer is not None and 200 <= answer[0] < 300 and len(answer[2]) <= MAX_ANSWER_BYTES:
                self._follow_redirect(answer[2])
                return True
            if address == self.heartbeat_to:
                self.heartbeat_to = ""
        return False

    def _follow_redirect(self, body: bytes) -> None:
        """Remembers the controller that an answer names for the next heartbeats."""
        try:
            value = json.loads(body or b"{}")
        except ValueError:
            self.oracle.wire.breach(description=f"a heartbeat is answered with {body[:60]!r}")
            return
        redirect = value.get("beat_to") if isinstance(value, dict) else None
        if isinstance(redirect, str) and redirect:
            self.heartbeat_to = redirect

    async def run(self) -> None:
        """Runs until this incarnation of the backend ends."""
        incarnation = self.backend.incarnation
        while self.backend.up and self.backend.incarnation == incarnation:
            self.changed.clear()
            leaving = self.backend.draining
            if not self.silent and await self._call(method="PUT", body=self.body()):
                self.acknowledged_count += 1
                if leaving:
                    self.oracle.drain.drain_acknowledged(backend=self.backend.name, now_us=self.backend.now_us)
            wait_us = HEARTBEAT_US - self.rng.randrange(HEARTBEAT_US // 10)
            try:
                async with asyncio.timeout(wait_us / 1_000_000):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def drain_and_exit(self, *, deregister_first: bool = False) -> None:
        """A planned end: announces draining, serves on for the drain time, deregisters, and ends.

        With `deregister_first` it deregisters instead of announcing, and serves on as long.
        """
        backend, drain = self.backend, self.oracle.drain
        backend.draining = True
        if deregister_first:
            self.silent = True
            await self._deregister()
        else:
            self.changed.set()
        began_us = backend.now_us
        # polling costs little on virtual time
        while backend.name not in drain.acked_us and backend.now_us - began_us < ACK_TIMEOUT_US:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
        acked_us = drain.acked_us.get(backend.name)
        if acked_us is not None:
            left_us = acked_us + drain.drain_us + EXIT_DELAY_US - backend.now_us
            await asyncio.sleep(max(0, left_us) / 1_000_000)
        if backend.up:
            if not deregister_first:
                await self._call(method="DELETE", body=b"")
            drain.ended_us[backend.name] = backend.now_us
            backend.crash()

    async def _deregister(self) -> None:
        if await self._call(method="DELETE", body=b""):
            self.oracle.drain.drain_acknowledged(backend=self.backend.name, now_us=self.backend.now_us)
