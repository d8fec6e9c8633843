"""Holds replicas of other HTTP proxies' sessions, in case those proxies are lost."""

from dataclasses import dataclass

from ..runtime.command_queue import CommandQueueMixin
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .filters.ready_filter import ReadyFilter
from .session import Session, read_session
from .sessions import Sessions

NO, YES = 0, 1
# in place of an owner's run id: a replica of any owner
ANY_OWNER = 0
SWEEP_EVERY_US = 5_000_000
# an owner that has not touched its replicas for this long counts as lost
OWNER_LOST_AFTER_US = 2_500_000
MAX_SESSION_REPLICAS = 60_000


@dataclass(kw_only=True)
class SessionReplica:
    """A session as its owner last sent it: `owner` is the run id of an HTTP proxy, `number` counts its records."""

    owner: int
    number: int
    session: Session


class SessionReplicas(CommandQueueMixin):
    """Owns the replicas held here, and handles the records that store, touch and delete them.

    A replica becomes a session when its client returns with a matching handle, or by `adopt`.
    """

    def __init__(self, *, ctx: Context, dispatcher: Dispatcher, sessions: Sessions, ready: ReadyFilter) -> None:
        self.ctx = ctx
        self.sessions = sessions
        self.ready = ready
        self.held: dict[str, SessionReplica] = {}
        self.last_contact_us: dict[int, int] = {}
        dispatcher.add_handler(message_type=MessageType.REPLICA, handler=self._on_replica)
        dispatcher.add_handler(message_type=MessageType.TOUCH, handler=self._on_touch)
        dispatcher.add_handler(message_type=MessageType.FORGET, handler=self._on_forget)
        self.open_queue()
        self.every(every_us=SWEEP_EVERY_US, command=self._sweep, name="sweep")

    async def _on_replica(self, unpacker: Unpacker) -> bytes:
        owner, number = unpacker.u64(), unpacker.u64()
        session = read_session(unpacker=unpacker, now_us=self.ctx.now_us())
        unpacker.done()
        known = self.held.get(session.ident)
        full = known is None and len(self.held) >= MAX_SESSION_REPLICAS
        live = self.sessions.find(ident=session.ident)
        # a draining proxy or one with the session open can't hold its replica; a late one must not replace a newer
        older = known is not None and known.session.tag.revision > session.tag.revision
        if self.ready.leaving or full or older or live is not None:
            return Packer().u8(value=NO).bytes()
        self.held[session.ident] = SessionReplica(owner=owner, number=number, session=session)
        self.last_contact_us[owner] = self.ctx.now_us()
        return Packer().u8(value=YES).bytes()

    async def _on_touch(self, unpacker: Unpacker) -> bytes:
        """Handles an owner's list of the replicas expected here: drops its others, replies with the missing ones."""
        owner, last_number = unpacker.u64(), unpacker.u64()
        expected = dict(unpacker.many(each=lambda u: (u.text(), u.u64())))
        unpacker.done()
        now_us = self.ctx.now_us()
        self.last_contact_us[owner] = now_us
        for ident, replica in list(self.held.items()):
            # keeps replicas that were sent after the list was written
            if replica.owner == owner and ident not in expected and replica.number <= last_number:
                del self.held[ident]
        missing = []
        for ident, revision in expected.items():
            held = self.held.get(ident)
            if held is None or held.owner != owner or held.session.tag.revision < revision:
                missing.append(ident)
            else:
                # counts as used while its owner touches it; idle time starts with the last touch
                held.session.used_us = now_us
        packer = Packer().u8(value=int(self.ready.leaving))
        return packer.many(values=missing, each=lambda p, ident: p.text(value=ident)).bytes()

    async def _on_forget(self, unpacker: Unpacker) -> bytes:
        """Deletes what is held of a session, up to a revision, since it has ended or continues elsewhere."""
        owner, ident, revision = unpacker.u64(), unpacker.text(), unpacker.u64()
        unpacker.done()
        held, live = self.held.get(ident), self.sessions.find(ident=ident)
        # a former owner deletes only the replica that it sent, not one sent by the next owner
        if held is not None and owner in (held.owner, ANY_OWNER) and held.session.tag.revision <= revision:
            del self.held[ident]
        if live is not None and owner == ANY_OWNER and live.tag.revision <= revision:
            self.ctx.counters.add(name="sessions.superseded")
            self.sessions.close(session=live)
        return Packer().u8(value=YES).bytes()

    def take(self, *, ident: str) -> Session | None:
        """Removes and returns a replica; None where there is none."""
        replica = self.held.pop(ident, None)
        return None if replica is None else replica.session

    def adopt(self) -> None:
        """Opens the replicas of lost owners as sessions, so that a draining HTTP proxy can hand them over.

        If an owner is only cut off, both proxies have the same state and tag; the next change on either side gets a
        new tag, so that the two states can't be mistaken for each other.
        """
        now_us = self.ctx.now_us()
        for ident, replica in list(self.held.items()):
            if now_us - self.last_contact_us.get(replica.owner, 0) > OWNER_LOST_AFTER_US:
                del self.held[ident]
                replica.session.replica_holder = ""
                self.sessions.open.setdefault(ident, replica.session)
                self.ctx.counters.add(name="sessions.adopted")

    def _sweep(self) -> None:
        now_us = self.ctx.now_us()
        for ident, replica in list(self.held.items()):
            # both its owner and its client may be gone
            if now_us - replica.session.used_us > self.sessions.idle_session_us:
                del self.held[ident]
        owners = {replica.owner for replica in self.held.values()}
        self.last_contact_us = {owner: at_us for owner, at_us in self.last_contact_us.items() if owner in owners}
        self.ctx.counters.gauge(name="copies.held", value=len(self.held))
