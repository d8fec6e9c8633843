"""Join requests, by which register replicas discover one another and learn the roster."""

import asyncio

from ..runtime.context import Context
from ..runtime.unpacker import Unpacker
from .acceptor import Acceptor
from .candidates import CandidateTable
from .messages import JoinAnswer, JoinRequest
from .roster import Voter
from .voter_watch import VoterWatch

JOIN_REQUEST_PERIOD_US = 250_000
# longer than the period: an answer that arrives after the next request was sent is still used
JOIN_REQUEST_TIMEOUT_US = 500_000


class JoinRequests:
    """Sends the join requests of this replica, and answers those of other replicas and clients.

    :param me: this replica's identity, name and address, as sent in its requests.
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
        """Answers with the roster, and with the candidates if the requester needs them. ValueError: malformed."""
        request = JoinRequest.decode(unpacker=unpacker)
        if request.from_replica:
            self.candidates.join_requested(candidate=request.sender)
        roster = self.acceptor.roster
        # once there is a roster only operators need the candidates; standbys send requests continuously, and the
        # list grows with their number
        lists_candidates = roster is None or not request.from_replica
        listed = tuple(self.candidates.by_name.values()) if lists_candidates else ()
        return JoinAnswer(roster=roster, candidates=listed).encode()

    async def send_all(self, *, seeds: tuple[str, ...]) -> None:
        """Sends a join request to each seed and voter, and waits at most JOIN_REQUEST_PERIOD_US for the answers."""
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
