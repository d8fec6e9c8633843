"""Forwards statements to proxies that have links to a backend, where this one has none."""

from dataclasses import dataclass, replace
from typing import NamedTuple

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .forward_record import ForwardAnswer, ForwardQuestion, ForwardStep, read_forward_answer
from .forwarded_link import ForwardedLink

HANDSHAKE_WAIT_US = 250_000
MAX_PROXIES_TRIED = 3
# Two clocks drift apart by far less than CLOCK_MARGIN_US in this time.
CLOCK_VALID_US = 10_000_000
CLOCK_MARGIN_US = 3_000
MIN_AVOID_US = 1_000_000
MAX_AVOID_US = 8_000_000
# Bounds the shift of the time for which a proxy is avoided; the maximum is reached by then.
MAX_AVOID_DOUBLINGS = 3
DRAINING_AVOID_US = 10_000_000
SILENCE_US = 400_000
KEEP_ALIVE_INTERVAL_US = 700_000
KEEP_ALIVE_WAIT_US = 500_000
# The answer travels after the other proxy's time limit.
ANSWER_TRAVEL_US = 20_000


class PeerProxy(NamedTuple):
    """Another proxy that has links to a backend, and its distance; smaller is nearer."""

    distance: int
    name: str
    address: str


@dataclass(kw_only=True)
class PeerState:
    """What is known of another proxy. All times but `ahead_us` are moments by this proxy's clock.

    `life`: the number of its present run; 0 before the handshake. `ahead_us`: its clock is ahead of this proxy's by
    at least this. `unanswered`: how many questions wait for its answer; since `silent_since_us` it has answered none
    (0: none waits). It is avoided until `avoid_until_us`, and until `draining_until_us` since it drains.
    """

    life: int = 0
    ahead_us: int = 0
    clock_read_us: int = 0
    avoid_until_us: int = 0
    draining_until_us: int = 0
    failures: int = 0
    unanswered: int = 0
    silent_since_us: int = 0

    def avoided(self, *, now_us: int) -> bool:
        """Whether other proxies should be preferred now."""
        return max(self.avoid_until_us, self.draining_until_us) > now_us


class Forwarder:
    """Each question is sent once. Nothing of it reaches a backend after the time that this proxy set.

    `transactions`: the links on which a transaction is open at another proxy, by its number.
    """

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.peers: dict[str, PeerState] = {}
        self.transactions: dict[int, ForwardedLink] = {}
        self.last_number = 0
        self.kept_alive_us = 0

    def peer(self, *, address: str) -> PeerState:
        """What is known of the proxy at an address."""
        return self.peers.setdefault(address, PeerState())

    def _order(self, *, peer_proxies: tuple[PeerProxy, ...]) -> list[PeerProxy]:
        """Nearest first; those that did not answer lately or are draining last."""
        now_us = self.ctx.now_us()

        def cost(peer_proxy: PeerProxy) -> tuple[bool, int, int, float]:
            peer = self.peer(address=peer_proxy.address)
            return peer.avoided(now_us=now_us), peer_proxy.distance, peer.unanswered, self.ctx.rng.random()

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
        """A link that forwards to another proxy; that proxy hears nothing of it before its first statement.

        :param until_us: the moment, by this proxy's clock, after which nothing may reach the backend.
        Errors: NO_BACKEND where no proxy answers.
        """
        for peer_proxy in self._order(peer_proxies=peer_proxies)[:MAX_PROXIES_TRIED]:
            peer = self.peer(address=peer_proxy.address)
            if not peer.life or self.ctx.now_us() - peer.clock_read_us > CLOCK_VALID_US:
                await self._handshake(address=peer_proxy.address, until_us=until_us)
            if not peer.life or peer.avoided(now_us=self.ctx.now_us()):
                continue
            self.last_number += 1
            base = ForwardQuestion(
                asker=self.ctx.name,
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
            CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"no proxy that holds links to {backend} answers")
        )

    async def _handshake(self, *, address: str, until_us: int) -> None:
        """Reads the other proxy's clock and the number of its run."""
        wait_us = min(HANDSHAKE_WAIT_US, until_us - self.ctx.now_us())
        question = ForwardQuestion(asker=self.ctx.name, step=ForwardStep.hello)
        await self._ask(address=address, question=question, wait_us=max(1, wait_us))

    async def ask(
        self, *, address: str, question: ForwardQuestion, limit_us: int
    ) -> Result[ForwardAnswer, CinderstairError]:
        """Sends a question.

        :param limit_us: for how long from now on anything may reach the backend.
        Errors: REQUEST_NOT_SENT where nothing was sent at all, NO_RESPONSE where that is unknown.
        """
        peer = self.peer(address=address)
        if not peer.life:
            return Error(CinderstairError(code=ErrorCode.REQUEST_NOT_SENT, reason=f"{address}: not in touch"))
        # Its clock is ahead by at least `ahead_us`, so by its clock the limit ends no later than by this proxy's.
        until_us = self.ctx.now_us() + limit_us + peer.ahead_us - CLOCK_MARGIN_US
        stamped = replace(question, life=peer.life, until_us=max(0, until_us))
        self.ctx.counters.add(name="forward.asked")
        return await self._ask(address=address, question=stamped, wait_us=limit_us + ANSWER_TRAVEL_US)

    async def _ask(
        self, *, address: str, question: ForwardQuestion, wait_us: int
    ) -> Result[ForwardAnswer, CinderstairError]:
        peer, requested_us = self.peer(address=address), self.ctx.now_us()
        body = Packer().u8(value=MessageType.FORWARD).bytes() + question.bytes()
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
            self.lost(address=address)
            return Error(result.error)
        try:
            answer = read_forward_answer(data=result.ok)
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason=f"{address}: no answer of a forward"))
        self._record_answer(peer=peer, answer=answer)
        return Ok(answer)

    def _record_answer(self, *, peer: PeerState, answer: ForwardAnswer) -> None:
        now_us = self.ctx.now_us()
        peer.silent_since_us = now_us if peer.unanswered else 0
        # Its clock showed `answer.now_us` before the answer arrived here, so it is ahead by no less than this.
        ahead_us = answer.now_us - now_us
        outdated = now_us - peer.clock_read_us > CLOCK_VALID_US // 2
        if answer.life != peer.life or outdated or ahead_us > peer.ahead_us:
            peer.life, peer.ahead_us, peer.clock_read_us = answer.life, ahead_us, now_us
        peer.failures, peer.avoid_until_us = 0, 0
        if answer.reply.fault == ErrorCode.DRAINING:
            peer.draining_until_us = now_us + DRAINING_AVOID_US

    def lost(self, *, address: str) -> None:
        """Notes that a proxy gave no answer."""
        peer = self.peer(address=address)
        # It may have restarted, with another clock, so a handshake precedes the next question.
        peer.life = 0
        # A proxy that is gone for long must not cost each statement a wait again and again.
        avoid_us = min(MAX_AVOID_US, MIN_AVOID_US << min(peer.failures, MAX_AVOID_DOUBLINGS))
        peer.avoid_until_us = self.ctx.now_us() + avoid_us
        peer.failures += 1

    def on_timer(self) -> None:
        """Avoids proxies that are silent, and keeps idle transactions alive at the others."""
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
        question = ForwardQuestion(asker=self.ctx.name, step=ForwardStep.keep, connections=numbers)
        result = await self.ask(address=address, question=question, limit_us=KEEP_ALIVE_WAIT_US)
        if result.is_error():
            return
        for number in result.ok.unknown:
            link = self.transactions.get(number)
            # A transaction that is just being begun is not known there yet.
            if link is not None and not link.waiting:
                link.lose()
