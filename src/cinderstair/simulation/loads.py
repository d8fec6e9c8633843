"""Measures records, HTTP requests and syncs by number of HTTP proxies: idle per second, and per operation."""

import argparse
import json
import sys
from collections import Counter
from typing import Any

from ..runtime.message_types import MessageType
from .world import World

SPAN_US = 10_000_000


def totals(*, world: World) -> Counter[str]:
    """Returns the total counts of all machines so far."""
    counts: Counter[str] = Counter()
    for name, count in world.network.work.items():
        kind = name.removeprefix("record ")
        counts[f"record {MessageType(int(kind)).name}" if kind.isdecimal() else name] += count
    counts["syncs"] = sum(world.disks[name].syncs for name in world.register_replica_names)
    counts["operations done"] = sum(event.outcome == "done" for event in world.history)
    return counts


def span(*, world: World) -> Counter[str]:
    """Returns the counts of the next SPAN_US."""
    before = totals(world=world)
    world.advance(for_us=SPAN_US)
    after = totals(world=world)
    after.subtract(before)
    return after


def measured(*, http_proxies: int, callers: int, seed: int = 1) -> dict[str, Any]:
    """Runs one system idle and then under load, and returns its rates."""
    world = World(seed=seed, http_proxies=http_proxies, databases=3, cap=max(64, 4 * http_proxies))
    try:
        world.begin()
        world.advance(for_us=3_000_000)
        idle = span(world=world)
        world.callers_begin(count=callers, think_us=640_000)
        world.advance(for_us=3_000_000)
        busy = span(world=world)
        seconds = SPAN_US / 1_000_000
        done = busy.pop("operations done")
        return {
            "stalls": http_proxies,
            "idleASecond": {name: round(count / seconds, 1) for name, count in sorted(idle.items()) if count},
            "idleASecondAStall": round(sum(idle.values()) / seconds / http_proxies, 1),
            "jobsASecond": round(done / seconds, 1),
            "moreAJob": {
                name: round((count - idle[name]) / done, 2)
                for name, count in sorted(busy.items())
                if done and abs(count - idle[name]) > done / 50
            },
        }
    finally:
        world.close()


def main() -> int:
    """Prints the rates for each number of HTTP proxies as JSON lines."""
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.loads", description=__doc__)
    parser.add_argument("--http-proxies", default="3,9,30", help="comma-separated numbers of HTTP proxies")
    parser.add_argument("--callers", type=int, default=120)
    options = parser.parse_args()
    for each in options.http_proxies.split(","):
        print(json.dumps(measured(http_proxies=int(each), callers=options.callers)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
