"""Runs trials over many seeds in several processes, and prints violations and the greatest times and counts."""

import argparse
import json
import multiprocessing
import sys
from collections import Counter, defaultdict
from typing import Any

from .trials import TRIALS, Verdict, run_trial


def run_one(task: tuple[str, int]) -> tuple[str, int, Verdict]:
    """Runs one trial; an exception becomes a violation."""
    name, seed = task
    try:
        return name, seed, run_trial(name=name, seed=seed)
    except Exception as error:  # noqa: BLE001
        # An exception is reported with its seed and doesn't end the other runs
        return name, seed, Verdict(wrong=[f"unhandled exception: {error!r}"])


def main() -> int:
    """Runs the trials of the command line; returns 1 if any seed failed."""
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.sweep", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--trials", default=",".join(TRIALS))
    parser.add_argument("--processes", type=int, default=8)
    options = parser.parse_args()
    tasks = [
        (name, seed)
        for name in options.trials.split(",")
        for seed in range(options.first, options.first + options.seeds)
    ]
    worst: dict[str, dict[str, int]] = defaultdict(dict)
    most: dict[str, dict[str, int]] = defaultdict(dict)
    chances: dict[str, Counter[str]] = defaultdict(Counter)
    runs: Counter[str] = Counter()
    totals: dict[str, Any] = defaultdict(lambda: [0, 0, 0, 0])
    with multiprocessing.Pool(options.processes, maxtasksperchild=4) as pool:
        for name, seed, verdict in pool.imap_unordered(run_one, tasks):
            for key, value_us in verdict.worst_us.items():
                worst[name][key] = max(worst[name].get(key, 0), value_us)
            for key, count in verdict.most.items():
                most[name][key] = max(most[name].get(key, 0), count)
            chances[name] += verdict.chances
            total = totals[name]
            total[0] += verdict.requests
            total[1] += verdict.done
            total[2] += verdict.unknown
            runs[name] += 1
            if verdict.wrong:
                total[3] += 1
                print(f"{name} seed {seed}: {len(verdict.wrong)} violations: {verdict.wrong[:3]}", flush=True)
    for name, (requests, done, unknown, failed) in totals.items():
        figures = {key: round(us / 1_000_000, 2) for key, us in sorted(worst[name].items())}
        print(f"{name}: {failed} of {runs[name]} seeds failed; "
              f"{requests} operations, {done} done, {unknown} unknown; "
              f"worst seconds {json.dumps(figures)}; most {json.dumps(most[name])}")  # fmt: skip
    everything: Counter[str] = Counter()
    for each in chances.values():
        everything += each
    print("cases checked: " + ", ".join(f"{name} {count}" for name, count in sorted(everything.items())))
    return 1 if any(total[3] for total in totals.values()) else 0


if __name__ == "__main__":
    sys.exit(main())
