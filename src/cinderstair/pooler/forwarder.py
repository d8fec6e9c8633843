"""Passes statements on to proxies that hold links to a backend, where this one holds none."""

from dataclasses import dataclass, replace
from typing import NamedTuple

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .forward_record import ForwardAnswer, ForwardQuestion, ForwardStep, read_forward_answer
from .forwarded_link import ForwardedLink

JOIN_REQUEST_WAIT_US = 250_000
# why: what is in the answerer's clock may have drifted from ours since; so little that this is far more
CLOCK_FOR_US = 10_000_000
CLOCK_MARGIN_US = 3_000
AWAY_US, AWAY_MOST_US = 1_000_000, 8_000_000
LEAVING_US = 10_000_000
SILENT_US = 400_000
KEEP_EVERY_US = 700_000
KEEP_WAIT_US = 500_000
ANSWER_US = 20_000


class Holder(NamedTuple):
    """A proxy that holds links, and how near it is."""

    near: int
    name: str
    address: str


@dataclass(kw_only=True)
class Peer:
    """What is known of a holder. `ahead_us`: its clock is ahead of ours by this at the least."""

    life: int = 0
    ahead_us: int = 0
    heard_us: int = 0
    away_until_us: int = 0
    leaving_until_us: int = 0
    failures: int = 0
    under_way: int = 0
    silent_since_us: int = 0

    def away(self, *, now_us: int) -> bool:
        return max(self.away_until_us, self.leaving_until_us) > now_us


