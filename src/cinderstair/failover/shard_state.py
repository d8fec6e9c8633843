"""The register's word on the shard map: the one in force, and the one that is to follow it."""

from dataclasses import dataclass, field
from enum import IntEnum

from ..config.shard_map import ShardMap, read_shard_map
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker

SHARDS_KEY = "shards"
# why: a proxy that has heard nothing lately ends what may end within this time, so a proposal stands at least as long
UNTOLD_US = 2_000_000
# why: a proxy that must stop gives up by then what is not answered, so whoever waits for it adds this
GIVE_UP_US = 500_000
UNDER_WAY_US = 3_000_000


class ShardPhase(IntEnum):
    """steady: one map. proposed: a next one is put to the proxies. closing: its databases take no writes anywhere."""

    steady = 0
    proposed = 1
    closing = 2


class Vote(IntEnum):
    """What a proxy says of the next map."""

    silent = 0
    agrees = 1
    disagrees = 2
    closed = 3


@dataclass(frozen=True, kw_only=True)
class ShardState:
    """`turn` counts the proposals, and votes are about one of them: a map that was given up may be put again.

    `under_way_us`: for how long what has left may still take effect after its link was lost; in the word, so that
    all reckon with the same. `why` is what became of the last proposal, where it was withdrawn.
    """

    phase: ShardPhase = ShardPhase.steady
    current: ShardMap = field(default_factory=ShardMap)
    following: ShardMap = field(default_factory=ShardMap)
    ready_in_us: int = 0
    turn: int = 0
    under_way_us: int = UNDER_WAY_US
    why: str = ""

    def moving(self, *, database: str) -> bool:
        """Whether a database's place differs between the two maps. One that neither names stays where it is."""
        if self.phase == ShardPhase.steady:
            return False
        return self.current.places.get(database) != self.following.places.get(database)

    def bytes(self) -> bytes:
        packer = Packer().u8(value=self.phase)
        self.current.write(packer=packer)
        self.following.write(packer=packer)
        packer.u64(value=self.ready_in_us).u64(value=self.turn).u64(value=self.under_way_us)
        return packer.text(value=self.why).bytes()


def read_shard_state(*, data: bytes) -> ShardState:
    """Raises ValueError where the bytes are none; no bytes at all are the empty map."""
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
        turn=unpacker.u64(),
        under_way_us=unpacker.u64(),
        why=unpacker.text(),
    )
    unpacker.done()
    return state
