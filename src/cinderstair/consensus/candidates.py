"""The register replicas that are known to this one and may become voters."""

from ..runtime.context import Context
from .roster import Roster, Voter

# how long after its last join request a replica without a vote counts as a standby
STANDBY_US = 2_000_000


class CandidateTable:
    """Owns the known replicas by name, and the time of the last join request received from each."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        self.by_name: dict[str, Voter] = {}
        self.requested_us: dict[str, int] = {}

    def add(self, *, candidate: Voter) -> None:
        """Adds or replaces a replica, known from its own join request or from another replica's answer."""
        self.by_name[candidate.name] = candidate

    def join_requested(self, *, candidate: Voter) -> None:
        """Adds a replica that has just sent a join request, and records the time."""
        self.add(candidate=candidate)
        self.requested_us[candidate.name] = self.ctx.now_us()

    def standbys(self, *, roster: Roster) -> list[str]:
        """The sorted names of replicas that are not voters and sent a join request within the last STANDBY_US."""
        now_us = self.ctx.now_us()
        return [
            name
            for name, requested_us in sorted(self.requested_us.items())
            if now_us - requested_us < STANDBY_US and not roster.has(ident=self.by_name[name].ident)
        ]
