"""The simulated network for records, with machines that lost power."""

import random

from ..sim_net import SimNetwork
from ..virtual_loop import VirtualLoop

FAST_US, SLOW_US = 300, 5_000


class PlatformNetwork(SimNetwork):
    """Drops everything from and to an unreachable machine silently, without resets."""

    def __init__(self, *, loop: VirtualLoop, rng: random.Random) -> None:
        super().__init__(loop=loop, rng=rng)
        self.fast_us, self.slow_us = FAST_US, SLOW_US
        self.unreachable: set[str] = set()

    def passes(self, *, source: str, target: str) -> bool:
        return (source, target) not in self.cuts and source not in self.unreachable and target not in self.unreachable
