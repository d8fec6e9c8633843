"""Join requests, by which register replicas find one another and learn the roster."""

import asyncio

from ..runtime.context import Context
from ..runtime.unpacker import Unpacker
from .acceptor import Acceptor
from .candidates import CandidateTable
from .messages import JoinAnswer, JoinRequest
from .roster import Voter
from .voter_watch import VoterWatch

JOIN_REQUEST_PERIOD_US = 250_000
# an answer that comes after the period is still taken in
JOIN_REQUEST_TIMEOUT_US = 500_000


class JoinRequests:
    """Sends the join requests of one replica, and answers those of others.

    :param me: the replica, as others are to know it.
    """

    def __init__(
        self, *, ctx: Context, me: Voter, acceptor: Acceptor, candidates: CandidateTable, watch: VoterWatch
    ) -> None:
        self.ctx = ctx
        self.me = me
        self.acceptor = acceptor
        self.candidates = candidates
        self.watch = watch

    async def answer(self, unpacker: Unpacker) -> bytes:
        """Answers with the roster, and with the candidates where the requester needs them."""
        request = JoinRequest.decode(unpacker=unpacker)
        if request.from_replica:
            self.candidates.join_requested(candidate=request.sender)
        roster = self.acceptor.roster
        # once there is a roster only operators need the candidates; many standbys send requests all the time, and
        # the list grows with them
        lists_candidates = roster is None or not request.from_replica
        listed = tuple(self.candidates.by_name.values()) if lists_candidates else ()
        return JoinAnswer(roster=roster, candidates=listed).encode()

    async def send_all(self, *, seeds: tuple[str, ...]) -> None:
        """Sends a join request to each seed and voter, and waits for the answers, but no longer than a period."""
        roster = self.acceptor.roster
        voters = () if roster is None else tuple(voter.address for voter in roster.voters)
        addresses = [address for address in dict.fromkeys(seeds + voters) if address != self.me.address]
        requests = [self.ctx.spawn(work=self._send(address=address), name="join_request") for address in addresses]
        if requests:
            await asyncio.wait(requests, timeout=JOIN_REQUEST_PERIOD_US / 1_000_000)

    async def _send(self, *, address: str) -> None:
        result = await self.ctx.peer_client.request(
            address=address, body=JoinRequest(sender=self.me).encode(), wait_us=JOIN_REQUEST_TIMEOUT_US
        )
        if result.is_error():
            return
        self.watch.answered(address=address)
        answer = JoinAnswer.decode(data=result.ok)
        for candidate in answer.candidates:
            if candidate.name != self.me.name:
                self.candidates.add(candidate=candidate)
        if answer.roster is not None:
            await self.acceptor.adopt_roster(roster=answer.roster)
