"""Counts the voters that are alive, and the time since which votes are missing."""

from ..membership.member import Standing
from ..membership.membership import Membership
from ..runtime.context import Context
from .roster import Roster, Voter


def alive_voters(*, roster: Roster, membership: Membership) -> list[Voter]:
    """The voters whose state in the membership is alive; suspected voters are not counted."""
    return [voter for voter in roster.voters if membership.standing(name=voter.name) == Standing.alive]


class MissingVotes:
    """Owns the time since which fewer voters are alive than wanted."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx
        # monotonic clock of this process; None while no vote is missing
        self.since_us: int | None = None

    def update(self, *, alive: int, wanted: int) -> None:
        """Records the current number of voters that are alive."""
        if alive >= wanted:
            self.since_us = None
            return
        self.ctx.counters.add(name="vault.votesMissing")
        if self.since_us is None:
            self.since_us = self.ctx.now_us()
