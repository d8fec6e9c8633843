"""Two roster changes race while a key is written."""

from collections.abc import Hashable, Sequence

from ...consensus.cell import Cell
from ...consensus.roster import Roster, Voter
from ...consensus.voter_replacement import VoterReplacement, without
from .actor import Actor
from .client_actor import ClientActor, Operation, Outcome
from .event import OperationEvent
from .process_spec import ProcessSpec
from .register_model import (
    FIRST_BALLOT,
    KEY,
    NEW_BALLOT,
    RegisterModel,
    RegisterMonitor,
    founding_roster,
    read,
    voter_of,
    write,
)
from .replica_actor import ReplicaActor, disk_files
from .world_state import Budget


def replace_voter(*, leaves: str, enters: Voter) -> Operation:
    """Operation: replaces a voter."""

    async def operation(actor: ClientActor) -> Outcome:
        voter_replacement = VoterReplacement(ctx=actor.ctx, register=actor.register)
        result = await voter_replacement.replace_voter(leaves=leaves, enters=enters, max_voters=3)
        return ("replaced" if result.is_ok() else str(result.error.code), 0, "")

    return operation


def remove_voter(*, name: str) -> Operation:
    """Operation: the first half of a replacement, which removes a voter; the second half never follows."""

    async def operation(actor: ClientActor) -> Outcome:
        ident = voter_of(name=name).ident
        result = await actor.register.change_roster(alter=lambda current: without(roster=current, ident=ident))
        return ("left" if result.is_ok() else str(result.error.code), 0, "")

    return operation


class RosterChangeModel(RegisterModel):
    """Three voters, of which b and c have version 2 of the key and a missed it; blank d and e replace b and c.

    The operators' replacements name the voter to remove, so the blank replicas enter without a snapshot. That is a
    stronger test of the roster change than the daemon's own joining. One client writes and reads meanwhile.
    """

    names: tuple[str, ...] = ("a", "b", "c", "d", "e", "changer-0", "changer-1", "writer")
    register_replicas = 5
    budget = Budget(timers=6)
    depth = 400
    turns = 2
    scripts: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("replace b by d", replace_voter(leaves="b", enters=voter_of(name="d"))),),
        (("replace c by e", replace_voter(leaves="c", enters=voter_of(name="e"))),),
        (("write 3", write(3)), ("read", read)),
    )

    def cells(self, *, name: str) -> dict[str, Cell]:
        old = Cell(promised=FIRST_BALLOT, accepted=FIRST_BALLOT, value=b"1:first")
        new = Cell(promised=NEW_BALLOT, accepted=NEW_BALLOT, value=b"2:writer")
        return {KEY: old if name == "a" else new, "other": old}

    def initial_monitor(self) -> Hashable:
        return RegisterMonitor(2, (0,) * len(self.scripts), ((1, "1:first"), (2, "2:writer")), ())

    def initial_roster(self, *, name: str) -> Roster | None:
        """The roster on a register replica's disk (None if blank), or the one that a client starts with."""
        return None if name in "de" else founding_roster(names="abc")

    def process_specs(self) -> Sequence[ProcessSpec]:
        found = []
        for process, name in enumerate(self.names):
            files: tuple[tuple[str, bytes], ...] = ()
            if process < self.register_replicas:
                roster = self.initial_roster(name=name)
                cells = None if roster is None else self.cells(name=name)
                files = disk_files(ident=voter_of(name=name).ident, roster=roster, cells=cells)
            found.append(ProcessSpec(process=process, run=0, address=f"{name}:1", files=files))
        return found

    def make(self, spec: ProcessSpec) -> Actor:
        name = self.names[spec.process]
        if spec.process < self.register_replicas:
            return ReplicaActor(spec=spec, name=name, seeds=self.seeds)
        script = self.scripts[spec.process - self.register_replicas]
        return ClientActor(
            spec=spec, name=name, seeds=self.seeds, roster=self.initial_roster(name=name), script=script
        )

    def update_monitor(self, *, monitor: object, process: int, operation_event: OperationEvent) -> object:  # type: ignore[override]
        # Outcomes of roster changes promise nothing; the replicas' durable state is checked instead.
        if "changer" in self.names[process]:
            return monitor
        return super().update_monitor(monitor=monitor, process=process, operation_event=operation_event)


class VoterRemovalModel(RosterChangeModel):
    """Two voters are removed concurrently and not replaced."""

    names: tuple[str, ...] = ("a", "b", "c", "changer-0", "changer-1", "reader")
    register_replicas = 3
    scripts: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("remove b", remove_voter(name="b")),),
        (("remove c", remove_voter(name="c")),),
        (("read", read),),
    )
