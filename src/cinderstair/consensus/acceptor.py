"""The Paxos acceptor of a register replica (Lamport, The Part-Time Parliament, 1998), and its lease grants."""

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
    """Owns the Paxos state of every key, the adopted roster and the lease grants, and answers requests for them.

    An answer is sent only after the log entries that it depends on are synced. Lease grants are kept in memory only.

    :param fresh: whether the disk was blank, so that no earlier run can have granted a lease.
    :param halt: called with the reason when the disk fails; no request is answered after that.
    """

    def __init__(self, *, ctx: Context, store: Store, fresh: bool, halt: Callable[[str], None]) -> None:
        self.ctx = ctx
        self.state = store.state
        self.roster: Roster | None = read_roster(data=self.state.roster) if self.state.roster else None
        # revisions restart from 1 with each run of the process, so a random id distinguishes the runs
        self.source = ctx.rng.getrandbits(62) | 1
        self.revision = 1
        self.revisions: dict[str, int] = {}
        # grants are lost in a restart, so nothing is granted until the longest earlier grant must have expired
        self.grants = LeaseGrants(from_us=ctx.now_us() + (0 if fresh else MAX_LEASE_US))
        self.commits = GroupCommit(ctx=ctx, store=store, halt=halt)

    @property
    def epoch(self) -> int:
        """The epoch of the adopted roster; 0 if there is none."""
        return 0 if self.roster is None else self.roster.epoch

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter of the adopted roster."""
        return self.roster is not None and self.roster.has(ident=self.state.ident)

    # -- votes on keys --

    def _refusal(self, *, epoch: int, key: str) -> Applied | None:
        """The answer to a request that this acceptor may not vote on because of its epoch or key; None if it may."""
        if epoch < self.epoch and self.roster is not None:
            return Applied(answer=StaleAnswer(roster=self.roster).encode())
        if epoch > self.epoch:
            return Applied(answer=StatusAnswer(status=Status.AHEAD).encode())
        # before the first roster is chosen, seeds vote only on the roster key
        may_vote = key == ROSTER_KEY if self.roster is None else self.is_voter
        return None if may_vote else Applied(answer=StatusAnswer(status=Status.NO_VOTE).encode())

    def _cell(self, *, key: str) -> Cell:
        return self.state.cells.get(key, Cell())

    def _set_cell(self, *, key: str, cell: Cell) -> bytes:
        """Replaces a cell and returns the log entry that makes the change durable."""
        known = self.state.cells.get(key)
        if known is None or known.accepted != cell.accepted:
            self.revision += 1
            self.revisions[key] = self.revision
        self.state.cells[key] = cell
        return cell_entry(key=key, cell=cell)

    async def prepare(self, unpacker: Unpacker) -> bytes:
        """Answers a prepare request: OK is a promise; REFUSED carries the higher or equal ballot already promised."""
        request = PrepareRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._prepare(request=request))

    def _prepare(self, *, request: PrepareRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key=request.key)
        if refusal is not None:
            return refusal
        cell = self._cell(key=request.key)
        # a promise rejects lower ballots, and also an equal one: only a repeated request could carry it
        if request.ballot <= cell.promised:
            return Applied(answer=vote_answer(status=Status.REFUSED, cell=cell))
        cell = Cell(promised=request.ballot, accepted=cell.accepted, value=cell.value)
        entry = self._set_cell(key=request.key, cell=cell)
        return Applied(answer=vote_answer(status=Status.OK, cell=cell), entries=(entry,))

    async def accept(self, unpacker: Unpacker) -> bytes:
        """Answers an accept request: accepts the value unless a higher ballot is promised (REFUSED)."""
        request = AcceptRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._accept(request=request))

    def _accept(self, *, request: AcceptRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key=request.key)
        if refusal is not None:
            return refusal
        cell = self._cell(key=request.key)
        if request.ballot < cell.promised:
            return Applied(answer=vote_answer(status=Status.REFUSED, cell=cell))
        entry = self._set_cell(
            key=request.key, cell=Cell(promised=request.ballot, accepted=request.ballot, value=request.value)
        )
        # the value is left out of the answer, since the proposer has just sent it
        without_value = Cell(promised=request.ballot, accepted=request.ballot)
        return Applied(answer=vote_answer(status=Status.OK, cell=without_value), entries=(entry,))

    async def install(self, *, key: str, ballot: Ballot, value: bytes) -> None:
        """Installs a value from a snapshot as accepted under its ballot, unless a value as new is held."""
        await self.commits.execute(command=lambda: self._install(key=key, ballot=ballot, value=value))

    def _install(self, *, key: str, ballot: Ballot, value: bytes) -> Applied:
        cell = self._cell(key=key)
        # a value accepted since the snapshot was read is newer and is kept
        if ballot <= cell.accepted:
            return Applied(answer=b"")
        cell = Cell(promised=max(ballot, cell.promised), accepted=ballot, value=value)
        return Applied(answer=b"", entries=(self._set_cell(key=key, cell=cell),))

    async def read(self, unpacker: Unpacker) -> bytes:
        """Answers a read request with the ballots and the value that this acceptor holds for a key."""
        request = ReadRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._read(request=request))

    def _read(self, *, request: ReadRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key=request.key)
        if refusal is not None:
            return refusal
        return Applied(answer=vote_answer(status=Status.OK, cell=self._cell(key=request.key)))

    async def vector(self, unpacker: Unpacker) -> bytes:
        """Answers a vector request with the accepted ballots of all keys, or of those changed since a revision."""
        request = VectorRequest.decode(unpacker=unpacker)
        return await self.commits.execute(command=lambda: self._vector(request=request))

    def _vector(self, *, request: VectorRequest) -> Applied:
        refusal = self._refusal(epoch=request.epoch, key="")
        if refusal is not None:
            return refusal
        since = dict(request.known or ()).get(self.source, 0)
        # cells loaded from disk have no revision; a requester that knows no revision of this run gets all keys
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
        """Answers an adopt request; see `adopt_roster`."""
        # decoded before it is queued, so that a malformed roster fails this request and not the command queue
        request = AdoptRequest.decode(unpacker=unpacker)
        return await self.adopt_roster(roster=request.roster)

    async def adopt_roster(self, *, roster: Roster) -> bytes:
        """Adopts a roster, unless the adopted one has the same or a later epoch; answers OK in both cases."""
        return await self.commits.execute(command=lambda: self._adopt(roster=roster))

    def _adopt(self, *, roster: Roster) -> Applied:
        answer = StatusAnswer(status=Status.OK).encode()
        # epochs only increase, so a delayed or repeated roster has no effect
        if roster.epoch <= self.epoch:
            return Applied(answer=answer)
        becomes_voter = roster.has(ident=self.state.ident) and not self.is_voter
        # the replaced voter may have granted a lease that has not expired yet
        if becomes_voter and roster.epoch > 1:
            self.grants.from_us = self.ctx.now_us() + MAX_LEASE_US
        self.roster = roster
        self.state.roster = roster.bytes()
        self.ctx.log.info(
            "adopted roster epoch %d, voters: %s", roster.epoch, ",".join(v.name for v in roster.voters)
        )
        cleared = () if self.is_voter else self._clear_cells()
        # the roster entry is last: if a torn write loses it, the roster is adopted and the cells are cleared again
        return Applied(answer=answer, entries=(*cleared, roster_entry(data=self.state.roster)))

    def _clear_cells(self) -> tuple[bytes, ...]:
        """Clears the cells of an acceptor that is not a voter, and returns the log entries that make it durable.

        A value accepted here, but by no majority, may have a higher ballot than a value chosen later without this
        acceptor. If it were kept, it would be read as the newest value once the acceptor becomes a voter again.
        """
        keys = [key for key, cell in self.state.cells.items() if cell != Cell()]
        return tuple(self._set_cell(key=key, cell=Cell()) for key in keys)


def vote_answer(*, status: Status, cell: Cell) -> bytes:
    """The encoded vote answer with a cell's ballots and value."""
    return VoteAnswer(status=status, promised=cell.promised, accepted=cell.accepted, value=cell.value).encode()
