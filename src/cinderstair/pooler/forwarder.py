"""Forwards statements to other proxies that have links to a backend."""

from dataclasses import dataclass, replace
from typing import NamedTuple

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .forward_record import ForwardRequest, ForwardResponse, ForwardStep, read_forward_response
from .forwarded_link import ForwardedLink

HANDSHAKE_WAIT_US = 250_000
MAX_PROXIES_TRIED = 3
# A clock reading expires after this time, in which two clocks drift apart by far less than CLOCK_MARGIN_US.
CLOCK_VALID_US = 10_000_000
CLOCK_MARGIN_US = 3_000
MIN_AVOID_US = 1_000_000
MAX_AVOID_US = 8_000_000
# Limits the shift; MAX_AVOID_US is reached after this many doublings.
MAX_AVOID_DOUBLINGS = 3
DRAINING_AVOID_US = 10_000_000
SILENCE_US = 400_000
KEEP_ALIVE_INTERVAL_US = 700_000
KEEP_ALIVE_WAIT_US = 500_000
# How long a response sent just before the deadline may travel.
RESPONSE_TRAVEL_US = 20_000


class PeerProxy(NamedTuple):
    """Another proxy that has links to a backend. `distance`: smaller is nearer."""

    distance: int
    name: str
    address: str


@dataclass(kw_only=True)
class PeerState:
    """The state of another proxy, as this one knows it. All times but `ahead_us` are by this proxy's clock.

    `incarnation`: 0 before the handshake and after a failure. `ahead_us`: a lower bound of how far its clock is ahead
    of this proxy's; read at `clock_read_us`. `avoid_until_us`: until when it is avoided after failures or silence;
    `draining_until_us`: because it drains. `failures`: consecutive requests without a response. `unanswered`: the
    number of pending requests. `silent_since_us`: since when none of them was answered; 0 without pending requests.
    """

    incarnation: int = 0
    ahead_us: int = 0
    clock_read_us: int = 0
    avoid_until_us: int = 0
    draining_until_us: int = 0
    failures: int = 0
    unanswered: int = 0
    silent_since_us: int = 0

    def is_avoided(self, *, now_us: int) -> bool:
        """Whether other proxies are preferred at this time."""
        return max(self.avoid_until_us, self.draining_until_us) > now_us


