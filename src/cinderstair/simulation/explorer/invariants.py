"""What must hold of the register replicas' disks at any moment, whoever asks next."""

from collections.abc import Callable, Sequence
from functools import lru_cache
from itertools import combinations

from ...consensus.ballot import BLANK
from ...consensus.roster import Roster
from ...consensus.roster import read_roster as read_roster
from .replica_actor import ReplicaObservation


@lru_cache(maxsize=1_000)
def parse_roster(data: bytes) -> Roster:
    return read_roster(data=data)


def adopted_rosters(*, register_replicas: Sequence[ReplicaObservation]) -> list[Roster]:
    """Every roster that some register replica has adopted, each once, by epoch."""
    found = {observation.roster for observation in register_replicas if observation.roster}
    return sorted((parse_roster(data) for data in found), key=lambda roster: roster.epoch)


def eligible_voters(*, roster: Roster, register_replicas: Sequence[ReplicaObservation]) -> list[ReplicaObservation]:
    """The voters that may still vote under the roster: there, and not gone on to a later one."""
    found = []
    for observation in register_replicas:
        epoch = parse_roster(observation.roster).epoch if observation.roster else 0
        if roster.has(ident=observation.ident) and epoch <= roster.epoch:
            found.append(observation)
    return found


@lru_cache(maxsize=100_000)
def find_disjoint_majorities(*, register_replicas: tuple[ReplicaObservation, ...]) -> str:
    """Two majorities that could both vote and do not meet; empty where there are none."""
    rosters = adopted_rosters(register_replicas=register_replicas)
    for one, other in combinations(rosters, 2):
        if one.epoch == other.epoch:
            return f"two rosters of epoch {one.epoch}"
        first = {
            observation.ident for observation in eligible_voters(roster=one, register_replicas=register_replicas)
        }
        second = {
            observation.ident for observation in eligible_voters(roster=other, register_replicas=register_replicas)
        }
        enough = len(first) >= one.majority and len(second) >= other.majority
        if enough and len(first | second) >= one.majority + other.majority:
            return f"majorities of epochs {one.epoch} and {other.epoch} that don't meet could vote now"
    return ""


@lru_cache(maxsize=100_000)
def find_lost_version(
    *, register_replicas: tuple[ReplicaObservation, ...], key: str, version: int, version_of: Callable[[bytes], int]
) -> str:
    """A majority that could vote now and whose newest value is older than an acknowledged one; empty where none."""
    for roster in adopted_rosters(register_replicas=register_replicas):
        voters = eligible_voters(roster=roster, register_replicas=register_replicas)
        for majority in combinations(voters, roster.majority):
            newest, value = BLANK, b""
            for observation in majority:
                for name, accepted, held in observation.cells:
                    if name == key and accepted > newest:
                        newest, value = accepted, held
            if version_of(value) < version:
                return f"version {version} was acknowledged, and a majority of epoch {roster.epoch} lacks it"
    return ""
