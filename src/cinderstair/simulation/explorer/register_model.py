"""Writers that race for one version of a key, and a reader."""

from collections.abc import Hashable, Sequence
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from ...consensus.ballot import Ballot
from ...consensus.cell import Cell
from ...consensus.roster import Roster, Voter
from ...runtime.errors import CinderstairError, ErrorCode
from .actor import Actor
from .client_actor import ClientActor, Operation, Outcome
from .event import BackendHeartbeat
from .guard import apart, missing
from .local_states import LocalState
from .model import Model
from .recipe import Recipe
from .replica_actor import ReplicaActor, files_of
from .world_state import Budget

KEY = "key"
FIRST_BALLOT, NEW_BALLOT = Ballot(1, 1), Ballot(2, 7)


def version_of(value: bytes) -> int:
    return int(value.split(b":")[0]) if value else 0


def voter_of(*, name: str) -> Voter:
    return Voter(ident=ord(name[0]), name=name, address=f"{name}:1")


def founded(*, names: str, epoch: int = 1) -> Roster:
    return Roster(epoch=epoch, voters=tuple(voter_of(name=name) for name in names))


class Watch(NamedTuple):
    """`floors`: by client, the highest version that was known when its operation began; 0 where none runs."""

    top: int
    floors: tuple[int, ...]
    values: tuple[tuple[int, str], ...]
    refused: tuple[str, ...]


def write(version: int) -> Operation:
    """Sets the next version, if that is still the next."""

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
    result = await actor.register.read(key=KEY)
    if result.is_error():
        return "no answer", 0, ""
    return "read", version_of(result.ok.value), result.ok.value.decode()


def heed(*, watch: Watch, client: int, said: BackendHeartbeat) -> Watch | str:
    """What a client said, checked against all that was said before; a text says what it breaks."""
    floors = list(watch.floors)
    if said.word == "begin":
        floors[client] = watch.top
        return watch._replace(floors=tuple(floors))
    word, version, value = said.outcome[0], int(said.outcome[1]), str(said.outcome[2])
    floor, floors[client] = floors[client], 0
    values, refused = dict(watch.values), set(watch.refused)
    if word in ("done", "read", "taken") and version < floor:
        return f"version {floor} was known before {said.operation} began, which ended with {version}"
    if word in ("done", "read") and value:
        if values.setdefault(version, value) != value:
            return f"version {version} is {values[version]} and {value}"
        if word == "done" and version <= floor:
            return f"version {version} was written though {floor} was known"
    if word in ("taken", "nothing written"):
        refused.add(value)
    for each in refused & set(values.values()):
        return f"{each} was said not to be written, and is there"
    top = max(watch.top, version) if word in ("done", "read", "taken") else watch.top
    return Watch(top, tuple(floors), tuple(sorted(values.items())), tuple(sorted(refused)))


class RegisterModel(Model):
    """Three register replicas, two writers of version 2, a reader that reads twice."""

    names: tuple[str, ...] = ("a", "b", "c", "writer-0", "writer-1", "reader")
    budget = Budget(losses=1, late=1, doubles=1, restarts=1, timers=2)
    depth = 400
    turns = 2
    seeds = ("a:1", "b:1", "c:1")
    ops: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("write 2", write(2)),),
        (("write 2", write(2)),),
        (("read", read), ("read again", read)),
    )

    def cells(self, *, name: str) -> dict[str, Cell]:
        return {KEY: Cell(promised=FIRST_BALLOT, accepted=FIRST_BALLOT, value=b"1:first")}

    def recipes(self) -> Sequence[Recipe]:
        found = []
        for process, name in enumerate(self.names):
            files: tuple[tuple[str, bytes], ...] = ()
            if process < self.register_replicas:
                ident = voter_of(name=name).ident
                files = files_of(ident=ident, roster=founded(names="abc"), cells=self.cells(name=name))
            found.append(Recipe(process=process, run=0, address=f"{name}:1", files=files))
        return found

    def make(self, recipe: Recipe) -> Actor:
        name = self.names[recipe.process]
        if recipe.process < self.register_replicas:
            return ReplicaActor(recipe=recipe, name=name, seeds=self.seeds)
        todo = self.ops[recipe.process - self.register_replicas]
        return ClientActor(recipe=recipe, name=name, seeds=self.seeds, roster=founded(names="abc"), todo=todo)

    def first_watch(self) -> Hashable:
        return Watch(1, (0,) * len(self.ops), ((1, "1:first"),), ())

    def watch(self, *, watch: Any, process: int, said: BackendHeartbeat) -> Hashable:
        return heed(watch=watch, client=process - self.register_replicas, said=said)

    def wrong(self, *, locals_: Sequence[LocalState], watch: Any) -> str:
        register_replicas: Any = tuple(local.facts for local in locals_[: self.register_replicas])
        lacking = missing(register_replicas=register_replicas, key=KEY, version=watch.top, version_of=version_of)
        return lacking or apart(register_replicas=register_replicas)
