"""Measures how a shard map change's write pause and messages grow with the number of proxies, on virtual time."""

import argparse
import sys
import time
from collections import Counter
from dataclasses import dataclass

from ...failover.shard_state import ShardPhase
from .platform_world import PlatformWorld
from .repository import add_adapter_to_path
from .shard_trials import await_map, await_phase, coordinator_of, propose

IDLE_MS = 2_000


@dataclass(frozen=True, kw_only=True)
class Growth:
    """`closing_us` is the closing phase at the coordinator; `pause_us` lasts until the last proxy has the new map."""

    proxies: int
    closing_us: int
    pause_us: int
    idle_requests_per_second: int
    change_requests_per_second: int
    state_bytes: int
    took_s: float


def requests_sent(*, world: PlatformWorld) -> int:
    """The number of proxies' requests that all controllers have answered."""
    counts: Counter[str] = Counter()
    for name in world.controllers:
        counts += world.contexts[name].counters.counts
    return counts["relay.whole"] + counts["relay.changes"]


def measure(*, proxies: int, seed: int = 1) -> Growth:
    """Runs one shard map change with this number of proxies."""
    began_s = time.process_time()
    world = PlatformWorld(seed=seed, proxies=proxies)
    try:
        world.begin()
        before = requests_sent(world=world)
        world.advance(for_ms=IDLE_MS)
        calm = (requests_sent(world=world) - before) * 1_000 // IDLE_MS
        before, from_us = requests_sent(world=world), world.now_us
        assert not propose(world=world)
        await_phase(world=world, phase=ShardPhase.closing)
        closes_us = world.now_us
        await_map(world=world, within_ms=30_000)
        over_us = world.now_us
        change = (requests_sent(world=world) - before) * 1_000_000 // (over_us - from_us)
        coordinators = [world.roles[name].controller.shards for name in world.controllers]
        return Growth(
            proxies=proxies,
            closing_us=max(coordinator.closing_us or 0 for coordinator in coordinators),
            pause_us=over_us - closes_us,
            idle_requests_per_second=calm,
            change_requests_per_second=change,
            state_bytes=len(coordinator_of(world=world).state.bytes()),
            took_s=time.process_time() - began_s,
        )
    finally:
        world.close()


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.platformsim.shard_growth")
    parser.add_argument("--proxies", default="9,27,81")
    options = parser.parse_args()
    add_adapter_to_path()
    print(
        "| Proxies | Closing, ms | Applied by all after, ms | Requests a second, idle | during the change | CPU, s |"
    )
    print("| ---: | ---: | ---: | ---: | ---: | ---: |")
    for count in options.proxies.split(","):
        found = measure(proxies=int(count))
        print(
            f"| {found.proxies} | {found.closing_us // 1_000} | {found.pause_us // 1_000} "
            f"| {found.idle_requests_per_second} | {found.change_requests_per_second} | {found.took_s:.1f} |",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
