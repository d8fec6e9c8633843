"""Replicates each session of this HTTP proxy to a second HTTP proxy."""

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
# HTTP proxies that hold this one's replicas: few, so that the number of touches doesn't grow with the fleet, but
# enough to spread the clients of a lost proxy
MAX_REPLICA_HOLDERS = 3
# sessions without a replica that one round replicates again
MAX_REPAIRS_PER_ROUND = 64
# how long an HTTP proxy that refused a replica is tried last
REFUSAL_BACKOFF_US = 3_000_000
# first protocol version with replicas
REPLICA_VERSION = 2
# reply: the replica is held
YES = 1


class SessionReplicator(CommandQueueMixin):
    """Owns which HTTP proxy holds the replica of each session (`Session.replica_holder`).

    A change is acknowledged to the client after replication, or with a count of 1 where no other proxy has stored it.
    A periodic touch finds replicas that were lost and sends them again.
    """

    def __init__(self, *, ctx: Context, membership: Membership, sessions: Sessions) -> None:
        self.ctx = ctx
        self.membership = membership
        self.sessions = sessions
        # identifies this run of the process, since a restarted one has none of its former sessions
        self.run_id = ctx.rng.getrandbits(62) | 1
        self.touched_members: set[str] = set()
        self.last_refusal_us: dict[str, int] = {}
        self.number = 0
        self.in_flight: set[int] = set()
        sessions.closed.subscribe(lambda session: self._on_closed(session=session))
        self.open_queue()
        self.every(every_us=TOUCH_EVERY_US, command=self._touch, name="touch")

    def _secondaries(self) -> list[Member]:
        """Proxies that can hold replicas: not refusing, alive and of other sites first, then by a hash per owner."""
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
        """Candidates for a session's replica: the current holder, then the first MAX_REPLICA_HOLDERS by a hash."""
        members = self._secondaries()
        first = members[:MAX_REPLICA_HOLDERS]
        if first:
            offset = zlib.crc32(session.ident.encode()) % len(first)
            members = [*first[offset:], *first[:offset], *members[MAX_REPLICA_HOLDERS:]]
        return sorted(members, key=lambda member: member.name != session.replica_holder)

    async def replicate(self, *, session: Session, until_us: int) -> bool:
        """Replicates a session to one of two candidates; returns whether a second HTTP proxy now holds it."""
        for member in self._secondaries_for(session=session)[:2]:
            wait_us = min(REPLICA_WAIT_US, (until_us - self.ctx.now_us()) // 3)
            if wait_us <= 0:
                break
            if await self._send_replica(session=session, member=member, wait_us=wait_us):
                session.replica_holder = member.name
                return True
        session.replica_holder = ""
        return False

    async def _send_replica(self, *, session: Session, member: Member, wait_us: int) -> bool:
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
        # remembered, so that a draining proxy is not tried again and again
        if not stored:
            self.last_refusal_us[member.name] = self.ctx.now_us()
        self.ctx.counters.add(name="copies.sent" if stored else "copies.failed")
        self.ctx.counters.add(name="copies.bytes", count=len(body))
        return stored

    def forget(self, *, session: Session, members: list[Member], own_only: bool = False) -> None:
        """Makes members delete replicas up to this revision; with `own_only`, only those sent by this run."""
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
        """The number of sessions without a replica."""
        return sum(not session.replica_holder for session in self.sessions.open.values())

    async def _touch(self) -> None:
        """Asks each holder whether it still has its replicas, and replicates sessions without one."""
        members = {member.name: member for member in self._secondaries()}
        sessions_by_holder: dict[str, list[Session]] = {name: [] for name in members}
        for session in self.sessions.open.values():
            if session.replica_holder in sessions_by_holder:
                sessions_by_holder[session.replica_holder].append(session)
            else:
                session.replica_holder = ""
        # a holder whose last session ended is touched once more, so that it drops its replicas
        self.touched_members &= set(members)
        requested = [
            name for name, sessions in sessions_by_holder.items() if sessions or name in self.touched_members
        ]
        await asyncio.gather(
            *(self._touch_member(member=members[name], sessions=sessions_by_holder[name]) for name in requested)
        )
        unreplicated = [
            session for session in self.sessions.open.values() if not session.replica_holder and not session.busy
        ]
        until_us = self.ctx.now_us() + TOUCH_EVERY_US
        # bounded per round, since a lost holder leaves many sessions without a replica at once
        if members:
            await asyncio.gather(
                *(self.replicate(session=each, until_us=until_us) for each in unreplicated[:MAX_REPAIRS_PER_ROUND])
            )
        self.ctx.counters.gauge(name="sessions.onOneStall", value=self.unreplicated)

    async def _touch_member(self, *, member: Member, sessions: list[Session]) -> None:
        last_number = min(self.in_flight, default=self.number + 1) - 1
        packer = Packer().u8(value=MessageType.TOUCH).u64(value=self.run_id).u64(value=last_number)
        packer.many(values=sessions, each=lambda p, s: p.text(value=s.ident).u64(value=s.tag.revision))
        result = await self.ctx.peer_client.request(
            address=member.records, body=packer.bytes(), wait_us=TOUCH_WAIT_US
        )
        # a single timeout is ignored: a lost member is removed by the membership, and its sessions get another holder
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
