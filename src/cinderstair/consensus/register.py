"""The register's client: reads and changes of single keys by ballots (CASPaxos: Rystsov, 2018).

There is no log and no leader: each key is a Paxos instance of its own, and the highest ballot wins.
"""

from dataclasses import dataclass

from expression import Error, Ok, Result

from ..runtime.context import Context
from ..runtime.errors import CinderstairError, ErrorCode
<<<<<<< HEAD
from .ballot import Ballot
from .messages import AcceptRequest, PrepareRequest, ReadRequest, VoteAnswer
from .quorum import granted
from .roster import Roster, seed_roster
from .roster_change import Decide, RosterChangeMixin
from .versioned_value import VersionedValue
=======
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.peer_client import RequestBody
from ..runtime.unpacker import Unpacker
from .acceptor import AHEAD, BEATEN, OK, ROSTER_KEY, SINCE, STALE
from .ballot import BLANK, Ballot, read_ballot
from .known_vectors import KnownVectors
from .roster import Roster, Voter, read_roster, read_voter, seed_roster
>>>>>>> h-runtime

MAX_ROUNDS = 8
MAX_READS = 4
# before each further round a proposer waits at random between these, the longer the more rounds it has lost, so that
# two that beat each other fall out of step
MIN_BACKOFF_US = 5_000
BACKOFF_STEP_US = 40_000
# how long a reader waits at most for a writer to finish
SETTLE_US = 60_000


@dataclass(frozen=True, kw_only=True)
class Retry:
    """A round failed before any value was sent, so it may be begun again."""


@dataclass(frozen=True, kw_only=True)
class Unsure:
    """A value was sent, and no majority is known to have accepted it; a second decision could take effect twice."""


Round = Result[VersionedValue, CinderstairError] | Retry | Unsure


class Register(RosterChangeMixin):
    """Each key is changed by its own ballots: prepare at a majority, then accept at a majority."""

    def __init__(self, *, ctx: Context, seeds: tuple[str, ...], own: str = "") -> None:
        super().__init__(ctx=ctx, seeds=seeds, own=own)
        self.proposer = ctx.rng.getrandbits(63) | 1
        # the highest turn of any ballot seen or used
        self.count = 0

<<<<<<< HEAD
    def _next_ballot(self) -> Ballot:
        self.count += 1
