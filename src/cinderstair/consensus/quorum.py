"""The client side of a quorum: which replicas vote, and requests that wait for a majority of them."""

import asyncio
from collections.abc import Callable

from ..runtime.context import Context
from ..runtime.peer_client import RequestBody
from .majority import count_until_majority
from .messages import (
    CLIENT,
    VOTE_STATUSES,
    AdoptRequest,
    JoinAnswer,
    JoinRequest,
    StaleAnswer,
    Status,
    VoteAnswer,
    status_of,
)
from .roster import Roster, Voter

REQUEST_TIMEOUT_US = 700_000
# after this time without an answer the other voters are asked too (a hedged request: Dean & Barroso, The Tail at
# Scale, 2013), and a search for the roster is content with what it has found
HEDGE_DELAY_US = 150_000


class QuorumMixin:
    """Owns the roster as this process knows it, and sends requests to its voters.

    :param seeds: the addresses at which replicas are looked for before a roster is known.
    :param own: the address of this process, if it is itself a replica; else empty.
    """

    def __init__(self, *, ctx: Context, seeds: tuple[str, ...], own: str = "") -> None:
        self.ctx = ctx
        self.seeds = seeds
        self.own = own
        self.roster: Roster | None = None
        self.known_replicas: dict[str, Voter] = {}
        # the identities of the voters whose last request failed
        self.failed: set[int] = set()

    # -- the roster --

    async def candidates(self) -> dict[str, Voter]:
        """Every replica that the seeds know, by name."""
        await self.find_roster()
        return self.known_replicas

    async def current_roster(self) -> Roster | None:
        """The roster that is known; where none is, the replicas are asked. None where none of them answers."""
        if self.roster is None:
            await self.find_roster()
        return self.roster

    async def find_roster(self) -> bool:
        """Asks the seeds, and every voter known, for the newest roster; whether one is known then.

        What comes late is still taken in.
        """
        voters = () if self.roster is None else tuple(voter.address for voter in self.roster.voters)
        pending = {
            self.ctx.spawn(work=self._request_roster(address=address), name="roster.request")
            for address in dict.fromkeys(self.seeds + voters)
        }
        found = False
        while pending:
            # a replica that is down must not hold up what the others told; a roster that is out of date is replaced
            # by the first answer of a voter
            timeout_s = HEDGE_DELAY_US / 1_000_000 if found else None
            done, pending = await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            found = found or any(task.result() for task in done)
        return self.roster is not None

    async def _request_roster(self, *, address: str) -> bool:
        """Whether the replica at an address answered with a roster."""
        result = await self.ctx.peer_client.request(
            address=address, body=JoinRequest(sender=CLIENT).encode(), wait_us=REQUEST_TIMEOUT_US
        )
        if result.is_error():
            return False
        answer = JoinAnswer.decode(data=result.ok)
        for replica in answer.candidates:
            self.known_replicas[replica.name] = replica
        if answer.roster is None:
            return False
        self.learn_roster(roster=answer.roster)
        return True

    def learn_roster(self, *, roster: Roster) -> None:
        """Makes a roster the one that is known, unless one as new is."""
        if self.roster is None or roster.epoch > self.roster.epoch:
            self.roster = roster

    async def send_roster(self, *, address: str, roster: Roster) -> bool:
        """Whether the replica at an address has adopted a roster, or one as new."""
        result = await self.ctx.peer_client.request(
            address=address, body=AdoptRequest(roster=roster).encode(), wait_us=REQUEST_TIMEOUT_US
        )
        return result.is_ok()

    async def broadcast_roster(self, *, roster: Roster) -> int:
        """Tells a roster to all its voters, and waits for a majority; how many have adopted it by then."""
        requests = {
            self.ctx.spawn(work=self.send_roster(address=voter.address, roster=roster), name="roster.tell")
            for voter in roster.voters
        }
        return await count_until_majority(requests=requests, majority=roster.majority)

    # -- requests to the voters --

    async def poll(
        self, *, roster: Roster, body: RequestBody, enough: Callable[[list[bytes]], bool], first: int = 0
    ) -> list[bytes]:
        """Sends a request to all voters, and returns as soon as the answers are enough, or all have come.

        :param first: if given, only so many voters are asked at once, and the others when one of these fails or is
            late (a hedged request).
        """
        answers: list[bytes] = []
        voters = list(roster.voters)
        if first:
            self._order_by_cost(voters=voters)
        hedged = voters[first:] if first else []
        at_once = voters[: len(voters) - len(hedged)]

        def send(recipients: list[Voter]) -> set[asyncio.Task[bool]]:
            return {
                self.ctx.spawn(work=self._request_vote(voter=voter, roster=roster, body=body, answers=answers))
                for voter in recipients
            }

        pending = send(at_once)
        while pending and not enough(answers):
            timeout_s = HEDGE_DELAY_US / 1_000_000 if hedged else None
            done, pending = await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if hedged and not enough(answers) and (not done or not all(task.result() for task in done)):
                pending |= send(hedged)
                hedged = []
        return answers

    def _order_by_cost(self, *, voters: list[Voter]) -> None:
        """Puts this process's own replica first, which needs no network, and those that failed last time last."""
        self.ctx.rng.shuffle(voters)
        voters.sort(key=lambda voter: (voter.ident in self.failed, voter.address != self.own))

    async def _request_vote(self, *, voter: Voter, roster: Roster, body: RequestBody, answers: list[bytes]) -> bool:
        """Whether a voter gave a vote, which is added to the answers."""
        result = await self.ctx.peer_client.request(address=voter.address, body=body, wait_us=REQUEST_TIMEOUT_US)
        if result.is_error() or not self._is_vote(answer=result.ok, voter=voter, roster=roster):
            self.failed.add(voter.ident)
            return False
        self.failed.discard(voter.ident)
        answers.append(result.ok)
        return True

    def _is_vote(self, *, answer: bytes, voter: Voter, roster: Roster) -> bool:
        """Whether an answer is a vote; where the two sides' rosters differ, the older is brought up to date."""
        status = status_of(answer=answer)
        if status == Status.STALE:
            self.learn_roster(roster=StaleAnswer.decode(data=answer).roster)
        elif status == Status.AHEAD and roster.epoch > 0:
            self.ctx.spawn(work=self.send_roster(address=voter.address, roster=roster))
        return status in VOTE_STATUSES

    async def votes(self, *, roster: Roster, body: bytes, first: int = 0) -> list[VoteAnswer]:
        """The votes on a request, as soon as a majority is OK or none can be any more. `first` as for `poll`."""

        def enough(answers: list[bytes]) -> bool:
            granted = sum(status_of(answer=answer) == Status.OK for answer in answers)
            refused = len(answers) - granted
            return granted >= roster.majority or refused > len(roster.voters) - roster.majority

        answers = await self.poll(roster=roster, body=body, enough=enough, first=first)
        return [VoteAnswer.decode(data=answer) for answer in answers]


def granted(*, votes: list[VoteAnswer]) -> list[VoteAnswer]:
    """The votes that are OK."""
    return [vote for vote in votes if vote.status == Status.OK]
