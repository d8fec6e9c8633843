"""Singleton role that assigns dense, stable ids to proxies, frees lost ones, and keeps their addresses."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..failover.proxy_addresses import PROXY_ADDRESSES_KEY, ProxyAddress, ProxyAddresses, read_proxy_addresses
from ..failover.proxy_ids import PROXY_IDS_KEY, ProxyIds, read_proxy_ids
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .proxy_census import ProxyCensus

TIMER_PERIOD_US = 500_000
ASK_EVERY_US = 2_000_000
SETTLED_EVERY_US = 6_000_000
GRACE_US = 30_000_000
PROXY_ID_LEASE = "slots"


class ProxyIdAssigner(CommandQueueMixin):
    """One write deals ids to all that wait; who asks no controller for the time of grace loses its id."""

    def __init__(
        self,
        *,
        ctx: Context,
        register: Register,
        view: RegisterView,
        census: ProxyCensus,
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.census = census
        self.lease = Lease(ctx=ctx, register=register, name=PROXY_ID_LEASE, seekers=lambda: 3)
        self.held_since_us = 0
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="slots")

    async def _on_timer(self) -> None:
        if self.lease.due:
            held = self.lease.held
            if await self.lease.seek() and not held:
                self.held_since_us = self.ctx.now_us()
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current:
            return
        seen_us = {name: seen.at_us for name, seen in (await self.census.gather(every_us=ASK_EVERY_US)).items()}
        now_us = self.ctx.now_us()
        found = self.view.known.get(PROXY_IDS_KEY)
        proxy_ids = read_proxy_ids(data=b"" if found is None else found.value)
        named = {name for _, name in proxy_ids.names}
        fresh = [name for name, us in sorted(seen_us.items()) if name not in named and now_us - us < ASK_EVERY_US]
        # why: who has just taken the duty has not heard yet whom the others see
        gone = [name for name in sorted(named) if now_us - max(seen_us.get(name, 0), self.held_since_us) > GRACE_US]
        if fresh or gone:
            await self._change(fresh=fresh, gone=gone)
        await self._keep_places()

    async def _keep_places(self) -> None:
        """One write for all whose place is another than the table says; a proxy without an id has none."""
        proxy_ids = self.view.known.get(PROXY_IDS_KEY)
        named = (
            frozenset()
            if proxy_ids is None
            else frozenset(name for _, name in read_proxy_ids(data=proxy_ids.value).names)
        )
        known = self.view.known.get(PROXY_ADDRESSES_KEY)
        data = b"" if known is None else known.value
        # why: once all are in the table nobody tells anything, and only who comes anew has to be asked about
        every_us = ASK_EVERY_US if named - set(read_places(data=data)) else SETTLED_EVERY_US
        found = await self.census.gather_places(every_us=every_us)
        reported = {name: place for name, place in found.items() if name in named}

        def wanted(data: bytes) -> dict[str, ProxyAddress]:
            return {name: place for name, place in read_places(data=data).items() if name in named} | reported

        if wanted(data) == read_places(data=data):
            return
        result = await self.register.change(
            key=PROXY_ADDRESSES_KEY, decide=lambda data: Ok(ProxyAddresses(places=wanted(data)).bytes())
        )
        self.view.take_own(key=PROXY_ADDRESSES_KEY, result=result)

    async def _change(self, *, fresh: list[str], gone: list[str]) -> None:
        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            proxy_ids: ProxyIds = read_proxy_ids(data=data)
            for name in gone:
                proxy_ids = proxy_ids.without(name=name)
            for name in fresh:
                proxy_ids = proxy_ids.with_name(name=name)
            if proxy_ids.bytes() == data:
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="dealt already"))
            return Ok(proxy_ids.bytes())

        result = await self.register.change(key=PROXY_IDS_KEY, decide=decide)
        self.view.take_own(key=PROXY_IDS_KEY, result=result)
        if result.is_ok():
            self.ctx.log.info("slots dealt to %s, freed of %s", fresh, gone)


def read_places(*, data: bytes) -> dict[str, ProxyAddress]:
    return dict(read_proxy_addresses(data=data).places) if data else {}
