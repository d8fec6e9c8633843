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
    """Assigns ids to all new proxies in one write; a proxy that asks no controller for `GRACE_US` loses its id."""

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
        self.lease = Lease(ctx=ctx, register=register, name=PROXY_ID_LEASE, contenders=lambda: 3)
        self.held_since_us = 0
        self.open_queue()
        self.every(every_us=TIMER_PERIOD_US, command=self._on_timer, name="slots")

    async def _on_timer(self) -> None:
        if self.lease.due:
            held = self.lease.held
            if await self.lease.try_acquire() and not held:
                self.held_since_us = self.ctx.now_us()
        if not self.lease.may_act(as_of_us=self.view.as_of_us) or not self.view.current:
            return
        await self._keep_ids()
        await self._keep_addresses()

    async def _keep_ids(self) -> None:
        """Assigns ids to proxies that are new, and frees those of proxies that are lost."""
        contacts = await self.census.gather(every_us=ASK_EVERY_US)
        last_us = {name: contact.at_us for name, contact in contacts.items()}
        now_us = self.ctx.now_us()
        named = self._named()
        fresh = [name for name, us in sorted(last_us.items()) if name not in named and now_us - us < ASK_EVERY_US]
        # a new holder of the lease does not know yet which proxies the other controllers have heard of
        gone = [name for name in sorted(named) if now_us - max(last_us.get(name, 0), self.held_since_us) > GRACE_US]
        if fresh or gone:
            await self._change(fresh=fresh, gone=gone)

    def _value(self, *, key: str) -> bytes:
        found = self.view.known.get(key)
        return b"" if found is None else found.value

    def _named(self) -> frozenset[str]:
        """The proxies that have an id."""
        return frozenset(name for _, name in read_proxy_ids(data=self._value(key=PROXY_IDS_KEY)).names)

    async def _keep_addresses(self) -> None:
        """One write for all addresses that differ from the table's; a proxy without an id has none."""
        named = self._named()
        data = self._value(key=PROXY_ADDRESSES_KEY)
        # once all are in the table no proxy reports its address, and only new proxies have to be asked about
        every_us = ASK_EVERY_US if named - set(read_addresses(data=data)) else SETTLED_EVERY_US
        found = await self.census.gather_addresses(every_us=every_us)
        reported = {name: address for name, address in found.items() if name in named}

        def wanted(data: bytes) -> dict[str, ProxyAddress]:
            kept = {name: address for name, address in read_addresses(data=data).items() if name in named}
            return kept | reported

        if wanted(data) == read_addresses(data=data):
            return
        result = await self.register.change(
            key=PROXY_ADDRESSES_KEY, decide=lambda data: Ok(ProxyAddresses(addresses=wanted(data)).bytes())
        )
        self.view.apply_own_write(key=PROXY_ADDRESSES_KEY, result=result)

    async def _change(self, *, fresh: list[str], gone: list[str]) -> None:
        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            proxy_ids: ProxyIds = read_proxy_ids(data=data)
            for name in gone:
                proxy_ids = proxy_ids.without(name=name)
            for name in fresh:
                proxy_ids = proxy_ids.with_name(name=name)
            if proxy_ids.bytes() == data:
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="the ids are assigned already"))
            return Ok(proxy_ids.bytes())

        result = await self.register.change(key=PROXY_IDS_KEY, decide=decide)
        self.view.apply_own_write(key=PROXY_IDS_KEY, result=result)
        if result.is_ok():
            self.ctx.log.info("proxy ids were assigned to %s, and those of the lost proxies %s freed", fresh, gone)


def read_addresses(*, data: bytes) -> dict[str, ProxyAddress]:
    """The addresses by proxy; none for an absent value. Raises ValueError where the bytes are no table."""
    return dict(read_proxy_addresses(data=data).addresses) if data else {}
