"""A stand-in for an operator: sends configurations until they are confirmed, and reads them back."""

import asyncio
import random

from .http_caller import http_call
from .oracle import Oracle
from .sim_streams import SimStreams
from .stream_fabric import StreamFabric

PATH = "/cinderstair/settings"
FINAL_STATUSES = (400, 409, 412, 413, 422)
RETRYABLE_STATUSES = (408, 429)
MAX_ATTEMPTS = 40


class StandInOperator:
    """`controller_addresses` may be outdated. `lost_answers` is the share of answers that are dropped."""

    def __init__(
        self,
        *,
        fabric: StreamFabric,
        streams: SimStreams,
        controller_addresses: list[str],
        oracle: Oracle,
        rng: random.Random,
    ) -> None:
        self.fabric = fabric
        self.streams = streams
        self.controller_addresses = controller_addresses
        self.oracle = oracle
        self.rng = rng
        self.took_us: list[int] = []
        self.lost_answers = 0.0

    async def _call(self, *, address: str, method: str, body: bytes) -> tuple[int, bytes] | None:
        """A controller's status and body, with up to two redirects followed; None after a failure."""
        for _ in range(3):
            answer = await http_call(streams=self.streams, address=address, method=method, path=PATH, body=body)
            if answer is None or answer[0] != 307:
                return None if answer is None else (answer[0], answer[2])
            address = answer[1].get("location", "").removeprefix("http://").partition("/")[0]
        return None

    async def call_once(self, *, address: str, method: str, body: bytes = b"") -> tuple[int, bytes]:
        """A single call's status and body; status 0 after a failure."""
        answer = await self._call(address=address, method=method, body=body)
        return (0, b"") if answer is None else answer

    async def put(self, *, body: bytes, valid: bool = True) -> int:
        """Sends a configuration with retries; returns the final status, 0 if all attempts failed."""
        began_us = self.fabric.now_us
        if valid:
            self.oracle.config.sent(body=body, now_us=began_us)
        pause_s, bad = 0.1, 0
        for _ in range(MAX_ATTEMPTS):
            answer = await self._call(address=self.rng.choice(self.controller_addresses), method="PUT", body=body)
            if valid and self.rng.random() < self.lost_answers:
                # a lost answer makes the operator send the same configuration again
                answer = None
            status = 0 if answer is None else answer[0]
            if 200 <= status < 300:
                if valid:
                    self.oracle.config.acked(body=body, now_us=self.fabric.now_us)
                    self.took_us.append(self.fabric.now_us - began_us)
                else:
                    self.oracle.config.invalid(body=body, status=status)
                return status
            bad += 400 <= status < 500 and status not in RETRYABLE_STATUSES
            if status in FINAL_STATUSES or bad >= 3:
                if valid:
                    self.oracle.config.refused(body=body, status=status, valid=True)
                else:
                    self.oracle.config.invalid(body=body, status=status)
                return status
            await asyncio.sleep(pause_s + self.rng.random() * 0.05)
            pause_s = min(2.0, pause_s * 2)
        return 0

    async def read_back(self, *, for_us: int) -> bytes | None:
        """The configuration in force; None where no controller answered within `for_us`."""
        until_us = self.fabric.now_us + for_us
        newest: bytes | None = None
        while self.fabric.now_us < until_us:
            answer = await self._call(address=self.rng.choice(self.controller_addresses), method="GET", body=b"")
            if answer is not None and answer[0] == 200:
                newest = answer[1]
                break
            await asyncio.sleep(0.3)
        return newest
