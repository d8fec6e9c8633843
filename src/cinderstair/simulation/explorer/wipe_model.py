"""A register replica loses its disk after a write was acknowledged and restarts blank."""

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
    """a and b acknowledged version 2, and c missed it; then any one disk is lost at any moment.

    The replica restarts blank at its old address and rejoins as the daemon does: it contacts the others, takes a
    snapshot, and is made a voter by two roster changes.
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
    """As WipeModel, but the replica restarts under its name at another address."""

    def wipe_address(self, *, process: int, address: str) -> str:
        return f"{self.names[process]}:2"
