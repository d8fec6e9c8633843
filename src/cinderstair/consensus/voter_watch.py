"""Failure detection of voters by a standby, which may replace a lost voter."""

from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from .roster import Roster, Voter

MIN_LOST_AFTER_US = 500_000
MAX_LOST_AFTER_US = 2_000_000
# a loss is detected within this fraction (1/n) of the time after which another loss must be tolerated
DETECTION_SHARE = 4


def lost_after_us(*, catch_up_us: int) -> int:
    """The silence after which a voter counts as lost, in microseconds.

    :param catch_up_us: the time after one loss within which the system must tolerate another.
    """
    return min(MAX_LOST_AFTER_US, max(MIN_LOST_AFTER_US, catch_up_us // DETECTION_SHARE))


class VoterWatch:
    """Owns the time at which each voter last answered this replica.

    A voter may be replaced at once when it has deregistered, or when it has not answered this replica for
    `lost_after_us` microseconds and indirect probes through other members failed too. A false detection costs one
    snapshot but not safety: a replaced voter that was only slow or cut off has no vote in the new epoch.
    """

    def __init__(self, *, ctx: Context, lost_after_us: int) -> None:
        self.ctx = ctx
        self.lost_after_us = lost_after_us
        self.epoch = 0
        self.answered_us: dict[str, int] = {}

    def answered(self, *, address: str) -> None:
        """Records that the replica at an address has just answered a join request."""
        self.answered_us[address] = self.ctx.now_us()

    def _silent_us(self, *, voter: Voter) -> int:
        return self.ctx.now_us() - self.answered_us[voter.address]

    def update_roster(self, *, roster: Roster) -> None:
        """Switches to the voters of a roster. The silence of a voter that is new here counts from now."""
        if roster.epoch == self.epoch:
            return
        self.epoch = roster.epoch
        known, now_us = self.answered_us, self.ctx.now_us()
        self.answered_us = {voter.address: known.get(voter.address, now_us) for voter in roster.voters}

    def request_checks(self, *, roster: Roster, membership: Membership) -> None:
        """Starts indirect probes of each voter that has been silent for half of `lost_after_us`.

        Their results are then known when the time is up.
        """
        for voter in roster.voters:
            silent = self._silent_us(voter=voter) > self.lost_after_us // 2
            if silent and membership.standing(name=voter.name) == Standing.alive:
                self.ctx.spawn(work=membership.check(name=voter.name), name="voter.check")

    def replaceable(self, *, roster: Roster, membership: Membership) -> Voter | None:
        """A voter that may be replaced now, deregistered ones first; None if no voter is known to be lost."""
        for voter in roster.voters:
            if membership.standing(name=voter.name) == Standing.left:
                return voter
        for voter in roster.voters:
            silent = self._silent_us(voter=voter) > self.lost_after_us
            if silent and membership.standing(name=voter.name) != Standing.alive:
                return voter
        return None
