"""The acceptor of a register replica: its vote on every key (Paxos, Lamport 1998) and its grants of leases."""

from collections.abc import Callable

from ..runtime.context import Context
from ..runtime.unpacker import Unpacker
from .ballot import Ballot
from .cell import Cell
from .durable_state import cell_entry, roster_entry
from .group_commit import Applied, GroupCommit
from .lease_grants import MAX_LEASE_US, LeaseGrants
from .messages import (
    AcceptRequest,
    AdoptRequest,
    LeaseRequest,
    PrepareRequest,
    ReadRequest,
    SourceRevision,
    StaleAnswer,
    Status,
    StatusAnswer,
    VectorAnswer,
    VectorRequest,
    VoteAnswer,
)
from .roster import ROSTER_KEY, Roster, read_roster
from .store import Store


class Acceptor:
    """Answers requests for votes, leases and rosters; no answer leaves before what it rests on is on the disk.

    :param fresh: whether the disk was blank, so that nothing can have been granted before this start.
    :param halt: called with the reason when the disk fails, after which no answer is given any more.
    """

    def __init__(self, *, ctx: Context, store: Store, fresh: bool, halt: Callable[[str], None]) -> None:
        self.ctx = ctx
        self.state = store.state
        self.roster: Roster | None = read_roster(data=self.state.roster) if self.state.roster else None
        # each run of the process counts its revisions from the start, and must not be taken for an earlier one
        self.source = ctx.rng.getrandbits(62) | 1
        self.revision = 1
        self.revisions: dict[str, int] = {}
        # grants made before a restart are forgotten, so nothing is granted until the longest of them has ended
        self.grants = LeaseGrants(from_us=ctx.now_us() + (0 if fresh else MAX_LEASE_US))
        self.commits = GroupCommit(ctx=ctx, store=store, halt=halt)

    @property
    def epoch(self) -> int:
        """The epoch of the roster that is known here; 0 where there is none."""
        return 0 if self.roster is None else self.roster.epoch

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter of the roster that it knows."""
        return self.roster is not None and self.roster.has(ident=self.state.ident)

    # -- votes on keys --

    def _refusal(self, *, epoch: int, key: str) -> Applied | None:
        """The answer to a request whose epoch or key rules out a vote here; None where a vote may be given."""
        if epoch < self.epoch and self.roster is not None:
            return Applied(answer=StaleAnswer(roster=self.roster).encode())
        if epoch > self.epoch:
            return Applied(answer=StatusAnswer(status=Status.AHEAD).encode())
        # before there is a roster the seeds may vote on the roster alone
        may_vote = key == ROSTER_KEY if self.roster is None else self.is_voter
        return None if may_vote else Applied(answer=StatusAnswer(status=Status.NO_VOTE).encode())

    def _cell(self, *, key: str) -> Cell:
        return self.state.cells.get(key, Cell())

    def _set_cell(self, *, key: str, cell: Cell) -> bytes:
        """Replaces a cell; the log entry that makes it durable."""
        known = self.state.cells.get(key)
        if known is None or known.accepted != cell.accepted:
            self.revision += 1
            self.revisions[key] = self.revision
        self.state.cells[key] = cell
        return cell_entry(key=key, cell=cell)

    async def prepare(self, unpacker: Unpacker) -> bytes:
        """Answers a prepare request with a promise, or with the ballot that was promised before."""
        request = PrepareRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._prepare(request=request))

    def _prepare(self, *, request: PrepareRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key=request.key)
        if refusal is not None:
            return refusal
        cell = self._cell(key=request.key)
        # a promise excludes every lower ballot, and its own too, which only its proposer could send again
        if request.ballot <= cell.promised:
            return Applied(answer=vote_answer(status=Status.BEATEN, cell=cell))
        cell = Cell(promised=request.ballot, accepted=cell.accepted, value=cell.value)
        entry = self._set_cell(key=request.key, cell=cell)
        return Applied(answer=vote_answer(status=Status.OK, cell=cell), entries=(entry,))

    async def accept(self, unpacker: Unpacker) -> bytes:
        """Answers an accept request: accepts the value unless a higher ballot was promised."""
        request = AcceptRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._accept(request=request))

    def _accept(self, *, request: AcceptRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key=request.key)
        if refusal is not None:
            return refusal
        cell = self._cell(key=request.key)
        if request.ballot < cell.promised:
            return Applied(answer=vote_answer(status=Status.BEATEN, cell=cell))
        entry = self._set_cell(
            key=request.key, cell=Cell(promised=request.ballot, accepted=request.ballot, value=request.value)
        )
        # the proposer knows the value that it has just sent
        without_value = Cell(promised=request.ballot, accepted=request.ballot)
        return Applied(answer=vote_answer(status=Status.OK, cell=without_value), entries=(entry,))

    async def install(self, *, key: str, ballot: Ballot, value: bytes) -> None:
        """Takes a value from a snapshot, as if it had been accepted here when it was accepted elsewhere."""
        await self.commits.execute(command=lambda: self._install(key=key, ballot=ballot, value=value))

    def _install(self, *, key: str, ballot: Ballot, value: bytes) -> Applied:
        cell = self._cell(key=key)
        # a snapshot is of the past: a newer value that has come in meanwhile stays
        if ballot <= cell.accepted:
            return Applied(answer=b"")
        cell = Cell(promised=max(ballot, cell.promised), accepted=ballot, value=value)
        return Applied(answer=b"", entries=(self._set_cell(key=key, cell=cell),))

    async def read(self, unpacker: Unpacker) -> bytes:
        """Answers a read request with what is accepted here for a key."""
        request = ReadRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._read(request=request))

    def _read(self, *, request: ReadRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key=request.key)
        if refusal is not None:
            return refusal
        return Applied(answer=vote_answer(status=Status.OK, cell=self._cell(key=request.key)))

    async def vector(self, unpacker: Unpacker) -> bytes:
        """The ballot that each key was accepted at, or what changed since the revision that the requester has."""
        request = VectorRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._vector(request=request))

    def _vector(self, *, request: VectorRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key="")
        if refusal is not None:
            return refusal
        since = dict(request.known or ()).get(self.source, 0)
        # cells loaded from the disk have no revision; the first answer to each requester holds them all
        ballots = {
            key: cell.accepted
            for key, cell in self.state.cells.items()
            if cell.value and (not since or self.revisions.get(key, 0) > since)
        }
        known = None if request.known is None else SourceRevision(self.source, self.revision)
        return Applied(answer=VectorAnswer(known=known, ballots=ballots).encode())

    # -- leases --

    async def lease(self, unpacker: Unpacker) -> bytes:
        """Answers a lease request: grants, renews or releases the lease."""
        request = LeaseRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._lease(request=request))

    def _lease(self, *, request: LeaseRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key=f"lease/{request.lease}")
        if refusal is not None:
            return refusal
        status = self.grants.answer(request=request, now_us=self.ctx.now_us())
        return Applied(answer=StatusAnswer(status=status).encode())

    # -- rosters --

    async def adopt(self, unpacker: Unpacker) -> bytes:
        """Answers an adopt request: makes its roster this replica's own, unless it knows one as new."""
        # decoded before it is queued, so that a malformed roster fails its sender and not the queue
        request = AdoptRequest.decode(unpacker=unpacker)
        return await self.adopt_roster(roster=request.roster)

    async def adopt_roster(self, *, roster: Roster) -> bytes:
        """Makes a roster this replica's own, unless it knows one as new."""
        return await self.commits.execute(command=lambda: self._adopt(roster=roster))

    def _adopt(self, *, roster: Roster) -> Applied:
        answer = StatusAnswer(status=Status.OK).encode()
        # epochs only rise: an old roster that arrives again changes nothing
        if roster.epoch <= self.epoch:
            return Applied(answer=answer)
        becomes_voter = roster.has(ident=self.state.ident) and not self.is_voter
        # the voter that this one replaces may have granted a lease that has not ended yet
        if becomes_voter and roster.epoch > 1:
            self.grants.from_us = self.ctx.now_us() + MAX_LEASE_US
        self.roster = roster
        self.state.roster = roster.bytes()
        self.ctx.log.info("roster epoch %d: %s", roster.epoch, ",".join(v.name for v in roster.voters))
        cleared = () if self.is_voter else self._clear_cells()
        # the roster is the last entry: a torn write leaves either both or a roster that is adopted again
        return Applied(answer=answer, entries=(*cleared, roster_entry(data=self.state.roster)))

    def _clear_cells(self) -> tuple[bytes, ...]:
        """Discards the cells of an acceptor that is no voter; the log entries that make it durable.

        A value that it accepted and no majority did may carry a higher ballot than the one chosen since without it.
        Were it kept, the acceptor would bring that old value back as the newest when it becomes a voter again.
        """
        keys = [key for key, cell in self.state.cells.items() if cell != Cell()]
        return tuple(self._set_cell(key=key, cell=Cell()) for key in keys)


def vote_answer(*, status: Status, cell: Cell) -> bytes:
    """The encoded vote that tells a cell's content."""
    return VoteAnswer(status=status, promised=cell.promised, accepted=cell.accepted, value=cell.value).encode()
