"""Finds detours: other proxies through which this proxy can reach a primary that it can't reach directly."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..runtime.context import Context
from .forwarder import Forwarder, PeerProxy
from .link_pool import LinkPool

SEARCH_INTERVAL_US = 350_000
# Longer than two search intervals, so that one late reply does not end a working detour.
CONFIRMED_FOR_US = 900_000
PROBE_WAIT_US = 500_000
# A partition may cut off most proxies from a primary, and each failed search delays clients by one interval.
PROBES_AT_ONCE = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Detour:
    """A pool that forwards through one other proxy.

    `confirmed_us`: when the last successful probe of the primary through that proxy was sent, by this proxy's clock.
    """

    pool: LinkPool
    confirmed_us: int

    @property
    def peer_proxy(self) -> PeerProxy:
        """The proxy through which the backend is reached."""
        return self.pool.peer_proxies[0]


class Detours:
    """Owns the detours, at most one per backend, keyed by the backend's name.

    A detour is confirmed before any client's statement uses it: this proxy requests the primary's log position
    through the other proxy. It is confirmed again every SEARCH_INTERVAL_US while the primary is unreachable, and is
    used for CONFIRMED_FOR_US after each confirmation. The other proxy decides by its own view what may be sent, as
    for every forwarded statement.

    `searched_us`: when the last search began, by backend. `failed_proxies`: the proxies whose probe failed in the
    current round of candidates, by backend. `forwarder`: None where forwarding is off; then there are no detours.
    """

    def __init__(self, *, ctx: Context, candidates: Callable[[LinkPool], tuple[PeerProxy, ...]]) -> None:
        """
        :param candidates: returns the other proxies that may have links to a pool's backend.
        """
        self.ctx = ctx
        self.candidates = candidates
        self.forwarder: Forwarder | None = None
        self.detours: dict[str, Detour] = {}
        self.searched_us: dict[str, int] = {}
        self.failed_proxies: dict[str, set[str]] = {}

    def detour(self, *, pool: LinkPool) -> LinkPool | None:
        """The pool of the detour to this pool's backend; None without a recent confirmation."""
        found = self.detours.get(pool.backend.name)
        if found is None or self.ctx.now_us() >= found.confirmed_us + CONFIRMED_FOR_US:
            return None
        return found.pool

    def has_detour(self, *, name: str) -> bool:
        """Whether a detour to the backend exists, even if its last confirmation has expired."""
        return name in self.detours

    def maintain(self, *, pool: LinkPool, service: str) -> None:
        """Searches for or confirms a detour while the primary is unreachable; drops it once it is reachable."""
        name = pool.backend.name
        if not pool.unreachable:
            self.forget(name=name)
            return
        now_us = self.ctx.now_us()
        searched_us = self.searched_us.get(name, -SEARCH_INTERVAL_US)
        if self.forwarder is None or pool.closed or now_us - searched_us < SEARCH_INTERVAL_US:
            return
        self.searched_us[name] = now_us
        work = self._search(pool=pool, service=service, forwarder=self.forwarder)
        self.ctx.spawn(work=work, name="detour")

    def forget(self, *, name: str) -> None:
        """Drops the detour and the search state of this backend."""
        self.detours.pop(name, None)
        self.searched_us.pop(name, None)
        self.failed_proxies.pop(name, None)

    def _next_probes(self, *, pool: LinkPool) -> list[PeerProxy]:
        """The proxies to probe next: that of the present detour, else up to PROBES_AT_ONCE candidates.

        Candidates are drawn at random, mostly among the nearest. Once all have failed, the next search starts over.
        """
        name = pool.backend.name
        found = self.detours.get(name)
        if found is not None:
            return [found.peer_proxy]
        failed_proxies = self.failed_proxies.setdefault(name, set())
        candidates = [each for each in self.candidates(pool) if each.name not in failed_proxies]
        if not candidates:
            failed_proxies.clear()
            return []
        nearest = min(each.distance for each in candidates)
        self.ctx.rng.shuffle(candidates)
        # A partition may cut off a whole zone with all the nearest proxies, so one probe goes to another one.
        candidates.sort(key=lambda each: each.distance > nearest)
        return [*candidates[: PROBES_AT_ONCE - 1], *candidates[PROBES_AT_ONCE - 1 :][-1:]]

    async def _search(self, *, pool: LinkPool, service: str, forwarder: Forwarder) -> None:
        probes = self._next_probes(pool=pool)
        await asyncio.gather(
            *(self._probe(pool=pool, service=service, forwarder=forwarder, peer_proxy=each) for each in probes)
        )

    async def _probe(self, *, pool: LinkPool, service: str, forwarder: Forwarder, peer_proxy: PeerProxy) -> None:
        """Requests the primary's log position through another proxy, and keeps or drops the detour accordingly."""
        name = pool.backend.name
        confirmed_us = await self._confirmed_us(
            name=name, service=service, forwarder=forwarder, peer_proxy=peer_proxy
        )
        found = self.detours.get(name)
        is_detour = found is not None and found.peer_proxy == peer_proxy
        if confirmed_us is not None and pool.unreachable:
            # If several probes succeed, the first one becomes the detour.
            if found is None or is_detour:
                self._keep(pool=pool, forwarder=forwarder, peer_proxy=peer_proxy, confirmed_us=confirmed_us)
            return
        self.failed_proxies.setdefault(name, set()).add(peer_proxy.name)
        if is_detour:
            del self.detours[name]

    async def _confirmed_us(
        self, *, name: str, service: str, forwarder: Forwarder, peer_proxy: PeerProxy
    ) -> int | None:
        """When a successful probe was sent, by this proxy's clock; None where the probe failed.

        The time of sending counts, since the path may already be cut again when the reply arrives.
        """
        self.ctx.counters.add(name="detours.tried")
        until_us = self.ctx.now_us() + PROBE_WAIT_US
        acquired = await forwarder.link(
            peer_proxies=(peer_proxy,), backend=name, service=service, database="", rank=0, until_us=until_us
        )
        if acquired.is_error():
            return None
        requested_us = self.ctx.now_us()
        confirmed = False
        try:
            reply = await acquired.ok.ask_position()
            confirmed = reply.fault is None and reply.position is not None
        except ConnectionError:
            pass
        acquired.ok.close()
        return requested_us if confirmed else None

    def _keep(self, *, pool: LinkPool, forwarder: Forwarder, peer_proxy: PeerProxy, confirmed_us: int) -> None:
        """Creates the detour through this proxy, or renews its confirmation."""
        name = pool.backend.name
        found = self.detours.get(name)
        if found is not None:
            self.detours[name] = Detour(pool=found.pool, confirmed_us=confirmed_us)
            return
        self.ctx.counters.add(name="detours.found")
        self.ctx.log.info("%s can't be reached directly; forwarding its statements through %s", name, peer_proxy.name)
        detour_pool = LinkPool(
            ctx=self.ctx, backend=pool.backend, dialer=pool.dialer, on_link_failure=pool.on_link_failure
        )
        detour_pool.limit, detour_pool.forwarder, detour_pool.peer_proxies = 0, forwarder, (peer_proxy,)
        self.detours[name] = Detour(pool=detour_pool, confirmed_us=confirmed_us)
