"""Asks the other controllers whether they can reach a backend, and answers the same question."""

import asyncio
from collections.abc import Callable

from ..failover.backend_control import BackendControl
from ..failover.backend_poller import PROBE_WAIT_US
from ..failover.reachability_votes import ReachabilityVotes
from ..membership.announcement import Announcement
from ..membership.heartbeat_table import HeartbeatTable
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

VOTE_WAIT_US = 900_000


class ReachabilityPoll:
    """Collects reachability votes on a backend from the other controllers.

    A backend is reachable if it accepts a connection, whatever it answers then.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        heartbeat_table: HeartbeatTable[Announcement],
        control: BackendControl,
        peers: Callable[[], list[str]],
    ) -> None:
        self.ctx = ctx
        self.heartbeat_table = heartbeat_table
        self.control = control
        self.peers = peers
        dispatcher.add_handler(message_type=MessageType.OPINION, handler=self._on_opinion)

    async def poll(self, name: str) -> ReachabilityVotes:
        """The other controllers' votes on one backend; those that don't answer within `VOTE_WAIT_US` don't count."""
        body = Packer().u8(value=MessageType.OPINION).text(value=name).bytes()
        requests = [
            self.ctx.peer_client.request(address=address, body=body, wait_us=VOTE_WAIT_US) for address in self.peers()
        ]
        answers = [result.ok for result in await asyncio.gather(*requests) if result.is_ok() and result.ok]
        return ReachabilityVotes(reachable=sum(answer[0] for answer in answers), answered=len(answers))

    async def _on_opinion(self, unpacker: Unpacker) -> bytes:
        name = unpacker.text()
        unpacker.done()
        received = self.heartbeat_table.latest(name=name)
        if received is None:
            raise ValueError(f"can't probe backend {name}: no heartbeat of it has been received")
        state = await self.control.state(backend=received.heartbeat, wait_us=PROBE_WAIT_US)
        reachable = state.is_ok() or state.error.code != ErrorCode.REQUEST_NOT_SENT
        return Packer().u8(value=int(reachable)).bytes()