class Forwarder:
    """Owns the state of other proxies and the transactions that are open at them.

    Each request is sent at most once, with a deadline after which the other proxy sends nothing to the backend.
    `transactions`: the links with an open transaction, by its number. `last_number`: the last number assigned.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.peers: dict[str, PeerState] = {}
        self.transactions: dict[int, ForwardedLink] = {}
        self.last_number = 0
        self.kept_alive_us = 0

    def peer(self, *, address: str) -> PeerState:
        """The state of the proxy at an address; created on first use."""
        return self.peers.setdefault(address, PeerState())

    def _order(self, *, peer_proxies: tuple[PeerProxy, ...]) -> list[PeerProxy]:
        """Orders proxies: avoided ones last, then by distance, pending requests and at random."""
        now_us = self.ctx.now_us()

        def cost(peer_proxy: PeerProxy) -> tuple[bool, int, int, float]:
            peer = self.peer(address=peer_proxy.address)
            return peer.is_avoided(now_us=now_us), peer_proxy.distance, peer.unanswered, self.ctx.rng.random()

        return sorted(peer_proxies, key=cost)

    async def link(
        self,
        *,
        peer_proxies: tuple[PeerProxy, ...],
        backend: str,
        service: str,
        database: str,
        rank: int,
        until_us: int,
    ) -> Result[ForwardedLink, CinderstairError]:
        """A link that forwards to another proxy. At most a handshake is sent before its first statement.

        :param until_us: the deadline, by this proxy's clock, after which nothing may be sent to the backend.
        Errors: NO_BACKEND where none of the MAX_PROXIES_TRIED preferred proxies is usable.
        """
        for peer_proxy in self._order(peer_proxies=peer_proxies)[:MAX_PROXIES_TRIED]:
            peer = self.peer(address=peer_proxy.address)
            if not peer.incarnation or self.ctx.now_us() - peer.clock_read_us > CLOCK_VALID_US:
                await self._handshake(address=peer_proxy.address, until_us=until_us)
            if not peer.incarnation or peer.is_avoided(now_us=self.ctx.now_us()):
                continue
            self.last_number += 1
            base = ForwardRequest(
                requester=self.ctx.name,
                step=ForwardStep.single,
                connection=self.last_number,
                backend=backend,
                service=service,
                database=database,
                rank=rank,
            )
            limit_us = max(1, until_us - self.ctx.now_us())
            return Ok(ForwardedLink(forwarder=self, address=peer_proxy.address, base=base, limit_us=limit_us))
        return Error(
            CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"none of the proxies with links to {backend} answers")
        )

    async def _handshake(self, *, address: str, until_us: int) -> None:
        """Reads the other proxy's clock and incarnation."""
        wait_us = min(HANDSHAKE_WAIT_US, until_us - self.ctx.now_us())
        request = ForwardRequest(requester=self.ctx.name, step=ForwardStep.hello)
        await self._exchange(address=address, request=request, wait_us=max(1, wait_us))

    async def request(
        self, *, address: str, request: ForwardRequest, limit_us: int
    ) -> Result[ForwardResponse, CinderstairError]:
        """Sends a request and waits for its response.

        :param limit_us: how long from now the statement may be sent to the backend.
        Errors: REQUEST_NOT_SENT where nothing was sent at all, NO_RESPONSE where the outcome is unknown.
        """
        peer = self.peer(address=address)
        if not peer.incarnation:
            return Error(CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=f"{address}: no handshake yet"))
        # Its clock is ahead by at least `ahead_us`, so the deadline by its clock is never later than by this proxy's.
        until_us = self.ctx.now_us() + limit_us + peer.ahead_us - CLOCK_MARGIN_US
        stamped = replace(request, incarnation=peer.incarnation, until_us=max(0, until_us))
        self.ctx.counters.add(name="forward.asked")
        return await self._exchange(address=address, request=stamped, wait_us=limit_us + RESPONSE_TRAVEL_US)

    async def _exchange(
        self, *, address: str, request: ForwardRequest, wait_us: int
    ) -> Result[ForwardResponse, CinderstairError]:
        peer, requested_us = self.peer(address=address), self.ctx.now_us()
        body = Packer().u8(value=MessageType.FORWARD).bytes() + request.bytes()
        peer.silent_since_us = peer.silent_since_us or requested_us
        peer.unanswered += 1
        try:
            result = await self.ctx.net.request(address=address, body=body, wait_us=wait_us)
        finally:
            peer.unanswered -= 1
            if not peer.unanswered:
                peer.silent_since_us = 0
        if result.is_error():
            self.ctx.counters.add(name="forward.unanswered")
            self.record_failure(address=address)
            return Error(result.error)
        try:
            response = read_forward_response(data=result.ok)
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return Error(
                CinderstairError(
                    code=ErrorCode.NO_RESPONSE, reason=f"{address}: malformed response to a forwarded request"
                )
            )
        self._record_response(peer=peer, response=response)
        return Ok(response)

    def _record_response(self, *, peer: PeerState, response: ForwardResponse) -> None:
        now_us = self.ctx.now_us()
        peer.silent_since_us = now_us if peer.unanswered else 0
        # Its clock showed `response.now_us` before the response arrived, so this is a lower bound.
        ahead_us = response.now_us - now_us
        outdated = now_us - peer.clock_read_us > CLOCK_VALID_US // 2
        if response.incarnation != peer.incarnation or outdated or ahead_us > peer.ahead_us:
            peer.incarnation, peer.ahead_us, peer.clock_read_us = response.incarnation, ahead_us, now_us
        peer.failures, peer.avoid_until_us = 0, 0
        if response.reply.fault == ErrorCode.DRAINING:
            peer.draining_until_us = now_us + DRAINING_AVOID_US

    def record_failure(self, *, address: str) -> None:
        """Records a request without a response: the proxy is avoided for a time that doubles with each failure."""
        peer = self.peer(address=address)
        # It may have restarted with another clock, so the next request needs a handshake.
        peer.incarnation = 0
        # Without the doubling, a proxy that stays down would delay a statement each time it is tried again.
        avoid_us = min(MAX_AVOID_US, MIN_AVOID_US << min(peer.failures, MAX_AVOID_DOUBLINGS))
        peer.avoid_until_us = self.ctx.now_us() + avoid_us
        peer.failures += 1

    def on_timer(self) -> None:
        """Avoids proxies that have been silent for SILENCE_US, and sends keep-alives for open transactions."""
        now_us = self.ctx.now_us()
        for peer in self.peers.values():
            if peer.unanswered and peer.silent_since_us and now_us - peer.silent_since_us > SILENCE_US:
                peer.avoid_until_us = max(peer.avoid_until_us, now_us + MIN_AVOID_US)
        if now_us - self.kept_alive_us < KEEP_ALIVE_INTERVAL_US or not self.transactions:
            return
        self.kept_alive_us = now_us
        by_address: dict[str, list[int]] = {}
        for number, link in self.transactions.items():
            by_address.setdefault(link.address, []).append(number)
        for address, numbers in by_address.items():
            self.ctx.spawn(work=self._keep_alive(address=address, numbers=tuple(numbers)), name="forward.keep")

    async def _keep_alive(self, *, address: str, numbers: tuple[int, ...]) -> None:
        request = ForwardRequest(requester=self.ctx.name, step=ForwardStep.keep, connections=numbers)
        result = await self.request(address=address, request=request, limit_us=KEEP_ALIVE_WAIT_US)
        if result.is_error():
            return
        for number in result.ok.unknown:
            link = self.transactions.get(number)
            # The other proxy may not have processed the begin of a transaction yet.
            if link is not None and not link.waiting:
                link.mark_lost()
