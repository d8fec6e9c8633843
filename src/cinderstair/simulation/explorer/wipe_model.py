"""A register replica loses its disk right after an acknowledgement and comes back blank."""

from collections.abc import Hashable

from ...consensus.cell import Cell
from .actor import Actor
from .client_actor import ClientActor, Operation
from .process_spec import ProcessSpec
from .register_model import (
    FIRST_BALLOT,
    KEY,
    NEW_BALLOT,
    RegisterModel,
    RegisterMonitor,
    founding_roster,
    read,
    write,
)
from .replica_actor import ReplicaActor
from .world_state import Budget


class WipeModel(RegisterModel):
    """Version 2 was acknowledged by a and b, and c missed it: every way to go on from there.

    Any one disk is lost at any moment. Its register replica comes back at its old address, blank, and takes its place
    again as the daemon does: it meets the others, takes a snapshot, and enters by two changes of the roster.
    """

    names: tuple[str, ...] = ("a", "b", "c", "reader", "writer")
    budget = Budget(wipes=1, timers=12)
    depth = 400
    turns = 2
    scripts: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("read", read), ("read again", read)),
        (("write 3", write(3)),),
    )

    def cells(self, *, name: str) -> dict[str, Cell]:
        if name in "ab":
            return {KEY: Cell(promised=NEW_BALLOT, accepted=NEW_BALLOT, value=b"2:writer")}
        return {KEY: Cell(promised=FIRST_BALLOT, accepted=FIRST_BALLOT, value=b"1:first")}

    def make(self, spec: ProcessSpec) -> Actor:
        name = self.names[spec.process]
        if spec.process < self.register_replicas:
            return ReplicaActor(spec=spec, name=name, seeds=self.seeds, rejoins=spec.blank)
        script = self.scripts[spec.process - self.register_replicas]
        return ClientActor(spec=spec, name=name, seeds=self.seeds, roster=founding_roster(names="abc"), script=script)

    def initial_monitor(self) -> Hashable:
        return RegisterMonitor(2, (0,) * len(self.scripts), ((1, "1:first"), (2, "2:writer")), ())


class MovedWipeModel(WipeModel):
    """The same, and the register replica comes back at another address under its name."""

    def wipe_address(self, *, process: int, address: str) -> str:
        return f"{self.names[process]}:2"
