"""Hands sessions over to another HTTP proxy when this one stops or drains, and finds those handed over."""

import asyncio
from dataclasses import dataclass, replace

from ..membership.member import Member
from ..membership.membership import Membership
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.peer_client import RequestBody
from ..runtime.unpacker import Unpacker
from .filters.ready_filter import ReadyFilter
from .session import Session, read_session
from .session_replicas import SessionReplicas
from .session_replicator import SessionReplicator
from .session_token import UNMARKED, SessionToken, Tag, parse_session_token
from .sessions import Sessions

OFFER_WAIT_US = 600_000
SEEK_WAIT_US = 400_000
# HTTP proxies that a session is offered to, and how often to each
MAX_ATTEMPTS = 3
# sessions that are handed over at the same time
MAX_CONCURRENT = 16
# answers: not here; here and in service; here as a replica
NO, YES, REPLICA = 0, 1, 2
# sessions whose new proxy is remembered
MAX_REMEMBERED = 60_000
# a client that is back sooner hasn't found its session at the proxy that it was referred to
REFERRAL_RETRY_US = 3_000_000


@dataclass(frozen=True, kw_only=True)
class SearchResult:
    """The result of a search: the address of the proxy that has the session, or the session, or neither.

    `unsure`: some proxies that may have it have not answered.
    """

    address: str = ""
    session: Session | None = None
    incomplete: bool = False


