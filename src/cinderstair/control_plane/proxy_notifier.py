"""Makes a primary assignment known to all controllers and proxies without waiting for their next pulls."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from ..consensus.register_view import RegisterView
from ..consensus.versioned_value import VersionedValue
from ..failover.acknowledged_commits import AcknowledgedCommits, least_last_position
from ..failover.assignment_notice import (
    AssignmentNotice,
    ControllerReceipt,
    ProxyReceipt,
    read_assignment_notice,
    read_controller_receipt,
    read_proxy_receipt,
)
from ..failover.proxy_addresses import PROXY_ADDRESSES_KEY, read_proxy_addresses
from ..failover.service_primary import service_primary_key
from ..membership.relay_record import RelayedValue
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.position import START
from ..runtime.unpacker import Unpacker
from .relay import Relay

# Allows for a connection that has to be made first between distant regions.
RECEIPT_WAIT_US = 400_000
# Limit of unanswered notices to proxies. Beyond it, as when many primaries are lost together, successors wait until
# all views have expired instead.
MAX_UNANSWERED_NOTICES = 4_000

R = TypeVar("R")


@dataclass(frozen=True, kw_only=True)
class TimedReceipt:
    """A proxy's receipt, and when the notice was sent to it, by the local clock."""

    sent_us: int
    receipt: ProxyReceipt


class ProxyNotifier:
    """Sends notices of assignments, and answers those of other controllers.

    Each controller knows only the proxies that ask it for state. A proxy's view can be current only if the proxy has
    asked some controller within `expiry_us`, so the proxies that all controllers name are all that matter.

    :param peers: the addresses of the other controllers from which a proxy may have got its view.
    :param expiry_us: after this time without an answer of a controller no view is current, in microseconds.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        view: RegisterView,
        relay: Relay,
        peers: Callable[[], list[str]],
        expiry_us: int,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.relay = relay
        self.peers = peers
        self.expiry_us = expiry_us
        # the number of notices to proxies without an answer so far
        self.unanswered = 0
        dispatcher.add_handler(message_type=MessageType.RELAY_ASSIGNMENT, handler=self._on_notice)

    async def _on_notice(self, unpacker: Unpacker) -> bytes:
        value = read_assignment_notice(unpacker=unpacker).value
        if not self.view.apply_newer(key=value.key, found=VersionedValue(ballot=value.ballot, value=value.value)):
            raise ValueError(f"the value of {value.key} can't be applied")
        return ControllerReceipt(proxies=self._own_proxies()).bytes()

    def _own_proxies(self) -> tuple[str, ...]:
        return tuple(contact.name for contact in self.relay.recent_proxies(within_us=self.expiry_us))

    async def notify(self, service: str, running_us: int) -> AcknowledgedCommits:
        """See `NotifyProxies`."""
        addresses = self._addresses()
        if self.unanswered + len(addresses) > MAX_UNANSWERED_NOTICES:
            return AcknowledgedCommits(complete=False)
        key = service_primary_key(service=service)
        found = self.view.known[key]
        notice = AssignmentNotice(value=RelayedValue(key=key, ballot=found.ballot, value=found.value))
        # Proxies are notified while the controllers are still asked which of them matter.
        tasks = {
            name: self.ctx.spawn(work=self._notify_proxy(address=address, notice=notice), name="notice")
            for name, address in addresses.items()
        }
        proxies = await self._proxies_of_all(notice=notice)
        if proxies is None or not proxies <= tasks.keys():
            # It is not known which proxies matter, so each of them may.
            receipts = await asyncio.gather(*tasks.values())
            return self._combined(receipts=receipts, running_us=running_us, all_known=False)
        receipts = await asyncio.gather(*(tasks[name] for name in sorted(proxies)))
        return self._combined(receipts=receipts, running_us=running_us, all_known=True)

    def _addresses(self) -> dict[str, str]:
        """The addresses of the proxies that accept records, by name."""
        found = self.view.known.get(PROXY_ADDRESSES_KEY)
        if found is None or not found.value:
            return {}
        addresses = read_proxy_addresses(data=found.value).addresses
        return {name: address.records for name, address in addresses.items() if address.records}

    async def _proxies_of_all(self, *, notice: AssignmentNotice) -> set[str] | None:
        """The proxies whose views may be current; None if a controller did not answer."""
        receipts = await asyncio.gather(
            *(self._notify_controller(address=address, notice=notice) for address in self.peers())
        )
        proxies = set(self._own_proxies())
        for receipt in receipts:
            if receipt is None:
                return None
            proxies.update(receipt.proxies)
        return proxies

    async def _notify_controller(self, *, address: str, notice: AssignmentNotice) -> ControllerReceipt | None:
        return await self._request(
            address=address,
            message_type=MessageType.RELAY_ASSIGNMENT,
            notice=notice,
            read=lambda data: read_controller_receipt(data=data),
        )

    async def _notify_proxy(self, *, address: str, notice: AssignmentNotice) -> TimedReceipt | None:
        sent_us = self.ctx.now_us()
        self.unanswered += 1
        try:
            receipt = await self._request(
                address=address,
                message_type=MessageType.APPLY_ASSIGNMENT,
                notice=notice,
                read=lambda data: read_proxy_receipt(data=data),
            )
        finally:
            self.unanswered -= 1
        return None if receipt is None else TimedReceipt(sent_us=sent_us, receipt=receipt)

    async def _request(
        self, *, address: str, message_type: MessageType, notice: AssignmentNotice, read: Callable[[bytes], R]
    ) -> R | None:
        """Sends a notice; None without an answer, or if `read` raises ValueError since it is malformed."""
        body = notice.write(packer=Packer().u8(value=message_type)).bytes()
        result = await self.ctx.peer_client.request(address=address, body=body, wait_us=RECEIPT_WAIT_US)
        if result.is_error():
            return None
        try:
            return read(result.ok)
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return None

    def _combined(
        self, *, receipts: list[TimedReceipt | None], running_us: int, all_known: bool
    ) -> AcknowledgedCommits:
        """What the proxies have acknowledged, by those that answered.

        :param all_known: whether all proxies whose views may be current were notified.
        """
        now_us = self.ctx.now_us()
        answered = [timed for timed in receipts if timed is not None]
        counted = least_last_position(
            reached_before=[position for timed in answered for position in timed.receipt.reached_before]
        )
        return AcknowledgedCommits(
            position=max((timed.receipt.acknowledged for timed in answered), default=START),
            # The receipt was sent after the notice, so the acknowledgement is at most this old.
            last_us=max((now_us - timed.receipt.acknowledged_ago_us for timed in answered), default=0),
            least=max([counted, *(timed.receipt.acknowledged_least for timed in answered)]),
            complete=all_known
            and len(answered) == len(receipts)
            and all(timed.receipt.running_us >= running_us + now_us - timed.sent_us for timed in answered),
        )
