"""Replicates the state of a leaving backend to a majority of the voters before it is acknowledged."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from ..consensus.majority import count_until_majority
from ..membership.announcement import GONE, Announcement, read_announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .acknowledgement import ACKNOWLEDGEMENT

REQUEST_WAIT_US = 600_000
MAX_REPLICATED = 20_000


class DepartureRecord(Protocol):
    """Where deregistrations are kept so that they outlive the memory of all controllers."""

    def recorded(self, *, name: str) -> Announcement | None:
        """What is recorded of a backend; None if it is not on record."""
        ...

    async def record_departure(self, *, announcement: Announcement) -> bool:
        """Records that a backend has deregistered; whether that is certain."""
        ...


class Announcer:
    """Owns the last state of each backend that a majority of the voters has acknowledged.

    The majority counts all voters, not only the reachable ones. Any two majorities share a voter, so each side of a
    network partition that still serves knows the state, and losing one machine loses no acknowledged state.

    A deregistered backend sends nothing more, so its deregistration is recorded as well.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        heartbeat_table: HeartbeatTable[Announcement],
        voters: Callable[[], tuple[str, ...]],
        departure_record: DepartureRecord,
    ) -> None:
        self.ctx = ctx
        self.heartbeat_table = heartbeat_table
        self.voters = voters
        self.departure_record = departure_record
        self.replicated_states: dict[str, str] = {}
        dispatcher.add_handler(message_type=MessageType.ANNOUNCE, handler=self._on_announce)

    async def _on_announce(self, unpacker: Unpacker) -> bytes:
        announcement = read_announcement(unpacker=unpacker)
        unpacker.done()
        self.heartbeat_table.receive(heartbeat=announcement)
        return ACKNOWLEDGEMENT

    async def replicate(self, *, announcement: Announcement) -> bool:
        """Replicates a backend's state; the announcement must have been received by the heartbeat table.

        :returns: whether a majority of the voters holds it, or a later one of the same backend. False without voters.
        """
        name = announcement.name
        # a leaving backend repeats its announcement under new numbers; an unchanged state needs no new round
        if self.replicated_states.get(name) == announcement.state:
            return True
        body = Packer().u8(value=MessageType.ANNOUNCE).bytes() + self._encoded(announcement=announcement)
        voters = self.voters()
        majority = len(voters) // 2 + 1
        sends = (self._send(address=address, body=body) for address in voters)
        requests = {self.ctx.spawn(work=send, name="announce") for send in sends}
        acknowledged = await count_until_majority(requests=requests, majority=majority)
        if not voters or acknowledged < majority:
            self.ctx.counters.add(name="announcements.unspread")
            return False
        if len(self.replicated_states) >= MAX_REPLICATED:
            self.replicated_states.clear()
        self.replicated_states[name] = announcement.state
        return True

    @staticmethod
    def _encoded(*, announcement: Announcement) -> bytes:
        packer = Packer()
        announcement.write(packer=packer)
        return packer.bytes()

    async def _send(self, *, address: str, body: bytes) -> bool:
        result = await self.ctx.peer_client.request(address=address, body=body, wait_us=REQUEST_WAIT_US)
        return result.is_ok()

    async def deregister(self, *, name: str) -> bool:
        """Records a backend as gone and replicates that.

        :returns: whether a majority of the voters holds it, in memory and on record.
        """
        known = await self._last_announcement(name=name)
        gone = known
        if known.state != GONE:
            gone = replace(known, state=GONE, is_primary=False, number=known.number + 1)
            self.heartbeat_table.receive(heartbeat=gone)
        replicated, recorded = await asyncio.gather(
            self.replicate(announcement=gone), self.departure_record.record_departure(announcement=gone)
        )
        return replicated and recorded

    async def _last_announcement(self, *, name: str) -> Announcement:
        """The backend's newest announcement; asks the voters and the record if this controller has none.

        Where the backend is not known at all, the result is an announcement with number 0 and only its name set.
        """
        received = self.heartbeat_table.latest(name=name)
        if received is None:
            # after a restart this controller has no heartbeats yet, while the others may have
            await self.heartbeat_table.refresh(peers=self.voters())
            received = self.heartbeat_table.latest(name=name)
        if received is not None:
            return received.heartbeat
        recorded = self.departure_record.recorded(name=name)
        if recorded is not None:
            return recorded
        # a proxy may still route to a backend that every controller has forgotten, so it is deregistered anyway
        return Announcement(name=name, number=0, service="", address="", site="", state=READY, is_primary=False)
