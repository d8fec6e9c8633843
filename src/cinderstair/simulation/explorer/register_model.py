"""Two writers race for the next version of a key while a client reads it."""

from collections.abc import Hashable, Sequence
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from ...consensus.ballot import Ballot
from ...consensus.cell import Cell
from ...consensus.roster import Roster, Voter
from ...runtime.errors import CinderstairError, ErrorCode
from .actor import Actor
from .client_actor import ClientActor, Operation, Outcome
from .event import OperationEvent
from .invariants import find_disjoint_majorities, find_lost_version
from .local_states import LocalState
from .model import Model
from .process_spec import ProcessSpec
from .replica_actor import ReplicaActor, disk_files
from .world_state import Budget

KEY = "key"
FIRST_BALLOT, NEW_BALLOT = Ballot(1, 1), Ballot(2, 7)


def version_of(value: bytes) -> int:
    """The version in a value `version:writer`; 0 if empty."""
    return int(value.split(b":")[0]) if value else 0


def voter_of(*, name: str) -> Voter:
    """The voter with that name, at port 1."""
    return Voter(ident=ord(name[0]), name=name, address=f"{name}:1")


def founding_roster(*, names: str, epoch: int = 1) -> Roster:
    """A roster of the voters whose names are the letters of `names`."""
    return Roster(epoch=epoch, voters=tuple(voter_of(name=name) for name in names))


class RegisterMonitor(NamedTuple):
    """What the clients' operations have established so far.

    `highest_version`: the highest version that a client knows; `known_before`: by client, that version when its
    operation began (0 if none runs); `values`: the value of each version; `not_written`: values whose write is known
    to have failed.
    """

    highest_version: int
    known_before: tuple[int, ...]
    values: tuple[tuple[int, str], ...]
    not_written: tuple[str, ...]


def write(version: int) -> Operation:
    """Operation: writes a version unless that version or a later one exists."""

    async def operation(actor: ClientActor) -> Outcome:
        seen = [0]

        def decide(data: bytes) -> Result[bytes, CinderstairError]:
            seen[0] = version_of(data)
            if seen[0] >= version:
                return Error(CinderstairError(code=ErrorCode.VERSION_TAKEN, reason="taken"))
            return Ok(f"{version}:{actor.ctx.name}".encode())

        result = await actor.register.change(key=KEY, decide=decide)
        if result.is_ok():
            return "done", version, result.ok.value.decode()
        mine = f"{version}:{actor.ctx.name}"
        if result.error.code == ErrorCode.VERSION_TAKEN:
            return "taken", seen[0], mine
        return ("unsure" if result.error.code == ErrorCode.REGISTER_UNSURE else "nothing written"), 0, mine

    return operation


async def read(actor: ClientActor) -> Outcome:
    """Operation: reads the key."""
    result = await actor.register.read(key=KEY)
    if result.is_error():
        return "no answer", 0, ""
    return "read", version_of(result.ok.value), result.ok.value.decode()


def check_outcome(*, monitor: RegisterMonitor, client: int, operation_event: OperationEvent) -> RegisterMonitor | str:
    """Checks an operation event against the earlier ones; returns the new monitor, or the violation as text."""
    known_before = list(monitor.known_before)
    if operation_event.phase == "begin":
        known_before[client] = monitor.highest_version
        return monitor._replace(known_before=tuple(known_before))
    result, version, value = (
        operation_event.outcome[0],
        int(operation_event.outcome[1]),
        str(operation_event.outcome[2]),
    )
    floor, known_before[client] = known_before[client], 0
    values, not_written = dict(monitor.values), set(monitor.not_written)
    if result in ("done", "read", "taken") and version < floor:
        return f"version {floor} was known before {operation_event.operation} began, which ended with {version}"
    if result in ("done", "read") and value:
        if values.setdefault(version, value) != value:
            return f"version {version} is {values[version]} and {value}"
        if result == "done" and version <= floor:
            return f"version {version} was written although version {floor} was known"
    if result in ("taken", "nothing written"):
        not_written.add(value)
    for each in not_written & set(values.values()):
        return f"{each} was reported as not written but exists"
    highest_version = (
        max(monitor.highest_version, version) if result in ("done", "read", "taken") else monitor.highest_version
    )
    return RegisterMonitor(
        highest_version, tuple(known_before), tuple(sorted(values.items())), tuple(sorted(not_written))
    )


class RegisterModel(Model):
    """Three register replicas, two writers of version 2, and a client that reads twice.

    Invariants: outcomes agree with earlier ones and with the version known when the operation began, every majority
    that could vote has the highest known version, and no two disjoint majorities could vote.
    """

    names: tuple[str, ...] = ("a", "b", "c", "writer-0", "writer-1", "reader")
    budget = Budget(losses=1, late=1, doubles=1, restarts=1, timers=2)
    depth = 400
    turns = 2
    seeds = ("a:1", "b:1", "c:1")
    scripts: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("write 2", write(2)),),
        (("write 2", write(2)),),
        (("read", read), ("read again", read)),
    )

    def cells(self, *, name: str) -> dict[str, Cell]:
        """The cells on a register replica's disk at the start."""
        return {KEY: Cell(promised=FIRST_BALLOT, accepted=FIRST_BALLOT, value=b"1:first")}

    def process_specs(self) -> Sequence[ProcessSpec]:
        found = []
        for process, name in enumerate(self.names):
            files: tuple[tuple[str, bytes], ...] = ()
            if process < self.register_replicas:
                ident = voter_of(name=name).ident
                files = disk_files(ident=ident, roster=founding_roster(names="abc"), cells=self.cells(name=name))
            found.append(ProcessSpec(process=process, run=0, address=f"{name}:1", files=files))
        return found

    def make(self, spec: ProcessSpec) -> Actor:
        name = self.names[spec.process]
        if spec.process < self.register_replicas:
            return ReplicaActor(spec=spec, name=name, seeds=self.seeds)
        script = self.scripts[spec.process - self.register_replicas]
        return ClientActor(spec=spec, name=name, seeds=self.seeds, roster=founding_roster(names="abc"), script=script)

    def initial_monitor(self) -> Hashable:
        return RegisterMonitor(1, (0,) * len(self.scripts), ((1, "1:first"),), ())

    def update_monitor(self, *, monitor: Any, process: int, operation_event: OperationEvent) -> Hashable:
        return check_outcome(
            monitor=monitor, client=process - self.register_replicas, operation_event=operation_event
        )

    def violation(self, *, local_states: Sequence[LocalState], monitor: Any) -> str:
        register_replicas: Any = tuple(local.observation for local in local_states[: self.register_replicas])
        lacking = find_lost_version(
            register_replicas=register_replicas, key=KEY, version=monitor.highest_version, version_of=version_of
        )
        return lacking or find_disjoint_majorities(register_replicas=register_replicas)
