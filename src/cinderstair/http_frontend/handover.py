"""Hands sessions to another stall when this one stops or has to stand empty, and finds those handed on."""

import asyncio
from dataclasses import dataclass, replace

from ..membership.crowd import Crowd
from ..membership.member import Member
from ..runtime.context import Context
from ..runtime.desk import Desk
from ..runtime.desks import HANDOVER, SEEK
from ..runtime.packer import Packer
from ..runtime.parley import Body
from ..runtime.unpacker import Unpacker
from .copies import Copies
from .filters.readyfilter import ReadyFilter
from .handle import UNMARKED, Handle, Tag, read_handle
from .keeper import Keeper
from .session import Session, read_session
from .sessions import Sessions

HAND_WAIT_US = 600_000
SEEK_WAIT_US = 400_000
TRIES = 3
AT_ONCE = 16
NO, YES, COPIED = 0, 1, 2
MOST_GONE = 60_000
TOLD_US = 3_000_000


@dataclass(frozen=True, kw_only=True)
class Sought:
    """What came of looking for a session: where it is, or itself; or nothing, surely or not."""

    where: str = ""
    session: Session | None = None
    unsure: bool = False


class Handover:
    """A session is taken out of service here before it is offered, and its client is told of one place only."""

    def __init__(
        self,
        *,
        ctx: Context,
        desk: Desk,
        crowd: Crowd,
        sessions: Sessions,
        ready: ReadyFilter,
        copies: Copies,
        keeper: Keeper,
    ) -> None:
        self.ctx = ctx
        self.copies = copies
        self.keeper = keeper
        self.crowd = crowd
        self.sessions = sessions
        self.ready = ready
        # why: a client that comes back to its old stall is told where its session is now
        self.gone: dict[str, str] = {}
        self.told_us: dict[str, int] = {}
        desk.open(kind=HANDOVER, answer=self._offered)
        desk.open(kind=SEEK, answer=self._sought)

    async def _offered(self, unpacker: Unpacker) -> bytes:
        session = read_session(unpacker=unpacker, now_us=self.ctx.now_us())
        unpacker.done()
        # why: an offer that is repeated because its answer was lost finds the session here already
        known = self.sessions.find(ident=session.ident)
        if known is not None and known.tag.edition >= session.tag.edition:
            return Packer().u8(value=YES).bytes()
        if self.ready.unready() is not None:
            return Packer().u8(value=NO).bytes()
        # why: a daemon of the first version changes what a session keeps without changing the handle
        if unpacker.version == 1 and session.tag != UNMARKED:
            session.was, session.tag = session.tag, session.next(luck=self.ctx.luck)
        self.gone.pop(session.ident, None)
        self.copies.take(ident=session.ident)
        self.sessions.open[session.ident] = session
        self.ctx.counters.add(name="sessions.taken")
        # why: whoever hands it on may end as soon as it hears that it stands here
        await self.keeper.keep(session=session, until_us=self.ctx.now_us() + HAND_WAIT_US)
        return Packer().u8(value=YES).bytes()

    async def _sought(self, unpacker: Unpacker) -> bytes:
        if unpacker.version == 1:
            handle = read_handle(text=unpacker.text())
        else:
            handle = Handle(unpacker.text(), Tag(unpacker.u64(), unpacker.text()))
        unpacker.done()
        return Packer().u8(value=self._fits(handle=handle, copies=unpacker.version > 1)).bytes()

    def _fits(self, *, handle: Handle, copies: bool = True) -> int:
        """Whether what is here, alive or as a copy, is what the client was promised."""
        live = self.sessions.find(ident=handle.ident)
        if live is not None and live.known(tag=handle.tag):
            return YES
        held = self.copies.held.get(handle.ident)
        return COPIED if copies and held is not None and held.session.known(tag=handle.tag) else NO

    def _targets(self) -> list[Member]:
        """Other stalls, those of the same site first."""
        others = self.crowd.alive(role="stall")
        self.ctx.luck.shuffle(others)
        return sorted(others, key=lambda member: member.site != self.ctx.site)

    async def hand_all(self) -> int:
        """Hands on every session that is idle; how many are still here."""
        idle = [s for s in self.sessions.open.values() if not s.busy and s.transaction is None]
        for start in range(0, len(idle), AT_ONCE):
            await asyncio.gather(*(self._hand(session=each) for each in idle[start : start + AT_ONCE]))
        return len(self.sessions.open)

    async def _hand(self, *, session: Session) -> None:
        # why: while others were handed on it may have been taken up, or handed on already
        if session.busy or session.transaction is not None or session.ident not in self.sessions.open:
            return
        # why: from here on no job of it is run here, whatever becomes of the offer
        session.busy = True

        def body(version: int) -> bytes:
            packer = Packer().u8(value=HANDOVER)
            return session.write(packer=packer, version=version, now_us=self.ctx.now_us()).bytes()

        for target in self._targets()[:TRIES]:
            if await self._offer(target=target, body=body):
                self.sessions.open.pop(session.ident, None)
                self._remember(ident=session.ident, http=target.http)
                seconds = [m for m in self._targets() if m.name == session.second and m.name != target.name]
                self.keeper.forget(session=session, members=seconds, mine=True)
                self.ctx.counters.add(name="sessions.handed")
                return
        session.busy = False

    async def _offer(self, *, target: Member, body: Body) -> bool:
        for _ in range(TRIES):
            result = await self.ctx.parley.ask(address=target.records, body=body, wait_us=HAND_WAIT_US)
            if result.is_ok():
                return result.ok == bytes([YES])
        return False

    def _remember(self, *, ident: str, http: str) -> None:
        self.gone[ident] = http
        # why: a stall that runs for long hands on more sessions than it needs to remember
        if len(self.gone) > MOST_GONE:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
            self.told_us.pop(oldest, None)

    async def find(self, *, handle: Handle) -> Sought:
        """A session that isn't alive here: where it is, or taken over from its copy, or not found."""
        members = self.crowd.alive(role="stall")
        known = self.gone.get(handle.ident)
        told_us = self.told_us.pop(handle.ident, -TOLD_US)
        # why: whoever is back so soon has not found it there, so everyone is asked and not remembered
        if known in [member.http for member in members] and self.ctx.now_us() - told_us > TOLD_US:
            self.told_us[handle.ident] = self.ctx.now_us()
            return Sought(where=str(known))

        def body(version: int) -> bytes:
            packer = Packer().u8(value=SEEK)
            if version == 1:
                return packer.text(value=str(handle)).bytes()
            return packer.text(value=handle.ident).u64(value=handle.tag.edition).text(value=handle.tag.mark).bytes()

        asks = [self.ctx.parley.ask(address=member.records, body=body, wait_us=SEEK_WAIT_US) for member in members]
        answers = dict(zip(members, await asyncio.gather(*asks), strict=True))
        # why: another job of the same session may have taken it over while this one was asking
        live = self.sessions.find(ident=handle.ident)
        if live is not None and live.known(tag=handle.tag):
            return Sought(session=live)
        for wanted in (YES, COPIED):
            # why: what is alive elsewhere stays there; of copies our own is the nearest
            if wanted == COPIED and self._fits(handle=handle) == COPIED:
                return Sought(session=await self._take_over(handle=handle))
            for member, result in answers.items():
                if result.is_ok() and result.ok == bytes([wanted]):
                    return Sought(where=member.http)
        # why: asked in the first version nobody tells of copies
        return Sought(
            unsure=any(
                result.is_error() or self.ctx.parley.doubtful(address=member.records)
                for member, result in answers.items()
            )
        )

    async def _take_over(self, *, handle: Handle) -> Session:
        session = self.copies.take(ident=handle.ident)
        assert session is not None
        older = session.tag
        # why: a stall that was only frozen or cut off has the state that the client came with; under a new tag
        # nothing that either does can be taken for the other's
        session.was, session.tag = handle.tag, session.next(luck=self.ctx.luck)
        session.second, session.taken_us, session.used_us = "", self.ctx.now_us(), self.ctx.now_us()
        self.sessions.open[session.ident] = session
        self.ctx.counters.add(name="sessions.takenOver")
        self.keeper.forget(session=replace(session, tag=older), members=self.crowd.alive(role="stall"))
        await self.keeper.keep(session=session, until_us=self.ctx.now_us() + HAND_WAIT_US)
        return session
