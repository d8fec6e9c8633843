"""A real proxy with stub links and no clients, which records when it learns of changes."""

from collections.abc import Callable
from typing import Any

from ...config.service_plan import PLAN_KEY
from ...failover.proxy_ids import PROXY_IDS_KEY
from ...failover.service_primary import PREFIX
from ...pooler.proxy import Proxy
from ...runtime.no_disk import NoDisk
from .child import metered_context, now_us
from .naming import REGIONS
from .stub_link import stub_dialer


class InstrumentedProxy:
    """`marks` has the time in microseconds at which each configuration, primary and watched proxy id was first seen.

    `max_view_age_us` is the highest age of the view that `record_view_age` has observed.
    """

    def __init__(
        self, *, name: str, site: str, seeds: tuple[str, ...], seed: int, watched_name: Callable[[], str]
    ) -> None:
        self.ctx = metered_context(name=name, site=site, disk=NoDisk(), seed=seed)
        self.name = name
        self.watched_name = watched_name
        self.marks: dict[str, int] = {}
        self.started_us = now_us()
        self.max_view_age_us = 0

        def distance(other: str) -> int:
            if other == site:
                return 0
            return 1 if REGIONS.get(other) == REGIONS.get(site) else 3

        self.proxy = Proxy(ctx=self.ctx, site=site, seeds=lambda: seeds, dialer=stub_dialer, distance=distance)
        # The router subscribed first, so it has applied a change before it is marked here.
        self.proxy.view.changes.subscribe(self._changed)

    @property
    def net(self) -> Any:
        return self.ctx.net

    def _changed(self, key: str) -> None:
        view = self.proxy.view
        if key == PLAN_KEY and view.plan is not None:
            self._mark(key=f"plan {view.plan.version}")
        elif key.startswith(PREFIX):
            service = key.removeprefix(PREFIX)
            self._mark(key=f"lead {service} {view.primaries[service].term}")
        elif (
            key == PROXY_IDS_KEY
            and self.watched_name()
            and view.proxy_ids.id_of(name=self.watched_name()) is not None
        ):
            self._mark(key=f"slot {self.watched_name()}")

    def _mark(self, *, key: str) -> None:
        self.marks.setdefault(key, now_us())

    def has_full_view(self, *, databases: int) -> bool:
        """Tells whether the view has all that the proxy needs to serve."""
        view = self.proxy.view
        return (
            view.plan is not None
            and len(view.primaries) >= databases
            and len(view.backends) >= 3 * databases
            and view.proxy_ids.id_of(name=self.name) is not None
        )

    def record_view_age(self) -> None:
        """Updates the highest observed age of the view."""
        self.max_view_age_us = max(self.max_view_age_us, now_us() - self.proxy.view.as_of_us)

    async def start(self) -> None:
        await self.proxy.start()

    async def stop(self) -> None:
        self.proxy.stop()
        # Timers of reactivex outlive the proxy; without a plan they do nothing.
        self.proxy.view.plan = None
        self.proxy.router.pools.clear()
        await self.ctx.net.close()
        self.ctx.close()
