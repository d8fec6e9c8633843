"""Bugs patched into the consensus code, each of which the explorer must find in one of the models."""

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from typing import Any
from unittest.mock import patch

from expression import Error, Ok, Result

from ...consensus import lease
from ...consensus.acceptor import Acceptor, vote_answer
from ...consensus.cell import Cell
from ...consensus.durable_state import cell_entry
from ...consensus.group_commit import Applied, GroupCommit
from ...consensus.lease import Lease
from ...consensus.messages import AcceptRequest, Status
from ...consensus.register import Register
from ...consensus.roster import ROSTER_KEY, Roster, Voter, read_roster
from ...consensus.voter_replacement import VoterReplacement
from ...runtime.errors import CinderstairError, ErrorCode

Patches = list[Any]


def answers_before_sync() -> Patches:
    """A register replica answers before it syncs."""

    async def work(self: Any) -> None:
        while True:
            command = await self.queue.get()
            result = command.apply()
            command.answer.set_result(result.answer)
            if result.entries:
                await self.store.disk.run_in_background(work=partial(self.store.save, entries=result.entries))

    return [patch.object(GroupCommit, "_process_commands", work)]


def accepts_any_ballot() -> Patches:
    """A register replica accepts any ballot, also one below its promise."""

    def accept(self: Any, *, request: AcceptRequest) -> Applied:
        refusal: Applied | None = self._refusal(epoch=request.epoch, key=request.key)
        if refusal is not None:
            return refusal
        cell = Cell(promised=request.ballot, accepted=request.ballot, value=request.value)
        self.state.cells[request.key] = cell
        entry = cell_entry(key=request.key, cell=cell)
        return Applied(answer=vote_answer(status=Status.OK, cell=cell), entries=(entry,))

    return [patch.object(Acceptor, "_accept", accept)]


def blank_replica_votes() -> Patches:
    """A blank register replica votes in place of the one that lost its disk."""
    original = Acceptor._refusal

    def refuse_other_epochs_only(self: Any, *, epoch: int, key: str) -> Applied | None:
        # Lets non-voters vote; requests of another epoch are still refused.
        return original(self, epoch=epoch, key=key) if epoch != self.epoch else None

    return [patch.object(Acceptor, "_refusal", refuse_other_epochs_only)]


def no_lease_margin() -> Patches:
    """A lease holder uses its lease up to its end, without the safety margin."""
    return [patch.object(lease, "MARGIN_US", 0)]


def grants_after_restart() -> Patches:
    """A restarted register replica grants leases at once, although earlier grants may still run."""
    init = Acceptor.__init__

    def fresh(self: Any, **given: Any) -> None:
        init(self, **{**given, "fresh": True})

    return [patch.object(Acceptor, "__init__", fresh)]


def reuses_lease_number() -> Patches:
    """A daemon acquires a lease again under the number that it gave back."""

    async def give_back(self: Any) -> None:
        await self._request(holder=self.holder, length_us=0)

    return [patch.object(Lease, "_give_back", give_back)]


def skips_lease_wait() -> Patches:
    """A second voter is removed without waiting until leases of earlier rosters have expired."""

    async def skip_wait(self: Any, *, roster: Roster) -> Result[None, CinderstairError]:
        return Ok(None)

    return [patch.object(VoterReplacement, "_await_lease_ends", skip_wait)]


async def change_roster_unchecked(
    self: Any, *, alter: Callable[[Roster], Roster]
) -> Result[Roster, CinderstairError]:
    """Like Register.change_roster, without its checks of the size of the change and of concurrent changes."""
    highest = await self.vector()
    for key in highest.ok if highest.is_ok() else ():
        kept = await self.change(key=key, decide=Ok)
        if kept.is_error():
            return Error(kept.error)
    current = self.roster
    wanted = alter(current)

    def decide(data: bytes) -> Result[bytes, CinderstairError]:
        if data and read_roster(data=data).epoch != current.epoch:
            return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="another change of roster came first"))
        return Ok(wanted.bytes())

    chosen = await self.change(key=ROSTER_KEY, decide=decide)
    if chosen.is_error():
        return Error(chosen.error)
    self.learn_roster(roster=wanted)
    await self.broadcast_roster(roster=wanted)
    return Ok(wanted)


def continues_after_concurrent_change() -> Patches:
    """A roster change builds on another one that was chosen while it rewrote the keys, instead of failing."""
    return [patch.object(Register, "change_roster", change_roster_unchecked)]


def keeps_removed_voter_cells() -> Patches:
    """A register replica that was removed as a voter keeps its accepted values."""
    return [patch.object(Acceptor, "_clear_cells", lambda self: ())]


def readds_voter_with_stale_roster() -> Patches:
    """A register replica is made a voter again without having adopted the roster that removed it."""

    original = Register.send_roster

    async def send_roster(self: Any, *, address: str, roster: Roster) -> bool:
        voting = any(voter.address == address for voter in roster.voters)
        return await original(self, address=address, roster=roster) if voting else True

    return [patch.object(Register, "send_roster", send_roster)]


def replaces_two_voters() -> Patches:
    """A replacement changes two voters in one roster change."""

    async def replace_voter(
        self: Any, *, leaves: str, enters: Voter, max_voters: int
    ) -> Result[Roster, CinderstairError]:
        def alter(current: Roster) -> Roster:
            stay = tuple(voter for voter in current.voters if voter.name != leaves)
            return Roster(epoch=current.epoch + 1, voters=(*stay, enters))

        return await change_roster_unchecked(self.register, alter=alter)

    return [patch.object(VoterReplacement, "replace_voter", replace_voter)]


SEEDED_BUGS: dict[str, Callable[[], Patches]] = {
    each.__name__: each
    for each in (
        answers_before_sync,
        accepts_any_ballot,
        blank_replica_votes,
        no_lease_margin,
        grants_after_restart,
        reuses_lease_number,
        skips_lease_wait,
        continues_after_concurrent_change,
        keeps_removed_voter_cells,
        readds_voter_with_stale_roster,
        replaces_two_voters,
    )
}


@contextmanager
def with_seeded_bug(*, name: str) -> Iterator[None]:
    """Runs the enclosed code with a seeded bug; an empty name enables none."""
    with ExitStack() as stack:
        for each in SEEDED_BUGS[name]() if name else []:
            stack.enter_context(each)
        yield
