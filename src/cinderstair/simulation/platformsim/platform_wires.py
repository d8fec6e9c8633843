"""The simulated network of records, with machines that have gone dark."""

import random

from ..sim_net import SimNetwork
from ..virtual_loop import VirtualLoop

FAST_US, SLOW_US = 300, 5_000


class PlatformWires(SimNetwork):
    """A dark machine neither says nor hears anything, and nobody is told so."""

    def __init__(self, *, loop: VirtualLoop, rng: random.Random) -> None:
        super().__init__(loop=loop, rng=rng)
        self.fast_us, self.slow_us = FAST_US, SLOW_US
        self.dark: set[str] = set()

    def passes(self, *, source: str, target: str) -> bool:
        return (source, target) not in self.cuts and source not in self.dark and target not in self.dark
