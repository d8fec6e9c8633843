"""A duty is sought while two voters leave one after the other."""

from collections.abc import Sequence

from .actor import Actor
from .client_actor import ClientActor, Operation
from .lease_model import FAST, SLOW, LeaseModel
from .recipe import Recipe
from .register_model import founded, voter_of
from .replica_actor import ReplicaActor, files_of
from .roster_model import leave, replace
from .seeker_actor import SeekerActor, try_acquire
from .world_state import Budget


class LeaseRosterModel(LeaseModel):
    """Three voters, a replacement of b that is cut short after its first half, one of c by d, and two seekers.

    Time passes, and nothing else goes wrong.
    """

    names = ("a", "b", "c", "d", "seeker-0", "changer-0", "changer-1", "seeker-1")
    register_replicas = 4
    budget = Budget(passes=7)
    depth = 400
    turns = 2
    ops: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("seek", try_acquire),),
        (("strike off b", leave(name="b")),),
        (("replace c by d", replace(leaves="c", enters=voter_of(name="d"))),),
        (("seek", try_acquire), ("seek again", try_acquire), ("seek once more", try_acquire)),
    )

    def recipes(self) -> Sequence[Recipe]:
        found = []
        for process, name in enumerate(self.names):
            files: tuple[tuple[str, bytes], ...] = ()
            if process < self.register_replicas:
                roster = founded(names="abc") if name in "abc" else None
                files = files_of(ident=voter_of(name=name).ident, roster=roster)
            found.append(Recipe(process=process, run=0, address=f"{name}:1", files=files))
        return found

    def make(self, recipe: Recipe) -> Actor:
        name = self.names[recipe.process]
        if recipe.process < self.register_replicas:
            actor = ReplicaActor(recipe=recipe, name=name, seeds=self.seeds, rate=FAST)
            actor.up_for_long = recipe.run == 0
            return actor
        todo, roster = self.ops[recipe.process - self.register_replicas], founded(names="abc")
        if "seeker" in name:
            return SeekerActor(recipe=recipe, name=name, seeds=self.seeds, roster=roster, todo=todo, rate=SLOW)
        changer = ClientActor(recipe=recipe, name=name, seeds=self.seeds, roster=roster, todo=todo, rate=FAST)
        # why: ballots that begin above those of who went before are not beaten, so that nobody rests meanwhile
        changer.register.highest_round = recipe.process
        return changer
