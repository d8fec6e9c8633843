"""The register's state of the shard map: the active map and the proposed one."""

from dataclasses import dataclass, field
from enum import IntEnum

from ..config.shard_map import ShardMap, read_shard_map
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

SHARDS_KEY = "shards"
# Minimum duration of the proposed phase, in microseconds: a proxy that has not seen the proposal may still commit
# open transactions for this long.
MIN_PROPOSED_US = 2_000_000
# Timeout of a proxy's unanswered statements once it must stop writing, in microseconds; added to every wait for
# proxies.
CLOSING_REPLY_TIMEOUT_US = 500_000
# Default of `ShardState.in_flight_us`, in microseconds.
IN_FLIGHT_US = 3_000_000


class ShardPhase(IntEnum):
    """The phases of a change. The names appear in texts for operators.

    steady: one map is active and none proposed. proposed: proxies vote on a map. closing: the moving databases
    accept no writes at any service.
    """

    steady = 0
    proposed = 1
    closing = 2


class Vote(IntEnum):
    """A proxy's vote on the proposed map. The names appear in texts for operators."""

    silent = 0
    agrees = 1
    disagrees = 2
    closed = 3


@dataclass(frozen=True, kw_only=True)
class ShardState:
    """The value of the register's key for shard maps.

    :param current: the active map; the empty map if none was ever activated.
    :param following: the proposed map; the empty map in phase steady.
    :param ready_in_us: estimated duration of the closing phase, sent to clients; 0 in other phases.
    :param proposal: number of the proposal. Votes refer to it, since a withdrawn map may be proposed again.
    :param in_flight_us: how long a sent write may still take effect after its connection was lost. Part of the state,
        so that all daemons use the same value.
    :param reason: why the last proposal was withdrawn; empty if it was not.
    """

    phase: ShardPhase = ShardPhase.steady
    current: ShardMap = field(default_factory=ShardMap)
    following: ShardMap = field(default_factory=ShardMap)
    ready_in_us: int = 0
    proposal: int = 0
    in_flight_us: int = IN_FLIGHT_US
    reason: str = ""

    def moving(self, *, database: str) -> bool:
        """Whether the maps place a database at different services; False if neither map names it."""
        if self.phase == ShardPhase.steady:
            return False
        return self.current.placements.get(database) != self.following.placements.get(database)

    def bytes(self) -> bytes:
        """The encoded state, as stored in the register."""
        packer = Packer().u8(value=self.phase)
        self.current.write(packer=packer)
        self.following.write(packer=packer)
        packer.u64(value=self.ready_in_us).u64(value=self.proposal).u64(value=self.in_flight_us)
        return packer.text(value=self.reason).bytes()


def read_shard_state(*, data: bytes) -> ShardState:
    """Decodes the output of `ShardState.bytes`; empty input is the empty map. Raises ValueError if malformed."""
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
