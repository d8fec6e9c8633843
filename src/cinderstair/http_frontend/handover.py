"""Hands sessions over to other HTTP proxies when this one drains, and locates sessions that are not here."""

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
# HTTP proxies that a session is offered to, and attempts at each
MAX_ATTEMPTS = 3
# sessions handed over concurrently
MAX_CONCURRENT = 16
# replies: not here; open here; held here as a replica
NO, YES, REPLICA = 0, 1, 2
# handed-over sessions whose new proxy is remembered
MAX_REMEMBERED = 60_000
# a client that returns sooner did not find its session at the proxy that it was referred to
REFERRAL_RETRY_US = 3_000_000


@dataclass(frozen=True, kw_only=True)
class SearchResult:
    """The result of a search: the address of the proxy that has the session, or the session, or neither.

    `incomplete`: some proxies that may have the session have not answered.
    """

    address: str = ""
    session: Session | None = None
    incomplete: bool = False


class Handover:
    """Moves sessions between HTTP proxies and remembers where they went.

    A session is marked busy here before it is offered, so that only one proxy at a time runs its requests.
    """

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
        # HTTP address of the new proxy by session id, for clients that return here
        self.forwarding_addresses: dict[str, str] = {}
        self.last_referral_us: dict[str, int] = {}
        dispatcher.add_handler(message_type=MessageType.HANDOVER, handler=self._on_handover)
        dispatcher.add_handler(message_type=MessageType.SEEK, handler=self._on_seek)

    async def _on_handover(self, unpacker: Unpacker) -> bytes:
        session = read_session(unpacker=unpacker, now_us=self.ctx.now_us())
        unpacker.done()
        # the offer is repeated where its reply was lost; the session is here already
        known = self.sessions.find(ident=session.ident)
        if known is not None and known.tag.revision >= session.tag.revision:
            return Packer().u8(value=YES).bytes()
        if self.ready.unready() is not None:
            return Packer().u8(value=NO).bytes()
        # daemons of protocol version 1 change a session's state without changing its tag
        if unpacker.version == 1 and session.tag != UNMARKED:
            session.previous_tag, session.tag = session.tag, session.next_tag(rng=self.ctx.rng)
        self.forwarding_addresses.pop(session.ident, None)
        self.session_replicas.take(ident=session.ident)
        self.sessions.open[session.ident] = session
        self.ctx.counters.add(name="sessions.taken")
        # the offering proxy may exit as soon as it gets the reply, so a replica is needed before
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
        """Whether a session or a replica held here has the state that the client's handle names."""
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
        """Offers every idle session to other proxies; returns how many sessions are still here."""
        idle = [s for s in self.sessions.open.values() if not s.busy and s.transaction is None]
        for start in range(0, len(idle), MAX_CONCURRENT):
            await asyncio.gather(*(self._hand_over(session=each) for each in idle[start : start + MAX_CONCURRENT]))
        return len(self.sessions.open)

    async def _hand_over(self, *, session: Session) -> None:
        # it may have become busy or been handed over while others were
        if session.busy or session.transaction is not None or session.ident not in self.sessions.open:
            return
        # blocks requests of this session while it is offered
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
        # drops the oldest entry, so that memory stays bounded
        if len(self.forwarding_addresses) > MAX_REMEMBERED:
            oldest = next(iter(self.forwarding_addresses))
            del self.forwarding_addresses[oldest]
            self.last_referral_us.pop(oldest, None)

    async def find(self, *, handle: SessionToken) -> SearchResult:
        """Locates a session that is not open here; takes it over from a replica held here if no proxy has it."""
        members = self.membership.alive(role="stall")
        known = self.forwarding_addresses.get(handle.ident)
        last_referral_us = self.last_referral_us.pop(handle.ident, -REFERRAL_RETRY_US)
        # refers the client once; if it returns within REFERRAL_RETRY_US, all proxies are asked instead
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
        # a concurrent request of the same session may have taken it over meanwhile
        live = self.sessions.find(ident=handle.ident)
        if live is not None and live.accepts(tag=handle.tag):
            return SearchResult(session=live)
        for wanted in (YES, REPLICA):
            # an open session elsewhere comes first; among replicas the one held here
            if wanted == REPLICA and self._match(handle=handle) == REPLICA:
                return SearchResult(session=await self._take_over(handle=handle))
            for member, result in answers.items():
                if result.is_ok() and result.ok == bytes([wanted]):
                    return SearchResult(address=member.http)
        # protocol version 1 has no replicas, so a reply at an uncertain version does not rule one out
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
        # the former proxy may only be paused or cut off and still have this state; with a new tag, later states of
        # the two can't be mistaken for each other
        session.previous_tag, session.tag = handle.tag, session.next_tag(rng=self.ctx.rng)
        session.replica_holder, session.taken_over_us, session.used_us = "", self.ctx.now_us(), self.ctx.now_us()
        self.sessions.open[session.ident] = session
        self.ctx.counters.add(name="sessions.takenOver")
        self.session_replicator.forget(
            session=replace(session, tag=older), members=self.membership.alive(role="stall")
        )
        await self.session_replicator.replicate(session=session, until_us=self.ctx.now_us() + OFFER_WAIT_US)
        return session
