"""Announces this proxy's address until the controllers' table of addresses has it."""

from ..failover.proxy_addresses import ProxyAddress
from ..http_frontend.subsetting import rank
from ..runtime.context import Context
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .relayed_view import RelayedView

ANNOUNCE_INTERVAL_US = 2_000_000
ANNOUNCE_WAIT_US = 500_000


class AddressAnnouncer:
    """Sends one message per interval while the table is wrong, and none after."""

    def __init__(self, *, ctx: Context, view: RelayedView, address: ProxyAddress) -> None:
        self.ctx = ctx
        self.view = view
        self.address = address
        # Proxies that start together must not all announce themselves at the same moment.
        offset = int.from_bytes(rank(seed=0, name=ctx.name)[:4])
        self.next_us = ctx.now_us() + offset % (ANNOUNCE_INTERVAL_US // 4)

    def on_timer(self) -> None:
        """Announces the address where that is due."""
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
