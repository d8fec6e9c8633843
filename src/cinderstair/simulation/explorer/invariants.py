"""Safety invariants of the register replicas' durable state, checked in every state."""

from collections.abc import Callable, Sequence
from functools import lru_cache
from itertools import combinations

from ...consensus.ballot import BLANK
from ...consensus.roster import Roster, read_roster
from .replica_actor import ReplicaObservation


@lru_cache(maxsize=1_000)
def parse_roster(data: bytes) -> Roster:
    """Decodes a roster, with a cache."""
    return read_roster(data=data)


def adopted_rosters(*, register_replicas: Sequence[ReplicaObservation]) -> list[Roster]:
    """The distinct rosters that register replicas have adopted, in order of their epochs."""
    found = {replica.roster for replica in register_replicas if replica.roster}
    return sorted((parse_roster(data) for data in found), key=lambda roster: roster.epoch)


def eligible_voters(*, roster: Roster, register_replicas: Sequence[ReplicaObservation]) -> list[ReplicaObservation]:
    """The voters of a roster that can still vote under it: present, and without a roster of a later epoch."""
    found = []
    for replica in register_replicas:
        epoch = parse_roster(replica.roster).epoch if replica.roster else 0
        if roster.has(ident=replica.ident) and epoch <= roster.epoch:
            found.append(replica)
    return found


@lru_cache(maxsize=100_000)
def find_disjoint_majorities(*, register_replicas: tuple[ReplicaObservation, ...]) -> str:
    """Describes two disjoint majorities of different rosters that could both vote now; empty if there are none."""
    rosters = adopted_rosters(register_replicas=register_replicas)
    for one, other in combinations(rosters, 2):
        if one.epoch == other.epoch:
            return f"two rosters of epoch {one.epoch}"
        first = {replica.ident for replica in eligible_voters(roster=one, register_replicas=register_replicas)}
        second = {replica.ident for replica in eligible_voters(roster=other, register_replicas=register_replicas)}
        enough = len(first) >= one.majority and len(second) >= other.majority
        if enough and len(first | second) >= one.majority + other.majority:
            return f"majorities of epochs {one.epoch} and {other.epoch} are disjoint and could both vote now"
    return ""


@lru_cache(maxsize=100_000)
def find_lost_version(
    *, register_replicas: tuple[ReplicaObservation, ...], key: str, version: int, version_of: Callable[[bytes], int]
) -> str:
    """Describes a majority that could vote now and lacks the acknowledged version; empty if there is none."""
    for roster in adopted_rosters(register_replicas=register_replicas):
        voters = eligible_voters(roster=roster, register_replicas=register_replicas)
        for majority in combinations(voters, roster.majority):
            newest, value = BLANK, b""
            for replica in majority:
                for name, accepted, held in replica.cells:
                    if name == key and accepted > newest:
                        newest, value = accepted, held
            if version_of(value) < version:
                return f"version {version} was acknowledged, and a majority of epoch {roster.epoch} lacks it"
    return ""
