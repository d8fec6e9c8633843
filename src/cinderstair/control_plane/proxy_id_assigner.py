"""Singleton service that assigns dense, stable ids to proxies, frees unused ids and maintains the address table."""

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
CENSUS_PERIOD_US = 2_000_000
SETTLED_CENSUS_PERIOD_US = 6_000_000
ID_GRACE_US = 30_000_000
PROXY_ID_LEASE = "slots"


class ProxyIdAssigner(CommandQueueMixin):
    """Maintains the register's tables of proxy ids and proxy addresses while this controller holds the lease.

    All new proxies get their ids in one write. A proxy that has asked no controller for `ID_GRACE_US` loses its id.
    A failed write is retried at the next timer.
    """

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
        await self._update_ids()
        await self._update_addresses()

    async def _update_ids(self) -> None:
        """Assigns ids to new proxies and frees the ids of lost ones."""
        contacts = await self.census.gather(every_us=CENSUS_PERIOD_US)
        last_us = {name: contact.at_us for name, contact in contacts.items()}
        now_us = self.ctx.now_us()
        with_id = self._proxies_with_id()
        new = [name for name, us in sorted(last_us.items()) if name not in with_id and now_us - us < CENSUS_PERIOD_US]
        # a new lease holder starts without the other controllers' contacts, so the grace period starts with its lease
        lost = [
            name for name in sorted(with_id) if now_us - max(last_us.get(name, 0), self.held_since_us) > ID_GRACE_US
        ]
        if new or lost:
            await self._write_ids(new=new, lost=lost)

    def _value(self, *, key: str) -> bytes:
        found = self.view.known.get(key)
        return b"" if found is None else found.value

    def _proxies_with_id(self) -> frozenset[str]:
        """Names of the proxies that have an id."""
        return frozenset(name for _, name in read_proxy_ids(data=self._value(key=PROXY_IDS_KEY)).names)

    async def _update_addresses(self) -> None:
        """Writes all changed addresses at once and drops those of proxies without an id."""
        with_id = self._proxies_with_id()
        data = self._value(key=PROXY_ADDRESSES_KEY)
        # proxies stop reporting an address that the table lists, so only new or moved proxies remain to be found
        every_us = CENSUS_PERIOD_US if with_id - set(read_addresses(data=data)) else SETTLED_CENSUS_PERIOD_US
        found = await self.census.gather_addresses(every_us=every_us)
        reported = {name: address for name, address in found.items() if name in with_id}

        def wanted(data: bytes) -> dict[str, ProxyAddress]:
            kept = {name: address for name, address in read_addresses(data=data).items() if name in with_id}
            return kept | reported

        if wanted(data) == read_addresses(data=data):
            return
        result = await self.register.change(
            key=PROXY_ADDRESSES_KEY, decide=lambda data: Ok(ProxyAddresses(addresses=wanted(data)).bytes())
        )
        self.view.apply_own_write(key=PROXY_ADDRESSES_KEY, result=result)

    async def _write_ids(self, *, new: list[str], lost: list[str]) -> None:
        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            proxy_ids: ProxyIds = read_proxy_ids(data=data)
            for name in lost:
                proxy_ids = proxy_ids.without(name=name)
            for name in new:
                proxy_ids = proxy_ids.with_name(name=name)
            if proxy_ids.bytes() == data:
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="the ids are assigned already"))
            return Ok(proxy_ids.bytes())

        result = await self.register.change(key=PROXY_IDS_KEY, decide=decide)
        self.view.apply_own_write(key=PROXY_IDS_KEY, result=result)
        if result.is_ok():
            self.ctx.log.info("assigned proxy ids to %s, freed the ids of lost proxies %s", new, lost)


def read_addresses(*, data: bytes) -> dict[str, ProxyAddress]:
    """The addresses by proxy; empty if no table was written. Raises ValueError for malformed bytes."""
    return dict(read_proxy_addresses(data=data).addresses) if data else {}