=======
    async def candidates(self) -> dict[str, Voter]:
        """Every register replica that the seeds have met, by name."""
        await self.find_roster()
        return self.met

    async def find_roster(self) -> bool:
        """Asks the seeds, and every register replica known, for the newest roster.

        What comes late is still taken in.
        """
        known = () if self.roster is None else tuple(v.address for v in self.roster.voters)
        pending = {
            self.ctx.spawn(work=self._ask_roster(address=address), name="roster.ask")
            for address in dict.fromkeys(self.seeds + known)
        }
        found = False
        while pending:
            # why: one that is dark must not hold up what the others have told; an older roster is told to be one
            wait_s = HEDGE_US / 1_000_000 if found else None
            done, pending = await asyncio.wait(pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if not done:
                break
            found = found or any(task.result() for task in done)
        return self.roster is not None

    async def _ask_roster(self, *, address: str) -> bool:
        """Whether the register replica at an address answered with a roster."""
        body = Packer().u8(value=MessageType.JOIN_REQUEST).u64(value=0).text(value="").text(value="").bytes()
        result = await self.ctx.peer_client.request(address=address, body=body, wait_us=ASK_WAIT_US)
        if result.is_error():
            return False
        unpacker = Unpacker(data=result.ok)
        unpacker.u8()
        data = unpacker.blob()
        for voter in unpacker.many(each=lambda u: read_voter(unpacker=u)):
            self.met[voter.name] = voter
        if data:
            self.learn_roster(roster=read_roster(data=data))
        return bool(data)

    def learn_roster(self, *, roster: Roster) -> None:
        if self.roster is None or roster.epoch > self.roster.epoch:
            self.roster = roster

    async def poll(
        self, *, roster: Roster, body: RequestBody, enough: Callable[[list[bytes]], bool], first: int = 0
    ) -> list[bytes]:
        """Asks all voters and returns as soon as the answers that came are enough, or all have come.

        With `first` only so many are asked at once, and the others as soon as one of those fails or is late.
        """
        answers: list[bytes] = []

        async def one(voter: Voter) -> bool:
            result = await self.ctx.peer_client.request(address=voter.address, body=body, wait_us=ASK_WAIT_US)
            heard = result.is_ok() and not self._heed(data=result.ok, voter=voter, roster=roster)
            # why: whoever failed last time is asked last, so that a lost register replica costs one late answer
            # and no more
            (self.failed.discard if heard else self.failed.add)(voter.ident)
            if heard:
                answers.append(result.ok)
            return heard

        voters = list(roster.voters)
        if first:
            self.ctx.rng.shuffle(voters)
            # why: a register replica's own vote costs no journey
            voters.sort(key=lambda voter: (voter.ident in self.failed, voter.address != self.own))
        later = voters[first:] if first else []
        pending = {self.ctx.spawn(work=one(voter)) for voter in voters[: len(voters) - len(later)]}
        while pending and not enough(answers):
            wait_s = HEDGE_US / 1_000_000 if later else None
            done, pending = await asyncio.wait(pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED)
            if later and not enough(answers) and (not done or not all(task.result() for task in done)):
                pending |= {self.ctx.spawn(work=one(voter)) for voter in later}
                later = []
        return answers

    def _heed(self, *, data: bytes, voter: Voter, roster: Roster) -> bool:
        """Takes in what an answer says of rosters; True where it was that and no vote."""
        status = data[0] if data else AHEAD
        if status == STALE:
            unpacker = Unpacker(data=data[1:])
            self.learn_roster(roster=read_roster(data=unpacker.blob()))
            return True
        if status == AHEAD and roster.epoch > 0:
            # why: a register replica that missed the roster's change can vote again as soon as it is told
            self.ctx.spawn(work=self.tell(address=voter.address, roster=roster))
            return True
        return status not in (OK, BEATEN, SINCE)

    async def tell(self, *, address: str, roster: Roster) -> bool:
        """Whether the register replica at an address has made a roster its own, or one as new."""
        body = Packer().u8(value=MessageType.ADOPT).blob(value=roster.bytes()).bytes()
        result = await self.ctx.peer_client.request(address=address, body=body, wait_us=ASK_WAIT_US)
        return result.is_ok()

    async def tell_all(self, *, roster: Roster) -> int:
        """How many of a roster's voters have taken it as theirs: a majority is waited for, all are told."""
        pending = {
            self.ctx.spawn(work=self.tell(address=voter.address, roster=roster), name="roster.tell")
            for voter in roster.voters
        }
        acknowledged = 0
        while pending and acknowledged < roster.majority:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            acknowledged += sum(task.result() for task in done)
        return acknowledged

    def _ballot(self, *, above: Ballot) -> Ballot:
        self.count = max(self.count, above.turn) + 1
>>>>>>> h-runtime
        return Ballot(self.count, self.proposer)

    def _unreachable(self, *, key: str) -> CinderstairError:
        reason = f"{key}: no majority of register replicas"
        return CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason=reason)

    # -- changes --

    async def change(
        self, *, key: str, decide: Decide, founding: bool = False
    ) -> Result[VersionedValue, CinderstairError]:
        """Replaces a key's value by what `decide` makes of the current one.

        An error from `decide` is given back only after the value it judged is held by a majority.
        registerUnreachable: nothing was written. registerUnsure: the change may come to be, or may not.

        :param founding: whether the seeds vote, as they do on the first roster alone.
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
        """One ballot: both phases of Paxos."""
        ballot = self._next_ballot()
        promises = await self._prepare(key=key, ballot=ballot, roster=roster)
        if len(promises) < roster.majority:
            return Retry()
        newest = max(promises, key=lambda vote: vote.accepted)
        decision = decide(newest.value)
        if decision.is_ok():
            accepted = await self._accept(key=key, ballot=ballot, value=decision.ok, roster=roster)
            return Ok(VersionedValue(ballot=ballot, value=decision.ok)) if accepted else Unsure()
        # a decision against the change still rests on a value, which must be sure to stay
        if newest.value and not await self._accept(key=key, ballot=ballot, value=newest.value, roster=roster):
            return Retry()
        return Error(decision.error)

<<<<<<< HEAD
    async def _prepare(self, *, key: str, ballot: Ballot, roster: Roster) -> list[VoteAnswer]:
        """The promises given to a ballot."""
        request = PrepareRequest(epoch=roster.epoch, key=key, ballot=ballot)
        votes = await self.votes(roster=roster, body=request.encode())
        for vote in votes:
            self.count = max(self.count, vote.promised.turn)
        return granted(votes=votes)
=======
    async def _round(self, *, key: str, decide: Decide, roster: Roster) -> Result[Found, CinderstairError] | bool:
        """One ballot. False: it failed before any value was sent; True: a value was sent, and no majority."""
        ballot = self._ballot(above=BLANK)
        packer = Packer().u8(value=MessageType.PREPARE).u32(value=roster.epoch).text(value=key)
        ballot.write(packer=packer)
        votes = await self._votes(roster=roster, body=packer.bytes(), status=OK)
        granted = [vote for vote in votes if vote.status == OK]
        for vote in votes:
            self.count = max(self.count, vote.promised.turn)
        if len(granted) < roster.majority:
            return False
        newest = max(granted, key=lambda vote: vote.accepted)
        decision = decide(newest.value)
        # why: a decision against the change still rests on a value, which must be sure to stay
        value = decision.ok if decision.is_ok() else newest.value
        if decision.is_error() and not newest.value:
            return Error(decision.error)
        packer = Packer().u8(value=MessageType.ACCEPT).u32(value=roster.epoch).text(value=key)
        ballot.write(packer=packer)
        packer.blob(value=value)
        votes = await self._votes(roster=roster, body=packer.bytes(), status=OK)
        if sum(vote.status == OK for vote in votes) < roster.majority:
            return decision.is_ok()
        if decision.is_error():
            return Error(decision.error)
        return Ok(Found(ballot=ballot, value=value))
>>>>>>> h-runtime

    async def _accept(self, *, key: str, ballot: Ballot, value: bytes, roster: Roster) -> bool:
        """Whether a majority has accepted a value."""
        request = AcceptRequest(epoch=roster.epoch, key=key, ballot=ballot, value=value)
        votes = await self.votes(roster=roster, body=request.encode())
        return len(granted(votes=votes)) >= roster.majority

    # -- reads --

    async def read(self, *, key: str) -> Result[VersionedValue, CinderstairError]:
        """The key's value as a majority holds it; one that is found on fewer is completed first.

        registerUnreachable: no majority answers.
        """
        for attempt in range(MAX_READS):
            roster = await self.current_roster()
            if roster is None:
                continue
<<<<<<< HEAD
            votes = await self._read_votes(key=key, roster=roster)
            if len(votes) >= roster.majority:
                newest = max(votes, key=lambda vote: vote.accepted)
                if sum(vote.accepted == newest.accepted for vote in votes) >= roster.majority:
                    return Ok(VersionedValue(ballot=newest.accepted, value=newest.value))
                # most often its writer is just finishing; many readers that completed the write for it would only
=======
            roster = self.roster
            assert roster is not None
            body = Packer().u8(value=MessageType.READ).u32(value=roster.epoch).text(value=key).bytes()
            # why: each answer brings the whole value, and the others are asked as soon as one is late
            votes = await self._votes(roster=roster, body=body, status=OK, first=roster.majority)
            granted = [vote for vote in votes if vote.status == OK]
            if len(granted) >= roster.majority:
                newest = max(granted, key=lambda vote: vote.accepted)
                if sum(vote.accepted == newest.accepted for vote in granted) >= roster.majority:
                    return Ok(Found(ballot=newest.accepted, value=newest.value))
                # why: most often its writer is just finishing; many readers that completed it for it would only
>>>>>>> h-runtime
                # beat one another's ballots, each with the whole value
                if attempt + 2 < MAX_READS:
                    await self.ctx.sleep(duration_us=self.ctx.rng.randrange(SETTLE_US // 2, SETTLE_US))
                    continue
            completed = await self.change(key=key, decide=Ok)
            if completed.is_ok():
                return completed
        return Error(self._unreachable(key=key))

<<<<<<< HEAD
    async def _read_votes(self, *, key: str, roster: Roster) -> list[VoteAnswer]:
        """What the voters hold for a key. Each answer brings the whole value, so only a majority is asked at once."""
        request = ReadRequest(epoch=roster.epoch, key=key)
        votes = await self.votes(roster=roster, body=request.encode(), first=roster.majority)
        return granted(votes=votes)
=======
    async def vector(self) -> Result[dict[str, Ballot], CinderstairError]:
        """For every key, the highest ballot that a majority of register replicas have accepted anything at."""
        if self.roster is None and not await self.find_roster():
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))
        roster = self.roster
        assert roster is not None

        def body(version: int) -> bytes:
            packer = Packer().u8(value=MessageType.VECTOR).u32(value=roster.epoch)
            return (self.known.write(packer=packer) if version > 1 else packer).bytes()

        answers = await self.poll(
            roster=roster, body=body, enough=lambda got: len(got) >= roster.majority, first=roster.majority
        )
        if len(answers) < roster.majority:
            return Error(
                CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no majority of register replicas")
            )
        return Ok(self.known.read(answers=answers))

    async def _keep_all(self) -> Result[None, CinderstairError]:
        """Makes sure that a majority of the present roster holds every key's newest value.

        What only the roster before last held must be held by this one before another change is made. Where the
        answers of a majority agree on a key's ballot, it is held already; the others are written again.
        """
        highest = await self.vector()
        if highest.is_error():
            return Error(highest.error)
        lagging = self.known.lagging()
        for first in range(0, len(lagging), READ_TOGETHER):
            keys = lagging[first : first + READ_TOGETHER]
            for found in await asyncio.gather(*(self.change(key=key, decide=Ok) for key in keys)):
                if found.is_error():
                    return Error(found.error)
        return Ok(None)

    async def snapshot(self) -> Result[dict[str, Found], CinderstairError]:
        """Every key's value as a majority holds it."""
        highest = await self.vector()
        if highest.is_error():
            return Error(highest.error)
        values: dict[str, Found] = {}
        names = sorted(highest.ok)
        for first in range(0, len(names), READ_TOGETHER):
            keys = names[first : first + READ_TOGETHER]
            for key, found in zip(keys, await asyncio.gather(*(self.read(key=key) for key in keys)), strict=True):
                if found.is_error():
                    return Error(found.error)
                values[key] = found.ok
        return Ok(values)

    async def change_roster(self, *, alter: Callable[[Roster], Roster]) -> Result[Roster, CinderstairError]:
        """Moves to the next roster, which differs by one voter, so that every majority of the two meets.

        `alter` is given the roster that is known when this begins. versionTaken: another change came first.
        """
        if self.roster is None and not await self.find_roster():
            return Error(CinderstairError(code=ErrorCode.REGISTER_UNREACHABLE, reason="no roster"))
        current = self.roster
        assert current is not None
        kept = await self._keep_all()
        if kept.is_error():
            return Error(kept.error)
        # why: keys written again under the roster before this one may lie where no majority of the next one looks
        if self.roster != current:
            return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="another change of roster came first"))
        wanted = alter(current)
        changed = {v.ident for v in wanted.voters} ^ {v.ident for v in current.voters}
        if len(changed) != 1 or wanted.epoch != current.epoch + 1:
            return Error(CinderstairError(code=ErrorCode.INTERNAL, reason="a roster changes by one voter at a time"))

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            # why: another change may have come first, and ours was made against the roster before it
            if data and read_roster(data=data).epoch != current.epoch:
                return Error(
                    CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="another change of roster came first")
                )
            return Ok(wanted.bytes())

        chosen = await self.change(key=ROSTER_KEY, decide=decide)
        if chosen.is_error():
            return Error(chosen.error)
        self.learn_roster(roster=wanted)
        acknowledged = await self.tell_all(roster=wanted)
        if acknowledged < wanted.majority:
            return Error(
                CinderstairError(
                    code=ErrorCode.REGISTER_UNSURE, reason="the new roster is not known to a majority yet"
                )
            )
        return Ok(wanted)
>>>>>>> h-runtime