class Handover:
    """A session is taken out of service here before it is offered, so that one proxy at a time runs its requests."""

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        membership: Membership,
        sessions: Sessions,
        ready: ReadyFilter,
        session_replicas: SessionReplicas,
        session_replicator: SessionReplicator,
    ) -> None:
        self.ctx = ctx
        self.session_replicas = session_replicas
        self.session_replicator = session_replicator
        self.membership = membership
        self.sessions = sessions
        self.ready = ready
        # by session: the address of the HTTP proxy it was handed to, for clients that come back here
        self.forwarding_addresses: dict[str, str] = {}
        self.last_referral_us: dict[str, int] = {}
        dispatcher.add_handler(message_type=MessageType.HANDOVER, handler=self._on_handover)
        dispatcher.add_handler(message_type=MessageType.SEEK, handler=self._on_seek)

    async def _on_handover(self, unpacker: Unpacker) -> bytes:
        session = read_session(unpacker=unpacker, now_us=self.ctx.now_us())
        unpacker.done()
        # an offer that is repeated because its answer was lost finds the session here already
        known = self.sessions.find(ident=session.ident)
        if known is not None and known.tag.revision >= session.tag.revision:
            return Packer().u8(value=YES).bytes()
        if self.ready.unready() is not None:
            return Packer().u8(value=NO).bytes()
        # a daemon of the first version changes what a session keeps without changing the handle
        if unpacker.version == 1 and session.tag != UNMARKED:
            session.previous_tag, session.tag = session.tag, session.next_tag(rng=self.ctx.rng)
        self.forwarding_addresses.pop(session.ident, None)
        self.session_replicas.take(ident=session.ident)
        self.sessions.open[session.ident] = session
        self.ctx.counters.add(name="sessions.taken")
        # the proxy that hands it over may end as soon as this one has answered
        await self.session_replicator.replicate(session=session, until_us=self.ctx.now_us() + OFFER_WAIT_US)
        return Packer().u8(value=YES).bytes()

    async def _on_seek(self, unpacker: Unpacker) -> bytes:
        if unpacker.version == 1:
            handle = parse_session_token(text=unpacker.text())
        else:
            handle = SessionToken(unpacker.text(), Tag(unpacker.u64(), unpacker.text()))
        unpacker.done()
        return Packer().u8(value=self._match(handle=handle, session_replicas=unpacker.version > 1)).bytes()

    def _match(self, *, handle: SessionToken, session_replicas: bool = True) -> int:
        """Whether what is here, alive or as a copy, is what the client was promised."""
        live = self.sessions.find(ident=handle.ident)
        if live is not None and live.accepts(tag=handle.tag):
            return YES
        held = self.session_replicas.held.get(handle.ident)
        return REPLICA if session_replicas and held is not None and held.session.accepts(tag=handle.tag) else NO

    def _targets(self) -> list[Member]:
        """Other HTTP proxies, those of the same site first."""
        others = self.membership.alive(role="stall")
        self.ctx.rng.shuffle(others)
        return sorted(others, key=lambda member: member.site != self.ctx.site)

    async def hand_over_all(self) -> int:
        """Hands over every idle session; returns how many are still here."""
        idle = [s for s in self.sessions.open.values() if not s.busy and s.transaction is None]
        for start in range(0, len(idle), MAX_CONCURRENT):
            await asyncio.gather(*(self._hand_over(session=each) for each in idle[start : start + MAX_CONCURRENT]))
        return len(self.sessions.open)

    async def _hand_over(self, *, session: Session) -> None:
        # while others were handed over it may have become busy, or been handed over already
        if session.busy or session.transaction is not None or session.ident not in self.sessions.open:
            return
        # from here on no job of it is run here, whatever becomes of the offer
        session.busy = True

        def body(version: int) -> bytes:
            packer = Packer().u8(value=MessageType.HANDOVER)
            return session.write(packer=packer, version=version, now_us=self.ctx.now_us()).bytes()

        for target in self._targets()[:MAX_ATTEMPTS]:
            if await self._offer(target=target, body=body):
                self.sessions.open.pop(session.ident, None)
                self._remember(ident=session.ident, http=target.http)
                replica_holders = [
                    m for m in self._targets() if m.name == session.replica_holder and m.name != target.name
                ]
                self.session_replicator.forget(session=session, members=replica_holders, own_only=True)
                self.ctx.counters.add(name="sessions.handed")
                return
        session.busy = False

    async def _offer(self, *, target: Member, body: RequestBody) -> bool:
        for _ in range(MAX_ATTEMPTS):
            result = await self.ctx.peer_client.request(address=target.records, body=body, wait_us=OFFER_WAIT_US)
            if result.is_ok():
                return result.ok == bytes([YES])
        return False

    def _remember(self, *, ident: str, http: str) -> None:
        self.forwarding_addresses[ident] = http
        # an HTTP proxy that runs for long hands on more sessions than it needs to remember
        if len(self.forwarding_addresses) > MAX_REMEMBERED:
            oldest = next(iter(self.forwarding_addresses))
            del self.forwarding_addresses[oldest]
            self.last_referral_us.pop(oldest, None)

    async def find(self, *, handle: SessionToken) -> SearchResult:
        """A session that isn't alive here: where it is, or taken over from its copy, or not found."""
        members = self.membership.alive(role="stall")
        known = self.forwarding_addresses.get(handle.ident)
        last_referral_us = self.last_referral_us.pop(handle.ident, -REFERRAL_RETRY_US)
        # a client that is back so soon has not found it there, so all proxies are asked
        if known in [member.http for member in members] and self.ctx.now_us() - last_referral_us > REFERRAL_RETRY_US:
            self.last_referral_us[handle.ident] = self.ctx.now_us()
            return SearchResult(address=str(known))

        def body(version: int) -> bytes:
            packer = Packer().u8(value=MessageType.SEEK)
            if version == 1:
                return packer.text(value=str(handle)).bytes()
            return packer.text(value=handle.ident).u64(value=handle.tag.revision).text(value=handle.tag.mark).bytes()

        searches = [
            self.ctx.peer_client.request(address=member.records, body=body, wait_us=SEEK_WAIT_US)
            for member in members
        ]
        answers = dict(zip(members, await asyncio.gather(*searches), strict=True))
        # another job of the same session may have taken it over while this one was asking
        live = self.sessions.find(ident=handle.ident)
        if live is not None and live.accepts(tag=handle.tag):
            return SearchResult(session=live)
        for wanted in (YES, REPLICA):
            # what is alive elsewhere stays there; of copies our own is the nearest
            if wanted == REPLICA and self._match(handle=handle) == REPLICA:
                return SearchResult(session=await self._take_over(handle=handle))
            for member, result in answers.items():
                if result.is_ok() and result.ok == bytes([wanted]):
                    return SearchResult(address=member.http)
        # the first version of the protocol has no replicas
        return SearchResult(
            incomplete=any(
                result.is_error() or self.ctx.peer_client.is_version_uncertain(address=member.records)
                for member, result in answers.items()
            )
        )

    async def _take_over(self, *, handle: SessionToken) -> Session:
        session = self.session_replicas.take(ident=handle.ident)
        if session is None:
            raise LookupError(f"no replica of session {handle.ident}")
        older = session.tag
        # an HTTP proxy that was only frozen or cut off has the state that the client came with; under a new tag
        # nothing that either does can be taken for the other's
        session.previous_tag, session.tag = handle.tag, session.next_tag(rng=self.ctx.rng)
        session.replica_holder, session.taken_over_us, session.used_us = "", self.ctx.now_us(), self.ctx.now_us()
        self.sessions.open[session.ident] = session
        self.ctx.counters.add(name="sessions.takenOver")
        self.session_replicator.forget(
            session=replace(session, tag=older), members=self.membership.alive(role="stall")
        )
        await self.session_replicator.replicate(session=session, until_us=self.ctx.now_us() + OFFER_WAIT_US)
        return session
