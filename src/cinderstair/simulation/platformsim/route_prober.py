"""Sessions that go to each ready proxy, for databases just added or removed, or never there."""

import asyncio
import random
from collections.abc import Callable

from .answer import ClientAnswer
from .client_wire import ClientWire
from .referee import Referee
from .sim_streams import SimStreams
from .stand_in_platform import StandInPlatform
from .stream_fabric import StreamFabric


class RouteProber:
    """`databases` may change while it runs. What it sees goes to the checker of configurations."""

    def __init__(
        self,
        *,
        fabric: StreamFabric,
        streams: SimStreams,
        platform: StandInPlatform,
        referee: Referee,
        rng: random.Random,
        lives: Callable[[str], int],
        databases: list[str],
    ) -> None:
        self.fabric = fabric
        self.streams = streams
        self.platform = platform
        self.referee = referee
        self.rng = rng
        self.lives = lives
        self.databases = databases
        self.stopped = False
        self.pause_s = 0.3

    async def run(self) -> None:
        while not self.stopped:
            for proxy in sorted(self.platform.fronts):
                if self.platform.is_in(name=proxy):
                    await self._look(proxy=proxy, database=self.rng.choice(self.databases))
            await asyncio.sleep(self.pause_s)

    async def _look(self, *, proxy: str, database: str) -> None:
        life, sent_us = self.lives(proxy), self.fabric.now_us
        in_touch = self.referee.in_touch(proxy)
        opened = await self.streams.connect(
            address=self.platform.fronts[proxy],
            protocol=lambda: ClientWire(client="prober", referee=self.referee),
            wait_us=300_000,
        )
        if opened.is_error():
            return
        wire: ClientWire = opened.ok
        answer: ClientAnswer | None = None
        try:
            async with asyncio.timeout(1.0):
                answer = await wire.request(line=b"GREET " + database.encode() + b" prober", handshake=True)
        except (TimeoutError, ConnectionError):
            pass
        finally:
            wire.close(farewell=True)
        if answer is None or answer.code not in ("", "NODB") or self.lives(proxy) != life:
            return
        self.referee.config.looked(
            proxy=proxy,
            life=life,
            database=database,
            there=not answer.code,
            sent_us=sent_us,
            now_us=self.fabric.now_us,
            in_touch=in_touch and self.referee.in_touch(proxy),
        )
