"""The register's state of the shard map: the map in force, and the one that is to follow it."""

from dataclasses import dataclass, field
from enum import IntEnum

from ..config.shard_map import ShardMap, read_shard_map
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

SHARDS_KEY = "shards"
# A proxy that is out of touch may still commit what it has begun within this time, in microseconds; so a proposal
# stands for at least as long before its databases close.
UNNOTIFIED_GRACE_US = 2_000_000
# A proxy that must stop gives up what is not answered within this time, in microseconds; whoever waits for a proxy
# adds it.
GIVE_UP_US = 500_000
# The usual value of `ShardState.under_way_us`.
IN_FLIGHT_US = 3_000_000


class ShardPhase(IntEnum):
    """The phases of a change. The names appear in operators' texts.

    steady: one map is in force. proposed: a next one is put to the proxies' vote. closing: the databases that move
    take no writes anywhere.
    """

    steady = 0
    proposed = 1
    closing = 2


class Vote(IntEnum):
    """What a proxy says of the next map. The names appear in operators' texts."""

    silent = 0
    agrees = 1
    disagrees = 2
    closed = 3


@dataclass(frozen=True, kw_only=True)
class ShardState:
    """The value of the register's key for shard maps.

    :param current: the map in force; the empty one where none was ever put in force.
    :param following: the map that is to follow; the empty one while steady.
    :param ready_in_us: an estimate of how long the closing phase takes, for clients; 0 in other phases.
    :param proposal: counts the proposals. A vote is about one of them, since a withdrawn map may be proposed again.
    :param in_flight_us: for how long a write that has left may still take effect after its connection was lost. It is
        part of the state, so that all reckon with the same figure.
    :param reason: what became of the last proposal, where it was withdrawn; else empty.
    """

    phase: ShardPhase = ShardPhase.steady
    current: ShardMap = field(default_factory=ShardMap)
    following: ShardMap = field(default_factory=ShardMap)
    ready_in_us: int = 0
    proposal: int = 0
    in_flight_us: int = IN_FLIGHT_US
    reason: str = ""

    def moving(self, *, database: str) -> bool:
        """Whether the two maps place a database at different services. One that neither has stays where it is."""
        if self.phase == ShardPhase.steady:
            return False
        return self.current.placements.get(database) != self.following.placements.get(database)

    def bytes(self) -> bytes:
        """The state as it is kept in the register."""
        packer = Packer().u8(value=self.phase)
        self.current.write(packer=packer)
        self.following.write(packer=packer)
        packer.u64(value=self.ready_in_us).u64(value=self.proposal).u64(value=self.in_flight_us)
        return packer.text(value=self.reason).bytes()


def read_shard_state(*, data: bytes) -> ShardState:
    """Reads what `ShardState.bytes` wrote; no bytes at all are the empty map. Raises ValueError on other bytes."""
    if not data:
        return ShardState()
    unpacker = Unpacker(data=data)
    phase = ShardPhase(unpacker.u8())
    current, following = read_shard_map(unpacker=unpacker), read_shard_map(unpacker=unpacker)
    state = ShardState(
        phase=phase,
        current=current,
        following=following,
        ready_in_us=unpacker.u64(),
        proposal=unpacker.u64(),
        in_flight_us=unpacker.u64(),
        reason=unpacker.text(),
    )
    unpacker.done()
    return state
