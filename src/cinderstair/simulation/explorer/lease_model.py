"""Two that seek one duty, with clocks that run apart."""

from collections.abc import Sequence
from typing import Any

from .actor import Actor
from .client_actor import Operation
from .local_states import LocalState
from .model import Model
from .recipe import Recipe
from .register_model import founded, voter_of
from .replica_actor import ReplicaActor, files_of
from .seeker_actor import SeekerActor, drop, try_acquire
from .world_state import Budget

# why: together they run apart by a tenth, just less than the margin of 0.3 s in 3 s allows
SLOW, FAST = 0.955, 1.05


class LeaseModel(Model):
    """Three register replicas with fast clocks, two seekers with slow ones; the first may also give the duty back."""

    names: tuple[str, ...] = ("a", "b", "c", "seeker-0", "seeker-1")
    budget = Budget(losses=1, late=1, doubles=1, restarts=1, passes=4)
    depth = 400
    turns = 2
    seeds = ("a:1", "b:1", "c:1")
    ops: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("seek", try_acquire), ("drop", drop), ("seek again", try_acquire), ("renew", try_acquire)),
        (("seek", try_acquire), ("seek again", try_acquire)),
    )

    def recipes(self) -> Sequence[Recipe]:
        found = []
        for process, name in enumerate(self.names):
            files: tuple[tuple[str, bytes], ...] = ()
            if process < self.register_replicas:
                files = files_of(ident=voter_of(name=name).ident, roster=founded(names="abc"))
            found.append(Recipe(process=process, run=0, address=f"{name}:1", files=files))
        return found

    def make(self, recipe: Recipe) -> Actor:
        name = self.names[recipe.process]
        if recipe.process < self.register_replicas:
            actor = ReplicaActor(recipe=recipe, name=name, seeds=self.seeds, rate=FAST)
            # why: the register replicas have been up for long, so that they may grant; one that starts again may not
            actor.up_for_long = recipe.run == 0
            return actor
        todo = self.ops[recipe.process - self.register_replicas]
        roster = founded(names="abc")
        return SeekerActor(recipe=recipe, name=name, seeds=self.seeds, roster=roster, todo=todo, rate=SLOW)

    def wrong(self, *, locals_: Sequence[LocalState], watch: Any) -> str:
        holders = [name for name, local in zip(self.names, locals_, strict=True) if local.facts is True]
        return f"{' and '.join(holders)} hold the duty at once" if len(holders) > 1 else ""
