"""The register replicas that have introduced themselves, and may become voters."""

from ..runtime.context import Context
from .roster import Roster, Voter

# a replica without a vote counts as a standby for so long after its last join request
STANDBY_US = 2_000_000


class CandidateTable:
    """Owns the known replicas by name, and the moment of the last join request of each."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.by_name: dict[str, Voter] = {}
        self.requested_us: dict[str, int] = {}

    def add(self, *, candidate: Voter) -> None:
        """Takes in a replica, whether it was heard of or has introduced itself."""
        self.by_name[candidate.name] = candidate

    def join_requested(self, *, candidate: Voter) -> None:
        """Takes in a replica that has just sent a join request."""
        self.add(candidate=candidate)
        self.requested_us[candidate.name] = self.ctx.now_us()

    def standbys(self, *, roster: Roster) -> list[str]:
        """The names of the replicas without a vote that have sent a join request lately."""
        now_us = self.ctx.now_us()
        return [
            name
            for name, requested_us in sorted(self.requested_us.items())
            if now_us - requested_us < STANDBY_US and not roster.has(ident=self.by_name[name].ident)
        ]
