"""Replicates the state of this HTTP proxy's sessions to a second HTTP proxy."""

import asyncio
import zlib

from ..membership.member import Member, Standing
from ..membership.membership import Membership
from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .session import Session
from .session_replicas import ANY_OWNER
from .sessions import Sessions

REPLICA_WAIT_US = 300_000
TOUCH_EVERY_US = 1_000_000
TOUCH_WAIT_US = 500_000
# HTTP proxies that hold this one's replicas: few, so that touches don't grow with the fleet, and enough to spread
# a lost proxy's clients
SECONDARIES = 3
# sessions without a replica that are replicated again at a time
MAX_REPAIRS_PER_ROUND = 64
# an HTTP proxy that has refused a replica is tried last for so long
REFUSAL_BACKOFF_US = 3_000_000
# the first version of the protocol that has replicas
REPLICA_VERSION = 2
# the answer that a replica is held
YES = 1


class SessionReplicator(CommandQueueMixin):
    """A change of a session is answered once its replica is held; without a second HTTP proxy, the answer says so."""

    def __init__(self, *, ctx: Context, membership: Membership, sessions: Sessions) -> None:
        self.ctx = ctx
        self.membership = membership
        self.sessions = sessions
        # identifies this run of the process: one that was restarted has none of its former sessions
        self.run_id = ctx.rng.getrandbits(62) | 1
        self.touched_members: set[str] = set()
        self.last_refusal_us: dict[str, int] = {}
        self.number = 0
        self.in_flight: set[int] = set()
        sessions.closed.subscribe(lambda session: self._on_closed(session=session))
        self.open_queue()
        self.every(every_us=TOUCH_EVERY_US, command=self._touch, name="touch")

    def _secondaries(self) -> list[Member]:
        """Those that may hold copies, other sites first, each HTTP proxy's own order of them."""
        compatible = [
            member
            for member in self.membership.alive(role="stall")
            if self.ctx.peer_client.version(address=member.records) >= REPLICA_VERSION
        ]

        now_us = self.ctx.now_us()

        def order(member: Member) -> tuple[bool, bool, bool, int]:
            refused = now_us - self.last_refusal_us.get(member.name, -REFUSAL_BACKOFF_US) < REFUSAL_BACKOFF_US
            doubtful, near = member.standing != Standing.alive, member.site == self.ctx.site
            return refused, doubtful, near, zlib.crc32(f"{self.ctx.name}/{member.name}".encode())

        return sorted(compatible, key=order)

    def _secondaries_for(self, *, session: Session) -> list[Member]:
        """The second HTTP proxies to try for a session: the one it has, then those that follow by its own name."""
        members = self._secondaries()
        first = members[:SECONDARIES]
        if first:
            offset = zlib.crc32(session.ident.encode()) % len(first)
            members = [*first[offset:], *first[:offset], *members[SECONDARIES:]]
        return sorted(members, key=lambda member: member.name != session.replica_holder)

    async def replicate(self, *, session: Session, until_us: int) -> bool:
        """Replicates a session; whether a second HTTP proxy now holds it."""
        for member in self._secondaries_for(session=session)[:2]:
            wait_us = min(REPLICA_WAIT_US, (until_us - self.ctx.now_us()) // 3)
            if wait_us <= 0:
                break
            if await self._replica(session=session, member=member, wait_us=wait_us):
                session.replica_holder = member.name
                return True
        session.replica_holder = ""
        return False

    async def _replica(self, *, session: Session, member: Member, wait_us: int) -> bool:
        self.number += 1
        number = self.number
        self.in_flight.add(number)
        packer = Packer().u8(value=MessageType.REPLICA).u64(value=self.run_id).u64(value=number)
        body = session.write(packer=packer, version=REPLICA_VERSION, now_us=self.ctx.now_us()).bytes()
        try:
            result = await self.ctx.peer_client.request(address=member.records, body=body, wait_us=wait_us)
        finally:
            self.in_flight.discard(number)
        stored = result.is_ok() and result.ok == bytes([YES])
        # one that leaves, or stands empty for a window, would be tried in vain again and again
        if not stored:
            self.last_refusal_us[member.name] = self.ctx.now_us()
        self.ctx.counters.add(name="copies.sent" if stored else "copies.failed")
        self.ctx.counters.add(name="copies.bytes", count=len(body))
        return stored

    def forget(self, *, session: Session, members: list[Member], own_only: bool = False) -> None:
        """Has others drop replicas of a session up to this state; with `mine`, only those that this process sent."""
        body = (
            Packer()
            .u8(value=MessageType.FORGET)
            .u64(value=self.run_id if own_only else ANY_OWNER)
            .text(value=session.ident)
            .u64(value=session.tag.revision)
            .bytes()
        )
        for member in members:
            if self.ctx.peer_client.version(address=member.records) >= REPLICA_VERSION:
                work = self.ctx.peer_client.request(address=member.records, body=body, wait_us=TOUCH_WAIT_US)
                self.ctx.spawn(work=work, name="forget")

    def _on_closed(self, *, session: Session) -> None:
        self.forget(
            session=session,
            members=[m for m in self.membership.alive(role="stall") if m.name == session.replica_holder],
        )

    @property
    def unreplicated(self) -> int:
        """How many sessions stand on this HTTP proxy only."""
        return sum(not session.replica_holder for session in self.sessions.open.values())

    async def _touch(self) -> None:
        """Asks each second HTTP proxy whether it still has what it should, and copies anew what is nowhere else."""
        members = {member.name: member for member in self._secondaries()}
        sessions_by_holder: dict[str, list[Session]] = {name: [] for name in members}
        for session in self.sessions.open.values():
            if session.replica_holder in sessions_by_holder:
                sessions_by_holder[session.replica_holder].append(session)
            else:
                session.replica_holder = ""
        # one that has no session of ours any more must hear that once, or it would keep its copies
        self.touched_members &= set(members)
        requested = [
            name for name, sessions in sessions_by_holder.items() if sessions or name in self.touched_members
        ]
        await asyncio.gather(
            *(self._ask(member=members[name], sessions=sessions_by_holder[name]) for name in requested)
        )
        unreplicated = [
            session for session in self.sessions.open.values() if not session.replica_holder and not session.busy
        ]
        until_us = self.ctx.now_us() + TOUCH_EVERY_US
        # at a bounded pace, since all sessions of a lost HTTP proxy's neighbours want a new place at once
        if members:
            await asyncio.gather(
                *(self.replicate(session=each, until_us=until_us) for each in unreplicated[:MAX_REPAIRS_PER_ROUND])
            )
        self.ctx.counters.gauge(name="sessions.onOneStall", value=self.unreplicated)

    async def _ask(self, *, member: Member, sessions: list[Session]) -> None:
        last_number = min(self.in_flight, default=self.number + 1) - 1
        packer = Packer().u8(value=MessageType.TOUCH).u64(value=self.run_id).u64(value=last_number)
        packer.many(values=sessions, each=lambda p, s: p.text(value=s.ident).u64(value=s.tag.revision))
        result = await self.ctx.peer_client.request(
            address=member.records, body=packer.bytes(), wait_us=TOUCH_WAIT_US
        )
        # silence proves nothing; when it lasts the member is removed, and its sessions get another place
        if result.is_error():
            return
        self.touched_members.discard(member.name)
        if sessions:
            self.touched_members.add(member.name)
        try:
            unpacker = Unpacker(data=result.ok)
            leaving = bool(unpacker.u8())
            missing = set(unpacker.many(each=lambda u: u.text()))
            unpacker.done()
        except ValueError:
            self.ctx.counters.add(name="records.malformed")
            return
        for session in sessions:
            if (leaving or session.ident in missing) and session.replica_holder == member.name:
                session.replica_holder = ""
