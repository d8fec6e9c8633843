"""Spreads what a backend says of its leaving to a majority of the voters before it is acknowledged."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from ..membership.announcement import GONE, Announcement, read_announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

SPREAD_WAIT_US = 600_000
MOST_SPREAD = 20_000


class Announcer:
    """Owns which departures a majority is known to hold.

    A majority of the voters, not a majority of those in reach: of any two majorities one voter has heard it, so no
    part of a cut that goes on serving can be without it, and one lost machine takes no acknowledged word along.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        heartbeat_table: HeartbeatTable[Announcement],
        voters: Callable[[], tuple[str, ...]],
    ) -> None:
        self.ctx = ctx
        self.heartbeat_table = heartbeat_table
        self.voters = voters
        self.spread_states: dict[str, str] = {}
        dispatcher.add_handler(message_type=MessageType.ANNOUNCE, handler=self._announced)

    async def _announced(self, unpacker: Unpacker) -> bytes:
        announcement = read_announcement(unpacker=unpacker)
        unpacker.done()
        self.heartbeat_table.receive(heartbeat=announcement)
        return b"\0"

    async def spread(self, *, announcement: Announcement) -> bool:
        """Whether a majority of the voters holds this word, or a later one of the same backend."""
        name = announcement.name
        # why: a backend that leaves says so again and again, and its state is what matters
        if self.spread_states.get(name) == announcement.state:
            return True
        body = Packer().u8(value=MessageType.ANNOUNCE).bytes() + self._encoded(announcement=announcement)
        voters = self.voters()
        majority = len(voters) // 2 + 1
        pending = {self.ctx.spawn(work=self._tell(address=address, body=body), name="announce") for address in voters}
        reported = 0
        while pending and reported < majority:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            reported += sum(task.result() for task in done)
        if not voters or reported < majority:
            self.ctx.counters.add(name="announcements.unspread")
            return False
        if len(self.spread_states) >= MOST_SPREAD:
            self.spread_states.clear()
        self.spread_states[name] = announcement.state
        return True

    @staticmethod
    def _encoded(*, announcement: Announcement) -> bytes:
        packer = Packer()
        announcement.write(packer=packer)
        return packer.bytes()

    async def _tell(self, *, address: str, body: bytes) -> bool:
        result = await self.ctx.peer_client.request(address=address, body=body, wait_us=SPREAD_WAIT_US)
        return result.is_ok()

    async def depart(self, *, name: str) -> bool:
        """Takes a backend's deregistration; whether a majority of the voters holds it."""
        heard = self.heartbeat_table.latest(name=name)
        if heard is None:
            # why: this daemon may just have begun, while the others know whose deregistration it is
            await self.heartbeat_table.refresh(peers=self.voters())
            heard = self.heartbeat_table.latest(name=name)
        if heard is None:
            # why: those that pass statements on may remember one that no daemon of control does any more
            known = Announcement(name=name, number=0, service="", address="", site="", state=READY, leads=False)
        else:
            known = heard.heartbeat
        if known.state == GONE:
            return await self.spread(announcement=known)
        gone = replace(known, state=GONE, leads=False, number=known.number + 1)
        self.heartbeat_table.receive(heartbeat=gone)
        return await self.spread(announcement=gone)
