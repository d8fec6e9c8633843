"""Failure detection of voters by a standby, which may take the place of one that is lost."""

from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from .roster import Roster, Voter


class VoterWatch:
    """Owns the moments at which each voter last answered this register replica.

    A voter's place may be taken at once when it has left by plan, and when it has answered neither this register
    replica for
    `lost_after_us` microseconds nor those that were asked for a second opinion. To be wrong about it costs a
    snapshot and no more: the roster's own rule keeps a voter harmless that was only cut off or slow.
    """

    def __init__(self, *, ctx: Context, lost_after_us: int) -> None:
        self.ctx = ctx
        self.lost_after_us = lost_after_us
        self.epoch = 0
        self.answered_us: dict[str, int] = {}

    def answered(self, *, address: str) -> None:
        """The register replica at an address has just answered a greeting."""
        self.answered_us[address] = self.ctx.now_us()

    def _silent_us(self, *, voter: Voter) -> int:
        return self.ctx.now_us() - self.answered_us[voter.address]

    def follow(self, *, roster: Roster) -> None:
        """Takes a roster's voters for those to watch. Nobody is judged by a silence that began before."""
        if roster.epoch == self.epoch:
            return
        self.epoch = roster.epoch
        known, now_us = self.answered_us, self.ctx.now_us()
        self.answered_us = {voter.address: known.get(voter.address, now_us) for voter in roster.voters}

    def doubt(self, *, roster: Roster, membership: Membership) -> None:
        """Has the others look for a voter that has been silent for half of the time, so that they know by its end."""
        for voter in roster.voters:
            silent = self._silent_us(voter=voter) > self.lost_after_us // 2
            if silent and membership.standing(name=voter.name) == Standing.alive:
                self.ctx.spawn(work=membership.check(name=voter.name), name="voter.check")

    def replaceable(self, *, roster: Roster, membership: Membership) -> Voter | None:
        """A voter whose place may be taken now; None where all are there, or where that is not known yet."""
        for voter in roster.voters:
            if membership.standing(name=voter.name) == Standing.left:
                return voter
        for voter in roster.voters:
            silent = self._silent_us(voter=voter) > self.lost_after_us
            if silent and membership.standing(name=voter.name) != Standing.alive:
                return voter
        return None
