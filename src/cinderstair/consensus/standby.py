"""Decisions of a standby (a register replica without a vote): whether to watch for a vacancy, and which to take."""

from dataclasses import dataclass

from ..membership.membership import Membership
from .roster import Roster, Voter
from .voter_watch import VoterWatch

# the role of register replicas in the membership's records
REPLICA_ROLE = "vault"
# the first standbys by name watch for vacancies; if all of many did, they would load the voters
MAX_WATCHING_STANDBYS = 2


@dataclass(frozen=True, kw_only=True)
class Vacancy:
    """A seat in the roster that may be taken. `leaves` names the voter to remove first; None if the seat is free."""

    leaves: str | None = None


def has_own_seat(*, roster: Roster, me: Voter) -> bool:
    """Whether a voter has this replica's name, under an earlier identity whose disk was lost."""
    return any(voter.name == me.name for voter in roster.voters)


def has_free_seat(*, roster: Roster, max_voters: int) -> bool:
    """Whether the roster has fewer voters than allowed."""
    return len(roster.voters) < max_voters


def watches_for_vacancy(*, roster: Roster, me: Voter, max_voters: int, membership: Membership) -> bool:
    """Whether this standby is one of those that take the next vacancy."""
    if has_own_seat(roster=roster, me=me) or has_free_seat(roster=roster, max_voters=max_voters):
        return True
    voters = {voter.name for voter in roster.voters}
    standbys = [member.name for member in membership.alive(role=REPLICA_ROLE) if member.name not in voters]
    return sum(name < me.name for name in standbys) < MAX_WATCHING_STANDBYS


def find_vacancy(
    *, roster: Roster, me: Voter, max_voters: int, membership: Membership, watch: VoterWatch
) -> Vacancy | None:
    """The seat of this replica's own name, else a free seat, else that of a lost voter; None if there is none."""
    if has_own_seat(roster=roster, me=me):
        return Vacancy(leaves=me.name)
    if has_free_seat(roster=roster, max_voters=max_voters):
        return Vacancy()
    lost = watch.replaceable(roster=roster, membership=membership)
    return None if lost is None else Vacancy(leaves=lost.name)
