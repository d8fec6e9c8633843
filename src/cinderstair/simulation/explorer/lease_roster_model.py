"""Two clients compete for a lease while two voters are removed one after the other."""

from collections.abc import Sequence

from .actor import Actor
from .client_actor import ClientActor, Operation
from .lease_client_actor import LeaseClientActor, try_acquire
from .lease_model import FAST_CLOCK_RATE, SLOW_CLOCK_RATE, LeaseModel
from .process_spec import ProcessSpec
from .register_model import founding_roster, voter_of
from .replica_actor import ReplicaActor, disk_files
from .roster_model import remove_voter, replace_voter
from .world_state import Budget


class LeaseRosterModel(LeaseModel):
    """Three voters, a replacement of b that stops after removing it, one of c by d, and two lease clients.

    Time passes, and there are no faults.
    """

    names = ("a", "b", "c", "d", "seeker-0", "changer-0", "changer-1", "seeker-1")
    register_replicas = 4
    budget = Budget(passes=7)
    depth = 400
    turns = 2
    scripts: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("acquire", try_acquire),),
        (("remove b", remove_voter(name="b")),),
        (("replace c by d", replace_voter(leaves="c", enters=voter_of(name="d"))),),
        (("acquire", try_acquire), ("acquire again", try_acquire), ("acquire a third time", try_acquire)),
    )

    def process_specs(self) -> Sequence[ProcessSpec]:
        found = []
        for process, name in enumerate(self.names):
            files: tuple[tuple[str, bytes], ...] = ()
            if process < self.register_replicas:
                roster = founding_roster(names="abc") if name in "abc" else None
                files = disk_files(ident=voter_of(name=name).ident, roster=roster)
            found.append(ProcessSpec(process=process, run=0, address=f"{name}:1", files=files))
        return found

    def make(self, spec: ProcessSpec) -> Actor:
        name = self.names[spec.process]
        if spec.process < self.register_replicas:
            actor = ReplicaActor(spec=spec, name=name, seeds=self.seeds, rate=FAST_CLOCK_RATE)
            actor.may_grant_leases = spec.run == 0
            return actor
        script, roster = self.scripts[spec.process - self.register_replicas], founding_roster(names="abc")
        if "seeker" in name:
            return LeaseClientActor(
                spec=spec, name=name, seeds=self.seeds, roster=roster, script=script, rate=SLOW_CLOCK_RATE
            )
        changer = ClientActor(
            spec=spec, name=name, seeds=self.seeds, roster=roster, script=script, rate=FAST_CLOCK_RATE
        )
        # Starting above the ballots of earlier processes avoids rejections, and thus backoff.
        changer.register.highest_round = spec.process
        return changer
