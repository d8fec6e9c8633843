"""What must hold of the register replicas' disks at any moment, whoever asks next."""

from collections.abc import Callable, Sequence
from functools import lru_cache
from itertools import combinations

from ...consensus.ballot import BLANK
from ...consensus.roster import Roster
from ...consensus.roster import read_roster as read_roster
from .replica_actor import ReplicaFacts


@lru_cache(maxsize=1_000)
def roster_of(data: bytes) -> Roster:
    return read_roster(data=data)


def rosters_of(*, register_replicas: Sequence[ReplicaFacts]) -> list[Roster]:
    """Every roster that some register replica has adopted, each once, by epoch."""
    found = {facts.roster for facts in register_replicas if facts.roster}
    return sorted((roster_of(data) for data in found), key=lambda roster: roster.epoch)


def able(*, roster: Roster, register_replicas: Sequence[ReplicaFacts]) -> list[ReplicaFacts]:
    """The voters that may still vote under the roster: there, and not gone on to a later one."""
    found = []
    for facts in register_replicas:
        epoch = roster_of(facts.roster).epoch if facts.roster else 0
        if roster.has(ident=facts.ident) and epoch <= roster.epoch:
            found.append(facts)
    return found


@lru_cache(maxsize=100_000)
def apart(*, register_replicas: tuple[ReplicaFacts, ...]) -> str:
    """Two majorities that could both vote and do not meet; empty where there are none."""
    rosters = rosters_of(register_replicas=register_replicas)
    for one, other in combinations(rosters, 2):
        if one.epoch == other.epoch:
            return f"two rosters of epoch {one.epoch}"
        first = {facts.ident for facts in able(roster=one, register_replicas=register_replicas)}
        second = {facts.ident for facts in able(roster=other, register_replicas=register_replicas)}
        enough = len(first) >= one.majority and len(second) >= other.majority
        if enough and len(first | second) >= one.majority + other.majority:
            return f"majorities of epochs {one.epoch} and {other.epoch} that don't meet could vote now"
    return ""


@lru_cache(maxsize=100_000)
def missing(
    *, register_replicas: tuple[ReplicaFacts, ...], key: str, version: int, version_of: Callable[[bytes], int]
) -> str:
    """A majority that could vote now and whose newest value is older than an acknowledged one; empty where none."""
    for roster in rosters_of(register_replicas=register_replicas):
        voters = able(roster=roster, register_replicas=register_replicas)
        for majority in combinations(voters, roster.majority):
            newest, value = BLANK, b""
            for facts in majority:
                for name, accepted, held in facts.cells:
                    if name == key and accepted > newest:
                        newest, value = accepted, held
            if version_of(value) < version:
                return f"version {version} was acknowledged, and a majority of epoch {roster.epoch} lacks it"
    return ""
