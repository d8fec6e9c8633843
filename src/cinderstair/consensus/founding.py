"""Founds a system: a majority of the seeds chooses the first roster."""

from collections.abc import Mapping

from expression import Ok

from ..runtime.settings import Settings
from .register import Register
from .roster import ROSTER_KEY, Roster, Voter, read_roster

# after this time a majority of the seeds may found the system, so that a seed that is down or unreachable from the
# start does not block it
FOUNDING_WAIT_US = 3_000_000
FIRST_EPOCH = 1


def required_candidates(*, settings: Settings, waited_us: int) -> int:
    """How many replicas must be known before a first roster is proposed, after waiting `waited_us`."""
    if waited_us > FOUNDING_WAIT_US:
        return min(settings.founding_replicas, len(settings.seeds) // 2 + 1)
    return settings.founding_replicas


def first_roster(*, settings: Settings, me: Voter, candidates: Mapping[str, Voter], waited_us: int) -> Roster | None:
    """The roster to propose; None if this replica is not a seed, or too few candidates are known yet."""
    enough = len(candidates) >= required_candidates(settings=settings, waited_us=waited_us)
    if me.address not in settings.seeds or not enough:
        return None
    by_name = sorted(candidates.values(), key=lambda candidate: candidate.name)
    return Roster(epoch=FIRST_EPOCH, voters=tuple(by_name[: settings.founding_replicas]))


async def choose_first_roster(*, register: Register, proposal: Roster) -> Roster | None:
    """Has a majority of the seeds choose the first roster; a roster chosen earlier is kept.

    :returns: the roster to adopt, which may be another replica's proposal or a later roster; None if none is known.
    """
    data = proposal.bytes()
    chosen = await register.change(key=ROSTER_KEY, decide=lambda current: Ok(current or data), founding=True)
    if chosen.is_ok():
        roster = read_roster(data=chosen.ok.value)
        if roster.epoch == FIRST_EPOCH:
            return roster
    return register.roster
