"""Collects from all controllers the known proxies: last contact, shard map vote and address of each."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..failover.proxy_addresses import ProxyAddress
from ..failover.shard_state import Vote
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .acknowledgement import ACKNOWLEDGEMENT
from .proxy_contact import ProxyContact, read_proxy_contact
from .relay import Relay

CONTACT_WINDOW_US = 30_000_000
REQUEST_WAIT_US = 500_000


@dataclass(frozen=True, kw_only=True)
class ShardMapStep:
    """The step of a shard map change that a controller has seen: proposal number and phase."""

    proposal: int = 0
    phase: int = 0

    def write(self, *, packer: Packer) -> Packer:
        """Appends the step's fields in wire order."""
        return packer.u64(value=self.proposal).u8(value=self.phase)


@dataclass(frozen=True, kw_only=True)
class LastContact:
    """When a proxy last asked any controller, by the local clock; `vote` refers to proposal number `proposal`."""

    at_us: int
    proposal: int
    vote: Vote


@dataclass(frozen=True, kw_only=True)
class AddressReport:
    """A proxy's address, and when the proxy reported it, by the local clock."""

    at_us: int
    address: ProxyAddress

    def write(self, *, packer: Packer, name: str, now_us: int) -> None:
        """Appends the proxy's name, the report's age and the address."""
        packer.text(value=name).u64(value=now_us - self.at_us)
        packer.text(value=self.address.site).text(value=self.address.records)


class ProxyCensus:
    """Owns the last contact and the reported address of each proxy, and the shard map step of each peer.

    Each controller knows only the proxies that ask it; a lease holder pulls the other controllers' lists. Peers that
    don't answer keep their last known step and entries; malformed answers are counted and dropped.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        relay: Relay,
        peers: Callable[[], list[str]],
        shard_map_step: Callable[[], ShardMapStep] = ShardMapStep,
    ) -> None:
        self.ctx = ctx
        self.relay = relay
        self.peers = peers
        self.shard_map_step = shard_map_step
        self.peer_steps: dict[str, ShardMapStep] = {}
        self.contacts: dict[str, LastContact] = {}
        self.addresses: dict[str, AddressReport] = {}
        self.contacts_requested_us = self.addresses_requested_us = -CONTACT_WINDOW_US
        dispatcher.add_handler(message_type=MessageType.PROXIES, handler=self._on_proxies)
        dispatcher.add_handler(message_type=MessageType.ANNOUNCE_ADDRESS, handler=self._on_announce_address)
        dispatcher.add_handler(message_type=MessageType.PROXY_ADDRESSES, handler=self._on_proxy_addresses)

    async def _on_announce_address(self, unpacker: Unpacker) -> bytes:
        """Stores a proxy's address; the proxy repeats its report until the register lists the address."""
        name, address = unpacker.text(), _read_address(unpacker)
        unpacker.done()
        self.addresses[name] = AddressReport(at_us=self.ctx.now_us(), address=address)
        return ACKNOWLEDGEMENT

    async def _on_proxies(self, unpacker: Unpacker) -> bytes:
        unpacker.done()
        step = self.shard_map_step()
        contacts = self.relay.recent_proxies(within_us=CONTACT_WINDOW_US)
        packer = Packer().many(values=contacts, each=lambda p, contact: contact.write(packer=p))
        # the step comes last, so that older versions, which do not read it, accept the record
        return step.write(packer=packer).bytes()

    async def _on_proxy_addresses(self, unpacker: Unpacker) -> bytes:
        unpacker.done()
        now_us = self.ctx.now_us()
        self._forget_addresses(now_us=now_us)

        packer = Packer().many(
            values=self.addresses.items(),
            each=lambda p, entry: entry[1].write(packer=p, name=entry[0], now_us=now_us),
        )
        return packer.bytes()

    def peers_agree(self, *, step: ShardMapStep) -> bool:
        """Whether every other controller has reported this step together with its list of proxies.

        Before that, a controller may still relay an older step to a proxy that no other controller knows.
        """
        return all(self.peer_steps.get(address) == step for address in self.peers())

    async def gather(self, *, every_us: int) -> dict[str, LastContact]:
        """The last contact of all known proxies; pulls from the other controllers at most once every `every_us`."""
        now_us = self.ctx.now_us()
        for contact in self.relay.recent_proxies(within_us=CONTACT_WINDOW_US):
            self._merge_contact(contact=contact, now_us=now_us)
        if now_us - self.contacts_requested_us >= every_us:
            self.contacts_requested_us = now_us
            await self._pull_contacts(now_us=now_us)
        self.contacts = {
            name: contact for name, contact in self.contacts.items() if now_us - contact.at_us < 2 * CONTACT_WINDOW_US
        }
        return self.contacts

    async def _pull_contacts(self, *, now_us: int) -> None:
        body = Packer().u8(value=MessageType.PROXIES).bytes()
        peers = self.peers()
        requests = [
            self.ctx.peer_client.request(address=address, body=body, wait_us=REQUEST_WAIT_US) for address in peers
        ]
        for address, result in zip(peers, await asyncio.gather(*requests), strict=True):
            if result.is_ok():
                self._merge_peer_answer(address=address, data=result.ok, requested_us=now_us)

    def _merge_peer_answer(self, *, address: str, data: bytes, requested_us: int) -> None:
        try:
            unpacker = Unpacker(data=data)
            contacts = unpacker.many(each=read_proxy_contact)
            step = ShardMapStep(proposal=unpacker.u64(), phase=unpacker.u8())
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        self.peer_steps[address] = step
        for contact in contacts:
            # the answer may arrive much later; counting ages from the request never makes a contact look too recent
            self._merge_contact(contact=contact, now_us=requested_us)

    def _merge_contact(self, *, contact: ProxyContact, now_us: int) -> None:
        at_us = now_us - contact.age_us
        known = self.contacts.get(contact.name)
        if known is None or at_us > known.at_us:
            self.contacts[contact.name] = LastContact(at_us=at_us, proposal=contact.proposal, vote=contact.vote)

    async def gather_addresses(self, *, every_us: int) -> dict[str, ProxyAddress]:
        """Addresses that proxies reported within `CONTACT_WINDOW_US`, by proxy.

        Pulls from the other controllers at most once every `every_us`.
        """
        now_us = self.ctx.now_us()
        if now_us - self.addresses_requested_us >= every_us:
            self.addresses_requested_us = now_us
            body = Packer().u8(value=MessageType.PROXY_ADDRESSES).bytes()
            requests = [
                self.ctx.peer_client.request(address=address, body=body, wait_us=REQUEST_WAIT_US)
                for address in self.peers()
            ]
            for result in await asyncio.gather(*requests):
                if result.is_ok():
                    self._merge_addresses(data=result.ok, requested_us=now_us)
        self._forget_addresses(now_us=now_us)
        return {name: report.address for name, report in self.addresses.items()}

    def _merge_addresses(self, *, data: bytes, requested_us: int) -> None:
        try:
            entries = Unpacker(data=data).many(each=lambda u: (u.text(), u.u64(), _read_address(u)))
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        for name, age_us, address in entries:
            at_us = requested_us - age_us
            if name not in self.addresses or at_us > self.addresses[name].at_us:
                self.addresses[name] = AddressReport(at_us=at_us, address=address)

    def _forget_addresses(self, *, now_us: int) -> None:
        self.addresses = {
            name: report for name, report in self.addresses.items() if now_us - report.at_us <= CONTACT_WINDOW_US
        }


def _read_address(unpacker: Unpacker) -> ProxyAddress:
    return ProxyAddress(site=unpacker.text(), records=unpacker.text())
