"""How many voters are alive, and how many more may be lost."""

from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from .roster import Roster, Voter


def alive_voters(*, roster: Roster, membership: Membership) -> list[Voter]:
    """The voters that the membership does not hold to be lost or gone."""
    return [voter for voter in roster.voters if membership.standing(name=voter.name) == Standing.alive]


class MissingVotes:
    """Owns since when fewer voters are alive than there are to be."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        # on this process's monotonic clock; None while no vote is missing
        self.since_us: int | None = None

    def update(self, *, alive: int, wanted: int) -> None:
        """Takes in a count of the voters that are alive."""
        if alive >= wanted:
            self.since_us = None
            return
        self.ctx.counters.add(name="vault.votesMissing")
        if self.since_us is None:
            self.since_us = self.ctx.now_us()
