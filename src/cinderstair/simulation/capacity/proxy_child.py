"""Several instrumented proxies in one process."""

import asyncio
from typing import Any

from ...pooler.relayed_view import LEASE_US
from .child import Child, now_us, reading_of
from .instrumented_proxy import InstrumentedProxy
from .reading import Reading

VIEW_AGE_INTERVAL_S = 0.05


class ProxyChild(Child):
    """Opens and closes proxies on command, and reports their marks and the ages of their views."""

    def __init__(self, *, options: dict[str, Any]) -> None:
        self.seeds = tuple(options["seeds"])
        self.seed = options["seed"]
        self.proxies: dict[str, InstrumentedProxy] = {}
        self.closed_nets: list[Any] = []
        self.watched_name = ""
        self.view_age_task: asyncio.Task[None] | None = None
        self.opened = 0

    async def do_open(self, *, proxies: list[list[str]]) -> dict[str, Any]:
        """Opens proxies, each given by name and zone."""
        for name, site in proxies:
            self.opened += 1
            proxy = InstrumentedProxy(
                name=name,
                site=site,
                seeds=self.seeds,
                seed=self.seed + self.opened,
                watched_name=lambda: self.watched_name,
            )
            self.proxies[name] = proxy
            await proxy.start()
            await asyncio.sleep(0)
        return {"open": len(self.proxies)}

    async def do_close(self, *, names: list[str]) -> dict[str, Any]:
        """Closes proxies; their traffic still counts in later readings."""
        for name in names:
            proxy = self.proxies.pop(name)
            self.closed_nets.append(proxy.net)
            await proxy.stop()
        return {"open": len(self.proxies)}

    async def do_read(self) -> dict[str, Any]:
        """Returns the resource counters of the process."""
        nets = [proxy.net for proxy in self.proxies.values()]
        reading: Reading = reading_of(nets=[*nets, *self.closed_nets])
        return reading.value()

    async def do_status(self, *, databases: int) -> dict[str, Any]:
        """Counts the proxies that are open, have a complete view (`knowing`) and have a current one."""
        proxies = self.proxies.values()
        return {
            "open": len(proxies),
            "knowing": sum(proxy.has_full_view(databases=databases) for proxy in proxies),
            "crashes": sum(proxy.ctx.counters.counts["internal.crashes"] for proxy in proxies),
            "current": sum(proxy.proxy.view.current for proxy in proxies),
        }

    async def do_marks(self, *, key: str) -> dict[str, Any]:
        """Returns when each proxy first saw a key, in microseconds, or 0."""
        return {name: proxy.marks.get(key, 0) for name, proxy in self.proxies.items()}

    async def do_began(self, *, names: list[str]) -> dict[str, Any]:
        """Returns when these proxies were opened, in microseconds."""
        return {name: self.proxies[name].started_us for name in names if name in self.proxies}

    async def do_watch(self, *, name: str) -> dict[str, Any]:
        """Makes the proxies mark when they learn the id of the named proxy."""
        self.watched_name = name
        return {}

    async def _sample_view_ages(self) -> None:
        while True:
            for proxy in self.proxies.values():
                proxy.record_view_age()
            await asyncio.sleep(VIEW_AGE_INTERVAL_S)

    async def do_look(self, *, on: bool) -> dict[str, Any]:
        """Starts or stops sampling the ages of the views; returns the highest ages so far."""
        if on and self.view_age_task is None:
            for proxy in self.proxies.values():
                proxy.max_view_age_us = 0
            self.view_age_task = asyncio.create_task(self._sample_view_ages())
        elif not on and self.view_age_task is not None:
            self.view_age_task.cancel()
            self.view_age_task = None
        return {
            "oldest_us": {name: proxy.max_view_age_us for name, proxy in self.proxies.items()},
            "lease_us": LEASE_US,
            "asked": {name: proxy.proxy.view.controller for name, proxy in self.proxies.items()},
            "at_us": now_us(),
        }
