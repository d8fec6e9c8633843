"""The register's client: reads and compare-and-set changes of single keys (CASPaxos: Rystsov, 2018).

There is no log and no leader: each key is a Paxos instance of its own, and the highest ballot wins.
"""

from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
from .ballot import Ballot
from .messages import AcceptRequest, PrepareRequest, ReadRequest, VoteAnswer
from .quorum import granted
from .roster import Roster, seed_roster
from .roster_change import Decide, RosterChangeMixin
from .versioned_value import VersionedValue

MAX_ROUNDS = 8
MAX_READS = 4
# random backoff before each further round; its upper bound grows by a step per lost round, so that competing
# proposers stop invalidating each other's ballots
MIN_BACKOFF_US = 5_000
BACKOFF_STEP_US = 40_000
# longest wait of a reader for a write in progress to finish
SETTLE_US = 60_000


@dataclass(frozen=True, kw_only=True)
class Retry:
    """A round failed in a way that is safe to repeat: no new value was sent."""


@dataclass(frozen=True, kw_only=True)
class Unsure:
    """A new value was sent without a known majority; deciding again could apply the change twice."""


Round = Result[VersionedValue, CinderstairError] | Retry | Unsure


class Register(RosterChangeMixin):
    """Owns this process's proposer id and the highest round it knows of, which give the next ballot."""

    def __init__(self, *, ctx: Context, seeds: tuple[str, ...], own_address: str = "") -> None:
        super().__init__(ctx=ctx, seeds=seeds, own_address=own_address)
        self.proposer = ctx.rng.getrandbits(63) | 1
        # the highest round of any ballot proposed here or seen in a vote
        self.highest_round = 0

    def _next_ballot(self) -> Ballot:
        self.highest_round += 1
        return Ballot(self.highest_round, self.proposer)

    def _unreachable(self, *, key: str) -> CinderstairError:
        reason = f"{key}: no majority of register replicas"
        return CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason=reason)

    # -- changes --

    async def change(
        self, *, key: str, decide: Decide, founding: bool = False
    ) -> Result[VersionedValue, CinderstairError]:
        """Replaces a key's value with the result of `decide` for the current value.

        An error from `decide` is returned only after a majority holds the value it was based on.
        registerUnreachable: nothing was written. registerUnsure: the change may or may not take effect later.

        :param founding: whether the seeds vote instead of a roster; only for choosing the first roster.
        """
        for round_number in range(MAX_ROUNDS):
            if round_number:
                backoff_us = self.ctx.rng.randrange(MIN_BACKOFF_US, BACKOFF_STEP_US * round_number)
                await self.ctx.sleep(duration_us=backoff_us)
            roster = seed_roster(addresses=self.seeds) if founding else await self.current_roster()
            if roster is None:
                continue
            outcome = await self._round(key=key, decide=decide, roster=roster)
            if isinstance(outcome, Unsure):
                reason = f"{key}: a write was cut short; read it back"
                return Error(CinderstairError(code=ErrorCode.REGISTER_UNSURE, reason=reason))
            if not isinstance(outcome, Retry):
                return outcome
        return Error(self._unreachable(key=key))

    async def _round(self, *, key: str, decide: Decide, roster: Roster) -> Round:
        """Runs both phases of Paxos with a new ballot."""
        ballot = self._next_ballot()
        promises = await self._prepare(key=key, ballot=ballot, roster=roster)
        if len(promises) < roster.majority:
            return Retry()
        newest = max(promises, key=lambda vote: vote.accepted)
        decision = decide(newest.value)
        if decision.is_ok():
            accepted = await self._accept(key=key, ballot=ballot, value=decision.ok, roster=roster)
            return Ok(VersionedValue(ballot=ballot, value=decision.ok)) if accepted else Unsure()
        # the refusal is based on this value, so a majority must hold it before the refusal is returned
        if newest.value and not await self._accept(key=key, ballot=ballot, value=newest.value, roster=roster):
            return Retry()
        return Error(decision.error)

    async def _prepare(self, *, key: str, ballot: Ballot, roster: Roster) -> list[VoteAnswer]:
        """Sends a prepare request; returns the promises received."""
        request = PrepareRequest(epoch=roster.epoch, key=key, ballot=ballot)
        votes = await self.votes(roster=roster, body=request.encode())
        for vote in votes:
            self.highest_round = max(self.highest_round, vote.promised.round)
        return granted(votes=votes)

    async def _accept(self, *, key: str, ballot: Ballot, value: bytes, roster: Roster) -> bool:
        """Sends an accept request; whether a majority accepted the value."""
        request = AcceptRequest(epoch=roster.epoch, key=key, ballot=ballot, value=value)
        votes = await self.votes(roster=roster, body=request.encode())
        return len(granted(votes=votes)) >= roster.majority

    # -- reads --

    async def read(self, *, key: str) -> Result[VersionedValue, CinderstairError]:
        """The value of a key that a majority holds; a value found on fewer voters is written to a majority first.

        registerUnreachable: no majority answers.
        """
        for attempt in range(MAX_READS):
            roster = await self.current_roster()
            if roster is None:
                continue
            votes = await self._read_votes(key=key, roster=roster)
            if len(votes) >= roster.majority:
                newest = max(votes, key=lambda vote: vote.accepted)
                if sum(vote.accepted == newest.accepted for vote in votes) >= roster.majority:
                    return Ok(VersionedValue(ballot=newest.accepted, value=newest.value))
                # usually the writer is about to finish; if many readers completed the write, their ballots would
                # compete, and each attempt sends the full value
                if attempt + 2 < MAX_READS:
                    await self.ctx.sleep(duration_us=self.ctx.rng.randrange(SETTLE_US // 2, SETTLE_US))
                    continue
            completed = await self.change(key=key, decide=Ok)
            if completed.is_ok():
                return completed
        return Error(self._unreachable(key=key))

    async def _read_votes(self, *, key: str, roster: Roster) -> list[VoteAnswer]:
        """The votes of a majority for a key. Each contains the full value, so only a majority is asked at first."""
        request = ReadRequest(epoch=roster.epoch, key=key)
        votes = await self.votes(roster=roster, body=request.encode(), first=roster.majority)
        return granted(votes=votes)
