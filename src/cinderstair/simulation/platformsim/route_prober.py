"""Opens sessions at each ready proxy, for databases just added or removed, or never configured."""

import asyncio
import random
from collections.abc import Callable

from .client_answer import ClientAnswer
from .client_protocol import ClientProtocol
from .oracle import Oracle
from .sim_streams import SimStreams
from .stand_in_platform import StandInPlatform
from .stream_fabric import StreamFabric


class RouteProber:
    """Reports to the CONFIG rule whether a proxy accepts a database; `databases` may change while it runs."""

    def __init__(
        self,
        *,
        fabric: StreamFabric,
        streams: SimStreams,
        platform: StandInPlatform,
        oracle: Oracle,
        rng: random.Random,
        incarnations: Callable[[str], int],
        databases: list[str],
    ) -> None:
        self.fabric = fabric
        self.streams = streams
        self.platform = platform
        self.oracle = oracle
        self.rng = rng
        self.incarnations = incarnations
        self.databases = databases
        self.stopped = False
        self.pause_s = 0.3

    async def run(self) -> None:
        """Probes until `stopped`."""
        while not self.stopped:
            for proxy in sorted(self.platform.proxy_addresses):
                if self.platform.is_ready(name=proxy):
                    await self._probe(proxy=proxy, database=self.rng.choice(self.databases))
            await asyncio.sleep(self.pause_s)

    async def _probe(self, *, proxy: str, database: str) -> None:
        incarnation, sent_us = self.incarnations(proxy), self.fabric.now_us
        stable = self.oracle.stable(proxy)
        opened = await self.streams.connect(
            address=self.platform.proxy_addresses[proxy],
            protocol=lambda: ClientProtocol(client="prober", oracle=self.oracle),
            wait_us=300_000,
        )
        if opened.is_error():
            return
        connection: ClientProtocol = opened.ok
        answer: ClientAnswer | None = None
        try:
            async with asyncio.timeout(1.0):
                answer = await connection.request(line=b"GREET " + database.encode() + b" prober", handshake=True)
        except (TimeoutError, ConnectionError):
            pass
        finally:
            connection.close(farewell=True)
        if answer is None or answer.code not in ("", "NODB") or self.incarnations(proxy) != incarnation:
            return
        self.oracle.config.observed(
            proxy=proxy,
            incarnation=incarnation,
            database=database,
            present=not answer.code,
            sent_us=sent_us,
            now_us=self.fabric.now_us,
            stable=stable and self.oracle.stable(proxy),
        )