class Forwarder:
    """Each question is sent once. Nothing of it reaches a backend after the time that the asker gave."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.peers: dict[str, Peer] = {}
        self.connections: dict[int, ForwardedLink] = {}
        self.number = 0
        self.kept_us = 0

    def peer(self, *, address: str) -> Peer:
        return self.peers.setdefault(address, Peer())

    def _order(self, *, holders: tuple[Holder, ...]) -> list[Holder]:
        """Nearest first; those that lately did not answer or are leaving last."""
        now_us = self.ctx.now_us()

        def cost(holder: Holder) -> tuple[bool, int, int, float]:
            peer = self.peer(address=holder.address)
            return peer.away(now_us=now_us), holder.near, peer.under_way, self.ctx.rng.random()

        return sorted(holders, key=cost)

    async def link(
        self, *, holders: tuple[Holder, ...], backend: str, service: str, database: str, rank: int, until_us: int
    ) -> Result[ForwardedLink, CinderstairError]:
        """A link that stands in for one of a holder's; nothing is asked of the holder for it yet."""
        for holder in self._order(holders=holders)[:3]:
            peer = self.peer(address=holder.address)
            if not peer.life or self.ctx.now_us() - peer.heard_us > CLOCK_FOR_US:
                await self._handshake(holder=holder, until_us=until_us)
            if peer.life and not peer.away(now_us=self.ctx.now_us()):
                self.number += 1
                base = ForwardQuestion(
                    asker=self.ctx.name,
                    step=ForwardStep.single,
                    connection=self.number,
                    backend=backend,
                    service=service,
                    database=database,
                    rank=rank,
                )
                limit_us = max(1, until_us - self.ctx.now_us())
                return Ok(ForwardedLink(forwarder=self, address=holder.address, base=base, limit_us=limit_us))
        return Error(
            CinderstairError(code=ErrorCode.NO_BACKEND, reason=f"no proxy that holds links to {backend} answers")
        )

    async def _handshake(self, *, holder: Holder, until_us: int) -> None:
        wait_us = min(JOIN_REQUEST_WAIT_US, until_us - self.ctx.now_us())
        question = ForwardQuestion(asker=self.ctx.name, step=ForwardStep.hello)
        await self._ask(address=holder.address, question=question, wait_us=max(1, wait_us))

    async def ask(
        self, *, address: str, question: ForwardQuestion, limit_us: int
    ) -> Result[ForwardAnswer, CinderstairError]:
        """Errors: wireUnsent where nothing was sent at all, wireUnsure where nobody knows."""
        peer = self.peer(address=address)
        if not peer.life:
            return Error(CinderstairError(code=ErrorCode.WIRE_UNSENT, reason=f"{address}: not in touch"))
        # why: its clock was ahead by this at the least, so by its clock the time is up no later than by ours
        until_us = self.ctx.now_us() + limit_us + peer.ahead_us - CLOCK_MARGIN_US
        stamped = replace(question, life=peer.life, until_us=max(0, until_us))
        self.ctx.counters.add(name="forward.asked")
        return await self._ask(address=address, question=stamped, wait_us=limit_us + ANSWER_US)

    async def _ask(
        self, *, address: str, question: ForwardQuestion, wait_us: int
    ) -> Result[ForwardAnswer, CinderstairError]:
        peer, requested_us = self.peer(address=address), self.ctx.now_us()
        body = Packer().u8(value=MessageType.FORWARD).bytes() + question.bytes()
        peer.silent_since_us = peer.silent_since_us or requested_us
        peer.under_way += 1
        try:
            result = await self.ctx.net.request(address=address, body=body, wait_us=wait_us)
        finally:
            peer.under_way -= 1
            if not peer.under_way:
                peer.silent_since_us = 0
        if result.is_error():
            self.ctx.counters.add(name="forward.unanswered")
            self.lost(address=address)
            return Error(result.error)
        try:
            answer = read_forward_answer(data=result.ok)
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return Error(CinderstairError(code=ErrorCode.WIRE_UNSURE, reason=f"{address}: no answer of a forward"))
        self._heard(peer=peer, answer=answer)
        return Ok(answer)

    def _heard(self, *, peer: Peer, answer: ForwardAnswer) -> None:
        now_us = self.ctx.now_us()
        peer.silent_since_us = now_us if peer.under_way else 0
        # why: its clock stood there before the answer reached us, so it is ahead by no less than this
        ahead_us = answer.now_us - now_us
        if answer.life != peer.life or now_us - peer.heard_us > CLOCK_FOR_US // 2 or ahead_us > peer.ahead_us:
            peer.life, peer.ahead_us, peer.heard_us = answer.life, ahead_us, now_us
        peer.failures, peer.away_until_us = 0, 0
        if answer.reply.fault == ErrorCode.DRAINING:
            peer.leaving_until_us = now_us + LEAVING_US

    def lost(self, *, address: str) -> None:
        peer = self.peer(address=address)
        # why: it may have begun anew, with another clock, so it is greeted before it is asked anything
        peer.life = 0
        # why: one that is gone for long must not cost each asker a wait again and again
        peer.away_until_us = self.ctx.now_us() + min(AWAY_MOST_US, AWAY_US << min(peer.failures, 3))
        peer.failures += 1

    def tend(self) -> None:
        """Now and then: holders that are silent are gone round; transactions that rest are kept."""
        now_us = self.ctx.now_us()
        for peer in self.peers.values():
            if peer.under_way and peer.silent_since_us and now_us - peer.silent_since_us > SILENT_US:
                peer.away_until_us = max(peer.away_until_us, now_us + AWAY_US)
        if now_us - self.kept_us < KEEP_EVERY_US or not self.connections:
            return
        self.kept_us = now_us
        by_address: dict[str, list[int]] = {}
        for number, link in self.connections.items():
            by_address.setdefault(link.address, []).append(number)
        for address, numbers in by_address.items():
            self.ctx.spawn(work=self._keep(address=address, numbers=tuple(numbers)), name="forward.keep")

    async def _keep(self, *, address: str, numbers: tuple[int, ...]) -> None:
        question = ForwardQuestion(asker=self.ctx.name, step=ForwardStep.keep, connections=numbers)
        result = await self.ask(address=address, question=question, limit_us=KEEP_WAIT_US)
        if result.is_ok():
            for number in result.ok.unknown:
                link = self.connections.get(number)
                # why: one that is just being opened is not known there yet
                if link is not None and not link.waiting:
                    link.lose()
