"""Says where this proxy is, until the table of places says it as well."""

from ..failover.proxy_addresses import ProxyAddress
from ..http_frontend.subsetting import rank
from ..runtime.context import Context
from ..runtime.message_types import ANNOUNCE_ADDRESS
from ..runtime.packer import Packer
from .relayed_view import RelayedView

TELL_EVERY_US = 2_000_000
TELL_WAIT_US = 500_000


class AddressAnnouncer:
    """Costs a record every 2 s while the table is wrong, and nothing after."""

    def __init__(self, *, ctx: Context, view: RelayedView, place: ProxyAddress) -> None:
        self.ctx = ctx
        self.view = view
        self.place = place
        # why: proxies that begin together must not all tell in the same moment
        self.tell_from_us = ctx.now_us() + int.from_bytes(rank(seed=0, name=ctx.name)[:4]) % (TELL_EVERY_US // 4)

    def tend(self) -> None:
        now_us = self.ctx.now_us()
        if (
            now_us < self.tell_from_us
            or not self.view.controller
            or self.view.places.get(self.ctx.name) == self.place
        ):
            return
        self.tell_from_us = now_us + TELL_EVERY_US
        self.ctx.spawn(work=self._tell(), name="place.tell")

    async def _tell(self) -> None:
        packer = Packer().u8(value=ANNOUNCE_ADDRESS).text(value=self.ctx.name)
        body = packer.text(value=self.place.site).text(value=self.place.records).bytes()
        self.ctx.counters.add(name="places.told")
        await self.ctx.net.request(address=self.view.controller, body=body, wait_us=TELL_WAIT_US)
