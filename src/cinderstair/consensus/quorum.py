"""The client side of the quorum: finds the roster, and sends requests to its voters."""

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
# after this time without an answer the remaining voters are asked too (a hedged request: Dean & Barroso, The Tail at
# Scale, 2013), and a search for the roster ends with what it has found
HEDGE_DELAY_US = 150_000


class QuorumMixin:
    """Owns the newest roster known to this process, the replicas it has learned of, and which voters failed last.

    :param seeds: the addresses to ask for the roster.
    :param own_address: this process's address if it is itself a replica; else empty.
    """

    def __init__(self, *, ctx: Context, seeds: tuple[str, ...], own_address: str = "") -> None:
        self.ctx = ctx
        self.seeds = seeds
        self.own_address = own_address
        self.roster: Roster | None = None
        self.known_replicas: dict[str, Voter] = {}
        # the identities of the voters whose last request failed
        self.failed: set[int] = set()

    # -- the roster --

    async def candidates(self) -> dict[str, Voter]:
        """Asks the seeds for their candidates; all replicas known then, by name."""
        await self.find_roster()
        return self.known_replicas

    async def current_roster(self) -> Roster | None:
        """The known roster; if there is none, the seeds are asked for it. None if none of them has one."""
        if self.roster is None:
            await self.find_roster()
        return self.roster

    async def find_roster(self) -> bool:
        """Asks the seeds and all known voters for the newest roster, and returns whether a roster is known.

        Answers that arrive after the return are still used.
        """
        voters = () if self.roster is None else tuple(voter.address for voter in self.roster.voters)
        pending = {
            self.ctx.spawn(work=self._request_roster(address=address), name="roster.request")
            for address in dict.fromkeys(self.seeds + voters)
        }
        found = False
        while pending:
            # a replica that is down must not delay the result; a roster found too old is replaced by the first answer
            # of a voter
            timeout_s = HEDGE_DELAY_US / 1_000_000 if found else None
            done, pending = await asyncio.wait(pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            found = found or any(task.result() for task in done)
        return self.roster is not None

    async def _request_roster(self, *, address: str) -> bool:
        """Asks one replica for the roster; whether it answered with one."""
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
        """Keeps a roster as the known one, if its epoch is later."""
        if self.roster is None or roster.epoch > self.roster.epoch:
            self.roster = roster

    async def send_roster(self, *, address: str, roster: Roster) -> bool:
        """Sends a roster to a replica; whether it has adopted it, or has one at least as new."""
        result = await self.ctx.peer_client.request(
            address=address, body=AdoptRequest(roster=roster).encode(), wait_us=REQUEST_TIMEOUT_US
        )
        return result.is_ok()

    async def broadcast_roster(self, *, roster: Roster) -> int:
        """Sends a roster to all its voters and waits for a majority; returns how many have adopted it by then."""
        requests = {
            self.ctx.spawn(work=self.send_roster(address=voter.address, roster=roster), name="roster.send")
            for voter in roster.voters
        }
        return await count_until_majority(requests=requests, majority=roster.majority)

    # -- requests to the voters --

    async def poll(
        self, *, roster: Roster, body: RequestBody, enough: Callable[[list[bytes]], bool], first: int = 0
    ) -> list[bytes]:
        """Sends a request to the voters; returns the answers that are votes, once they are enough or none is pending.

        :param enough: decides on the answers received so far.
        :param first: how many voters to ask first; the others are asked when one of these fails or does not answer
            within HEDGE_DELAY_US (a hedged request). 0 asks all at once.
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
        """Puts this process's own replica first, which needs no network, and recently failed voters last."""
        self.ctx.rng.shuffle(voters)
        voters.sort(key=lambda voter: (voter.ident in self.failed, voter.address != self.own_address))

    async def _request_vote(self, *, voter: Voter, roster: Roster, body: RequestBody, answers: list[bytes]) -> bool:
        """Sends the request to one voter and appends its vote to `answers`; False if it gave none."""
        result = await self.ctx.peer_client.request(address=voter.address, body=body, wait_us=REQUEST_TIMEOUT_US)
        if result.is_error() or not self._is_vote(answer=result.ok, voter=voter, roster=roster):
            self.failed.add(voter.ident)
            return False
        self.failed.discard(voter.ident)
        answers.append(result.ok)
        return True

    def _is_vote(self, *, answer: bytes, voter: Voter, roster: Roster) -> bool:
        """Whether an answer is a vote. If the rosters of the two sides differ, the older one is updated."""
        status = status_of(answer=answer)
        if status == Status.STALE:
            self.learn_roster(roster=StaleAnswer.decode(data=answer).roster)
        elif status == Status.AHEAD and roster.epoch > 0:
            self.ctx.spawn(work=self.send_roster(address=voter.address, roster=roster))
        return status in VOTE_STATUSES

    async def votes(self, *, roster: Roster, body: bytes, first: int = 0) -> list[VoteAnswer]:
        """The votes on a request, once a majority is OK or can no longer be reached. `first` as in `poll`."""

        def enough(answers: list[bytes]) -> bool:
            granted = sum(status_of(answer=answer) == Status.OK for answer in answers)
            refused = len(answers) - granted
            return granted >= roster.majority or refused > len(roster.voters) - roster.majority

        answers = await self.poll(roster=roster, body=body, enough=enough, first=first)
        return [VoteAnswer.decode(data=answer) for answer in answers]


def granted(*, votes: list[VoteAnswer]) -> list[VoteAnswer]:
    """The votes that are OK."""
    return [vote for vote in votes if vote.status == Status.OK]
