"""Two clients compete for one lease while their clocks drift."""

from collections.abc import Sequence
from typing import Any

from .actor import Actor
from .client_actor import Operation
from .lease_client_actor import LeaseClientActor, drop, try_acquire
from .local_states import LocalState
from .model import Model
from .process_spec import ProcessSpec
from .register_model import founding_roster, voter_of
from .replica_actor import ReplicaActor, disk_files
from .world_state import Budget

# The clocks differ by a tenth, just less than the margin of 0.3 s of a 3 s lease allows.
SLOW_CLOCK_RATE, FAST_CLOCK_RATE = 0.955, 1.05


class LeaseModel(Model):
    """Three register replicas with fast clocks and two lease clients with slow ones; the first also drops the lease.

    Invariant: at most one client holds the lease.
    """

    names: tuple[str, ...] = ("a", "b", "c", "seeker-0", "seeker-1")
    budget = Budget(losses=1, late=1, doubles=1, restarts=1, passes=4)
    depth = 400
    turns = 2
    seeds = ("a:1", "b:1", "c:1")
    scripts: tuple[tuple[tuple[str, Operation], ...], ...] = (
        (("acquire", try_acquire), ("drop", drop), ("acquire again", try_acquire), ("renew", try_acquire)),
        (("acquire", try_acquire), ("acquire again", try_acquire)),
    )

    def process_specs(self) -> Sequence[ProcessSpec]:
        found = []
        for process, name in enumerate(self.names):
            files: tuple[tuple[str, bytes], ...] = ()
            if process < self.register_replicas:
                files = disk_files(ident=voter_of(name=name).ident, roster=founding_roster(names="abc"))
            found.append(ProcessSpec(process=process, run=0, address=f"{name}:1", files=files))
        return found

    def make(self, spec: ProcessSpec) -> Actor:
        name = self.names[spec.process]
        if spec.process < self.register_replicas:
            actor = ReplicaActor(spec=spec, name=name, seeds=self.seeds, rate=FAST_CLOCK_RATE)
            # The replicas have been up for long enough to grant leases; a restarted one has to wait first.
            actor.may_grant_leases = spec.run == 0
            return actor
        script = self.scripts[spec.process - self.register_replicas]
        roster = founding_roster(names="abc")
        return LeaseClientActor(
            spec=spec, name=name, seeds=self.seeds, roster=roster, script=script, rate=SLOW_CLOCK_RATE
        )

    def violation(self, *, local_states: Sequence[LocalState], monitor: Any) -> str:
        holders = [name for name, local in zip(self.names, local_states, strict=True) if local.observation is True]
        return f"{' and '.join(holders)} hold the lease at once" if len(holders) > 1 else ""
