"""Ways round: a primary that this proxy can't reach, and another proxy can, is reached by way of that proxy."""

import asyncio
from collections.abc import Callable

from ..runtime.context import Context
from .forwarder import Forwarder, Holder
from .link_pool import LinkPool

TRY_EVERY_US = 350_000
# why: a little over two tries, so that one answer that is late ends no way that is good
PROVEN_FOR_US = 900_000
PROBE_WAIT_US = 500_000
# why: a cut may part most proxies from a primary, and each turn that finds nobody costs clients a third of a second
ASKED_AT_ONCE = 3


class Detours:
    """Owns the ways round, one a backend. No client's statement is the first to go on one.

    A way is proven by the primary's own position, asked for by way of the other proxy, and proven anew for as long as
    it is needed; what may be sent is decided by that proxy, by its own view, as for all that is passed on.
    """

    def __init__(self, *, ctx: Context, others: Callable[[LinkPool], tuple[Holder, ...]]) -> None:
        self.ctx = ctx
        self.others = others
        self.forwarder: Forwarder | None = None
        self.ways: dict[str, tuple[LinkPool, int]] = {}
        self.tried_us: dict[str, int] = {}
        self.refused: dict[str, set[str]] = {}

    def way(self, *, pool: LinkPool) -> LinkPool | None:
        """The pool of a proven way round to the backend of this one."""
        found = self.ways.get(pool.backend.name)
        if found is None or self.ctx.now_us() >= found[1] + PROVEN_FOR_US:
            return None
        return found[0]

    def tend(self, *, pool: LinkPool, service: str) -> None:
        """Now and then, for a primary: seeks a way round while it can't be reached from here."""
        name = pool.backend.name
        if not pool.unreachable:
            self.forget(name=name)
            return
        now_us = self.ctx.now_us()
        if self.forwarder is None or pool.closed or now_us - self.tried_us.get(name, -TRY_EVERY_US) < TRY_EVERY_US:
            return
        self.tried_us[name] = now_us
        self.ctx.spawn(work=self._prove(pool=pool, service=service), name="detour")

    def forget(self, *, name: str) -> None:
        for table in (self.ways, self.tried_us, self.refused):
            table.pop(name, None)

    def _next(self, *, pool: LinkPool) -> list[Holder]:
        """The one that serves as the way now.

        Else some not asked yet, of the nearest and of all in turn, at random.
        """
        name = pool.backend.name
        found = self.ways.get(name)
        if found is not None:
            return [found[0].holders[0]]
        refused = self.refused.setdefault(name, set())
        others = [holder for holder in self.others(pool) if holder.name not in refused]
        if not others:
            refused.clear()
            return []
        near = min(holder.near for holder in others)
        self.ctx.rng.shuffle(others)
        # why: a cut may part whole zones as well as single proxies, so that the nearest may all be of no use
        others.sort(key=lambda holder: holder.near > near)
        return [*others[: ASKED_AT_ONCE - 1], *others[ASKED_AT_ONCE - 1 :][-1:]]

    async def _prove(self, *, pool: LinkPool, service: str) -> None:
        holders = self._next(pool=pool)
        await asyncio.gather(*(self._prove_by(pool=pool, service=service, holder=holder) for holder in holders))

    async def _prove_by(self, *, pool: LinkPool, service: str, holder: Holder) -> None:
        name, forwarder = pool.backend.name, self.forwarder
        assert forwarder is not None
        self.ctx.counters.add(name="detours.tried")
        until_us = self.ctx.now_us() + PROBE_WAIT_US
        taken = await forwarder.link(
            holders=(holder,), backend=name, service=service, database="", rank=0, until_us=until_us
        )
        proven = False
        if taken.is_ok():
            # why: counted from the asking, since the way may be closed by the time that the answer is here
            requested_us = self.ctx.now_us()
            try:
                reply = await taken.ok.ask_position()
                proven = reply.fault is None and reply.position is not None
            except ConnectionError:
                pass
            taken.ok.close()
        found = self.ways.get(name)
        if proven and pool.unreachable:
            # why: of several that answer the first is the way
            if found is None or found[0].holders[0] == holder:
                self._keep(pool=pool, holder=holder, requested_us=requested_us)
            return
        self.refused.setdefault(name, set()).add(holder.name)
        if found is not None and found[0].holders[0] == holder:
            del self.ways[name]

    def _keep(self, *, pool: LinkPool, holder: Holder, requested_us: int) -> None:
        name = pool.backend.name
        found = self.ways.get(name)
        if found is None or found[0].holders[0] != holder:
            self.ctx.counters.add(name="detours.found")
            self.ctx.log.info("%s is reached by way of %s", name, holder.name)
            way = LinkPool(
                ctx=self.ctx, backend=pool.backend, dialer=pool.dialer, on_link_failure=pool.on_link_failure
            )
            way.limit, way.forwarder, way.holders = 0, self.forwarder, (holder,)
        else:
            way = found[0]
        self.ways[name] = (way, requested_us)
