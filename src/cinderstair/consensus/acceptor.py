"""The owner of a register replica's cells and leases: one vote of the register."""

import asyncio
from collections.abc import Callable
from functools import partial

from ..runtime.context import Context
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .ballot import Ballot, read_ballot
from .cell import Cell
from .roster import Roster, read_roster
from .store import Store, cell_entry, roster_entry

OK, BEATEN, STALE, AHEAD, NO_VOTE, SINCE = 0, 1, 2, 3, 4, 5
ROSTER_KEY = "roster"
LONGEST_LEASE_US = 2_000_000
MOST_VALUE_BYTES = 4 * 1024 * 1024
MOST_SOURCES = 64
Applied = tuple[bytes, list[bytes]]


class Acceptor:
    """Works through its commands in batches: all are applied, one sync covers them, then all are answered."""

    def __init__(self, *, ctx: Context, store: Store, fresh: bool, halt: Callable[[str], None]) -> None:
        self.ctx = ctx
        self.store = store
        self.held = store.held
        self.halt = halt
        self.roster: Roster | None = read_roster(data=self.held.roster) if self.held.roster else None
        self.leases: dict[str, tuple[int, int]] = {}
        # why: a life of its own counts its editions from nothing, and must not be taken for the one before
        self.source = ctx.rng.getrandbits(62) | 1
        self.edition = 1
        self.editions: dict[str, int] = {}
        # why: what was granted before a restart is forgotten, so nothing is granted until it has run out
        self.grants_from_us = ctx.now_us() + (0 if fresh else LONGEST_LEASE_US)
        self.commands: asyncio.Queue[tuple[Callable[[], Applied], asyncio.Future[bytes]]] = asyncio.Queue()
        self.halted = False
        ctx.spawn(work=self._work(), name="acceptor")

    async def _work(self) -> None:
        while not self.halted:
            batch = [await self.commands.get()]
            while not self.commands.empty():
                batch.append(self.commands.get_nowait())
            applied = [(command(), future) for command, future in batch]
            entries = [entry for (_, each), _ in applied for entry in each]
            if entries:
                try:
                    await self.store.disk.run_in_background(work=partial(self.store.save, entries=entries))
                except OSError as error:
                    # why: after a failed sync nobody knows what the disk holds; no answer may leave, now or later
                    self.halted = True
                    self.halt(f"disk failed: {error}")
                    return
                self.ctx.counters.add(name="vault.syncs")
            for (response, _), future in applied:
                if not future.done():
                    future.set_result(response)

    async def _order(self, *, command: Callable[[], Applied]) -> bytes:
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.commands.put_nowait((command, future))
        return await future

    def _barred(self, *, epoch: int, key: str) -> bytes | None:
        """Why a vote can't be given under this epoch; None where it can."""
        mine = 0 if self.roster is None else self.roster.epoch
        if epoch < mine and self.roster is not None:
            return Packer().u8(value=STALE).blob(value=self.roster.bytes()).bytes()
        if epoch > mine:
            return Packer().u8(value=AHEAD).bytes()
        # why: before there is a roster the seeds may vote on the roster and on nothing else
        if self.roster is None and key != ROSTER_KEY:
            return Packer().u8(value=NO_VOTE).bytes()
        if self.roster is not None and not self.roster.has(ident=self.held.ident):
            return Packer().u8(value=NO_VOTE).bytes()
        return None

    def _cell_answer(self, *, status: int, cell: Cell) -> bytes:
        packer = Packer().u8(value=status)
        cell.promised.write(packer=packer)
        cell.accepted.write(packer=packer)
        return packer.blob(value=cell.value).bytes()

    async def prepare(self, unpacker: Unpacker) -> bytes:
        epoch, key = unpacker.u32(), unpacker.text()
        ballot = read_ballot(unpacker=unpacker)
        unpacker.done()
        return await self._order(command=lambda: self._prepare(epoch=epoch, key=key, ballot=ballot))

    def _prepare(self, *, epoch: int, key: str, ballot: Ballot) -> Applied:
        barred = self._barred(epoch=epoch, key=key)
        if barred is not None:
            return barred, []
        cell = self.held.cells.get(key, Cell())
        # why: a promise once given to a ballot shuts out every one below it, and equal ones but its own
        if ballot <= cell.promised:
            return self._cell_answer(status=BEATEN, cell=cell), []
        cell = Cell(promised=ballot, accepted=cell.accepted, value=cell.value)
        self._hold(key=key, cell=cell)
        return self._cell_answer(status=OK, cell=cell), [cell_entry(key=key, cell=cell)]

    async def accept(self, unpacker: Unpacker) -> bytes:
        epoch, key = unpacker.u32(), unpacker.text()
        ballot, value = read_ballot(unpacker=unpacker), unpacker.blob()
        unpacker.done()
        if len(value) > MOST_VALUE_BYTES:
            raise ValueError("value too large")
        return await self._order(command=lambda: self._accept(epoch=epoch, key=key, ballot=ballot, value=value))

    def _accept(self, *, epoch: int, key: str, ballot: Ballot, value: bytes) -> Applied:
        barred = self._barred(epoch=epoch, key=key)
        if barred is not None:
            return barred, []
        cell = self.held.cells.get(key, Cell())
        if ballot < cell.promised:
            return self._cell_answer(status=BEATEN, cell=cell), []
        cell = Cell(promised=ballot, accepted=ballot, value=value)
        self._hold(key=key, cell=cell)
        return self._cell_answer(status=OK, cell=Cell(promised=ballot, accepted=ballot)), [
            cell_entry(key=key, cell=cell)
        ]

    async def install(self, *, key: str, ballot: Ballot, value: bytes) -> None:
        """Takes a value from a snapshot, as if it had been accepted here when it was accepted elsewhere."""
        await self._order(command=lambda: self._install(key=key, ballot=ballot, value=value))

    def _install(self, *, key: str, ballot: Ballot, value: bytes) -> Applied:
        cell = self.held.cells.get(key, Cell())
        # why: a snapshot is of the past; anything newer that came in meanwhile stands
        if ballot <= cell.accepted:
            return b"", []
        cell = Cell(promised=max(ballot, cell.promised), accepted=ballot, value=value)
        self._hold(key=key, cell=cell)
        return b"", [cell_entry(key=key, cell=cell)]

    async def read(self, unpacker: Unpacker) -> bytes:
        epoch, key = unpacker.u32(), unpacker.text()
        unpacker.done()
        return await self._order(command=lambda: self._read(epoch=epoch, key=key))

    def _read(self, *, epoch: int, key: str) -> Applied:
        barred = self._barred(epoch=epoch, key=key)
        if barred is not None:
            return barred, []
        return self._cell_answer(status=OK, cell=self.held.cells.get(key, Cell())), []

    async def vector(self, unpacker: Unpacker) -> bytes:
        """Which ballot each key was accepted at; where the asker names an edition of ours, what came since."""
        epoch = unpacker.u32()
        named = unpacker.many(each=lambda u: (u.u64(), u.u64())) if unpacker.version > 1 else None
        unpacker.done()
        if named is not None and len(named) > MOST_SOURCES:
            raise ValueError("too many sources")
        return await self._order(command=lambda: self._vector(epoch=epoch, named=named))

    def _vector(self, *, epoch: int, named: list[tuple[int, int]] | None) -> Applied:
        barred = self._barred(epoch=epoch, key="")
        if barred is not None:
            return barred, []
        since = dict(named or []).get(self.source, 0)
        # why: what is older than this life has no edition, and went with the first answer to each asker
        cells = [
            (key, cell)
            for key, cell in self.held.cells.items()
            if cell.value and (not since or self.editions.get(key, 0) > since)
        ]
        packer = Packer().u8(value=OK)
        if named is not None:
            packer = Packer().u8(value=SINCE).u64(value=self.source).u64(value=self.edition)

        def each(p: Packer, entry: tuple[str, Cell]) -> None:
            entry[1].accepted.write(packer=p.text(value=entry[0]))

        return packer.many(values=cells, each=each).bytes(), []

    def _hold(self, *, key: str, cell: Cell) -> None:
        known = self.held.cells.get(key)
        if known is None or known.accepted != cell.accepted:
            self.edition += 1
            self.editions[key] = self.edition
        self.held.cells[key] = cell

    async def lease(self, unpacker: Unpacker) -> bytes:
        epoch, duty, holder, length_us = unpacker.u32(), unpacker.text(), unpacker.u64(), unpacker.u64()
        unpacker.done()
        return await self._order(
            command=lambda: self._lease(epoch=epoch, duty=duty, holder=holder, length_us=length_us)
        )

    def _lease(self, *, epoch: int, duty: str, holder: int, length_us: int) -> Applied:
        barred = self._barred(epoch=epoch, key=f"lease/{duty}")
        if barred is not None:
            return barred, []
        now_us = self.ctx.now_us()
        current, until_us = self.leases.get(duty, (0, 0))
        free = until_us <= now_us or current == holder
        # why: a length of nothing gives the lease back, and only its holder may do so
        if length_us == 0:
            if current == holder:
                self.leases.pop(duty, None)
            return Packer().u8(value=OK).bytes(), []
        if now_us < self.grants_from_us or length_us > LONGEST_LEASE_US or not free:
            return Packer().u8(value=BEATEN).bytes(), []
        self.leases[duty] = (holder, now_us + length_us)
        return Packer().u8(value=OK).bytes(), []

    async def adopt(self, unpacker: Unpacker) -> bytes:
        data = unpacker.blob()
        unpacker.done()
        # why: read before it is queued, so that a roster that can't be read fails its sender and not the queue
        roster = read_roster(data=data)
        return await self._order(command=lambda: self._adopt(data=data, roster=roster))

    def _adopt(self, *, data: bytes, roster: Roster) -> Applied:
        mine = 0 if self.roster is None else self.roster.epoch
        # why: epochs only rise; an old roster that arrives again changes nothing
        if roster.epoch <= mine:
            return Packer().u8(value=OK).bytes(), []
        joined = roster.has(ident=self.held.ident) and (
            self.roster is None or not self.roster.has(ident=self.held.ident)
        )
        # why: the register replica whose place this one takes may have granted a lease that still runs
        if joined and roster.epoch > 1:
            self.grants_from_us = self.ctx.now_us() + LONGEST_LEASE_US
        self.roster = roster
        self.held.roster = data
        self.ctx.log.info("roster epoch %d: %s", roster.epoch, ",".join(v.name for v in roster.voters))
        cleared = [] if roster.has(ident=self.held.ident) else self._clear_cells()
        # why: the roster comes last, so that a torn write leaves either both or a roster that is adopted again
        return Packer().u8(value=OK).bytes(), [*cleared, roster_entry(data=data)]

    def _clear_cells(self) -> list[bytes]:
        """Discards what an acceptor that is no voter holds; the log entries that make it last.

        A value that it accepted and no majority did may carry a higher ballot than the one chosen since without it.
        Were it kept, the acceptor would bring that old value back as the newest when it becomes a voter again.
        """
        keys = [key for key, cell in self.held.cells.items() if cell != Cell()]
        for key in keys:
            self._hold(key=key, cell=Cell())
        return [cell_entry(key=key, cell=Cell()) for key in keys]
