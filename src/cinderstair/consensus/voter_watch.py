"""Failure detection of voters by a standby, which may take the seat of one that is lost."""

from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from .roster import Roster, Voter

MIN_LOST_AFTER_US = 500_000
MAX_LOST_AFTER_US = 2_000_000
# of the time within which the system must bear the next loss, one part in so many is spent on detecting a loss
DETECTION_SHARE = 4


def lost_after_us(*, catch_up_us: int) -> int:
    """How long a voter must be silent to be held lost, in microseconds.

    :param catch_up_us: the time after a loss within which another must be borne.
    """
    return min(MAX_LOST_AFTER_US, max(MIN_LOST_AFTER_US, catch_up_us // DETECTION_SHARE))


class VoterWatch:
    """Owns the moments at which each voter last answered this replica.

    A voter's seat may be taken at once when it has deregistered, and when it has answered neither this replica for
    `lost_after_us` microseconds nor those that checked it on this replica's behalf. A wrong verdict costs a snapshot
    and no more: the roster's own rule keeps a voter harmless that was only cut off or slow.
    """

    def __init__(self, *, ctx: Context, lost_after_us: int) -> None:
        self.ctx = ctx
        self.lost_after_us = lost_after_us
        self.epoch = 0
        self.answered_us: dict[str, int] = {}

    def answered(self, *, address: str) -> None:
        """The replica at an address has just answered a join request."""
        self.answered_us[address] = self.ctx.now_us()

    def _silent_us(self, *, voter: Voter) -> int:
        return self.ctx.now_us() - self.answered_us[voter.address]

    def follow(self, *, roster: Roster) -> None:
        """Watches the voters of a roster. The silence of one that is new to the watch counts from now."""
        if roster.epoch == self.epoch:
            return
        self.epoch = roster.epoch
        known, now_us = self.answered_us, self.ctx.now_us()
        self.answered_us = {voter.address: known.get(voter.address, now_us) for voter in roster.voters}

    def request_checks(self, *, roster: Roster, membership: Membership) -> None:
        """Has the other members probe each voter that has been silent for half of the time.

        So their verdict is known by the end of it.
        """
        for voter in roster.voters:
            silent = self._silent_us(voter=voter) > self.lost_after_us // 2
            if silent and membership.standing(name=voter.name) == Standing.alive:
                self.ctx.spawn(work=membership.check(name=voter.name), name="voter.check")

    def replaceable(self, *, roster: Roster, membership: Membership) -> Voter | None:
        """A voter whose seat may be taken now; None where all are there, or where that is not known yet."""
        for voter in roster.voters:
            if membership.standing(name=voter.name) == Standing.left:
                return voter
        for voter in roster.voters:
            silent = self._silent_us(voter=voter) > self.lost_after_us
            if silent and membership.standing(name=voter.name) != Standing.alive:
                return voter
        return None
