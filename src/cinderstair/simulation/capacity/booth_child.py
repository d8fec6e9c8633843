"""Several hollow booths that share a process."""

import asyncio
from typing import Any

from ...pooler.relayed_view import LEASE_US
from .child import Child, now_us, reading_of
from .hollow_booth import HollowBooth
from .reading import Reading

LOOK_EVERY_S = 0.05


class BoothChild(Child):
    def __init__(self, *, options: dict[str, Any]) -> None:
        self.seeds = tuple(options["seeds"])
        self.seed = options["seed"]
        self.booths: dict[str, HollowBooth] = {}
        self.gone: list[Any] = []
        self.watched = ""
        self.looking: asyncio.Task[None] | None = None
        self.opened = 0

    async def do_open(self, *, booths: list[list[str]]) -> dict[str, Any]:
        for name, site in booths:
            self.opened += 1
            made = HollowBooth(
                name=name,
                site=site,
                seeds=self.seeds,
                seed=self.seed + self.opened,
                watched=lambda: self.watched,
            )
            self.booths[name] = made
            await made.start()
            await asyncio.sleep(0)
        return {"open": len(self.booths)}

    async def do_close(self, *, names: list[str]) -> dict[str, Any]:
        for name in names:
            booth = self.booths.pop(name)
            self.gone.append(booth.net)
            await booth.stop()
        return {"open": len(self.booths)}

    async def do_read(self) -> dict[str, Any]:
        nets = [booth.net for booth in self.booths.values()]
        reading: Reading = reading_of(nets=[*nets, *self.gone])
        return reading.value()

    async def do_status(self, *, databases: int) -> dict[str, Any]:
        booths = self.booths.values()
        return {
            "open": len(booths),
            "knowing": sum(booth.knows(databases=databases) for booth in booths),
            "crashes": sum(booth.ctx.counters.counts["internal.crashes"] for booth in booths),
            "current": sum(booth.booth.view.current for booth in booths),
        }

    async def do_marks(self, *, key: str) -> dict[str, Any]:
        return {name: booth.marks.get(key, 0) for name, booth in self.booths.items()}

    async def do_began(self, *, names: list[str]) -> dict[str, Any]:
        return {name: self.booths[name].began_us for name in names if name in self.booths}

    async def do_watch(self, *, name: str) -> dict[str, Any]:
        self.watched = name
        return {}

    async def _look(self) -> None:
        while True:
            for booth in self.booths.values():
                booth.look()
            await asyncio.sleep(LOOK_EVERY_S)

    async def do_look(self, *, on: bool) -> dict[str, Any]:
        """Begins to look how old the views come to be, or stops and tells."""
        if on and self.looking is None:
            for booth in self.booths.values():
                booth.oldest_us = 0
            self.looking = asyncio.create_task(self._look())
        elif not on and self.looking is not None:
            self.looking.cancel()
            self.looking = None
        return {
            "oldest_us": {name: booth.oldest_us for name, booth in self.booths.items()},
            "lease_us": LEASE_US,
            "asked": {name: booth.booth.view.asked for name, booth in self.booths.items()},
            "at_us": now_us(),
        }
