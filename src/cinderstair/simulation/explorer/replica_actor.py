"""A modelled register replica."""

import random
from collections.abc import Hashable
from typing import Any, NamedTuple

from ...consensus.ballot import Ballot
from ...consensus.cell import Cell
from ...consensus.durable_state import cell_entry, ident_entry, roster_entry
from ...consensus.register_replica import RegisterReplica
from ...consensus.roster import Roster
from ...consensus.store import Store
from ...membership.member import Standing
from ...runtime.settings import Settings
from ..sim_disk import SimDisk
from .actor import Actor
from .process_spec import ProcessSpec

Files = tuple[tuple[str, bytes], ...]


class ReplicaObservation(NamedTuple):
    """The durable state of a register replica: what it would recover after a crash."""

    ident: int
    roster: bytes
    cells: tuple[tuple[str, Ballot, bytes], ...]


class EmptyMembership:
    """A membership that never reports a failure: a replica's name or the model decides whom it replaces."""

    def alive(self, *, role: str) -> list[Any]:
        return []

    def standing(self, *, name: str) -> Standing:
        return Standing.alive

    async def check(self, *, name: str) -> None:
        return


def disk_files(*, ident: int, roster: Roster | None = None, cells: dict[str, Cell] | None = None) -> Files:
    """The disk contents of a register replica with that identity, roster and cells."""
    disk = SimDisk(rng=random.Random(0))
    store = Store(disk=disk).open().ok
    entries = [ident_entry(ident=ident)]
    if roster is not None:
        entries.append(roster_entry(data=roster.bytes()))
    entries += [cell_entry(key=key, cell=cell) for key, cell in sorted((cells or {}).items())]
    store.save(entries=entries)
    return tuple(sorted(disk.files.items()))


class ReplicaActor(Actor):
    """Serves requests as the daemon does; with `rejoins` it also runs the joining of a blank replica.

    `may_grant_leases`: it has been up for long enough to grant leases at once.
    """

    def __init__(
        self, *, spec: ProcessSpec, name: str, seeds: tuple[str, ...], rejoins: bool = False, rate: float = 1.0
    ) -> None:
        super().__init__(spec=spec, name=name, rate=rate)
        settings = Settings(
            name=name, site="hall", records=spec.address, seeds=seeds, founding_replicas=3, may_found=False
        )
        self.rejoins = rejoins
        self.may_grant_leases = False
        self.halts: list[str] = []
        self.register_replica = RegisterReplica(ctx=self.ctx, settings=settings, halt=self.halts.append)

    def on_start(self) -> None:
        opened = self.register_replica.open()
        assert opened.is_ok(), opened
        if self.may_grant_leases:
            self.register_replica.acceptor.grants.from_us = 0
        self.register_replica.membership = EmptyMembership()  # type: ignore[assignment]
        self.net.handler = self.register_replica.dispatcher.dispatch
        if self.rejoins:
            self.ctx.spawn(work=self.register_replica.run_joining(), name="register_replica.join")

    def digest(self) -> Hashable | None:
        acceptor = self.register_replica.acceptor
        # The progress of tasks that request or sync is only determined by the history.
        if self.rejoins or self.disk.syncing is not None or self.net.serving or self.net.pending:
            return None
        now_us = self.ctx.now_us()
        leases = [
            (name, grant.holder, grant.until_us - now_us)
            for name, grant in sorted(acceptor.grants.by_name.items())
            if grant.until_us > now_us
        ]
        state = acceptor.state
        return (
            state.ident,
            state.roster,
            tuple(sorted((key, cell.promised, cell.accepted, cell.value) for key, cell in state.cells.items())),
            tuple(leases),
            max(0, acceptor.grants.from_us - now_us),
            acceptor.commits.halted,
            tuple(sorted((voter.name, voter.ident) for voter in self.register_replica.candidates.by_name.values())),
        )

    def observation(self) -> ReplicaObservation:
        disk = SimDisk(rng=random.Random(0))
        disk.files = dict(self.disk.files)
        state = Store(disk=disk).open().ok.state
        cells = tuple((key, cell.accepted, cell.value) for key, cell in sorted(state.cells.items()))
        return ReplicaObservation(state.ident, state.roster, cells)
