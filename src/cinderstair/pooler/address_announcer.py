"""Announces this proxy's address to a controller until the table of proxy addresses lists it."""

from ..failover.proxy_addresses import ProxyAddress
from ..http_frontend.subsetting import rank
from ..runtime.context import Context
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .relayed_view import RelayedView

ANNOUNCE_INTERVAL_US = 2_000_000
ANNOUNCE_WAIT_US = 500_000


class AddressAnnouncer:
    """Sends one announcement per interval while the address in the view is missing or differs from this proxy's own.

    Lost announcements are not reported; the next interval repeats them.
    """

    def __init__(self, *, ctx: Context, view: RelayedView, address: ProxyAddress) -> None:
        self.ctx = ctx
        self.view = view
        self.address = address
        # Spreads the announcements of proxies that start together, by a hash of the name.
        offset = int.from_bytes(rank(seed=0, name=ctx.name)[:4])
        self.next_us = ctx.now_us() + offset % (ANNOUNCE_INTERVAL_US // 4)

    def on_timer(self) -> None:
        """Sends an announcement if the table lacks this address and the interval has passed."""
        now_us = self.ctx.now_us()
        known = self.view.proxy_addresses.get(self.ctx.name) == self.address
        if known or now_us < self.next_us or not self.view.controller:
            return
        self.next_us = now_us + ANNOUNCE_INTERVAL_US
        self.ctx.spawn(work=self._announce(), name="place.tell")

    async def _announce(self) -> None:
        packer = Packer().u8(value=MessageType.ANNOUNCE_ADDRESS).text(value=self.ctx.name)
        body = packer.text(value=self.address.site).text(value=self.address.records).bytes()
        self.ctx.counters.add(name="places.told")
        await self.ctx.net.request(address=self.view.controller, body=body, wait_us=ANNOUNCE_WAIT_US)
