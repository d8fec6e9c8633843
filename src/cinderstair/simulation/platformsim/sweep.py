"""Runs trials on the simulated platform over many seeds, and prints failures and worst figures."""

import argparse
import importlib
import logging
import multiprocessing
import sys
import time
from collections import Counter, defaultdict

from .platform_trials import TRIALS, run_trial
from .platform_verdict import PlatformVerdict
from .repository import see_adapter
from .seeded_bugs import FAULTS, switched_in


def one(task: tuple[str, int, str]) -> tuple[str, int, float, PlatformVerdict]:
    name, seed, fault = task
    began = time.process_time()
    try:
        with switched_in(name=fault):
            verdict = run_trial(name=name, seed=seed)
    except Exception as error:  # noqa: BLE001
        # why: a trial that breaks off is a failure to report with its seed, not the end of the sweep
        verdict = PlatformVerdict(wrong=[f"broke off: {error!r}"])
    return name, seed, time.process_time() - began, verdict


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.platformsim.sweep", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--trials", default=",".join(TRIALS))
    parser.add_argument("--fault", default="", choices=["", *FAULTS])
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--log", action="store_true", help="print what the daemons write; one process, one seed")
    options = parser.parse_args()
    if options.log:
        logging.basicConfig(level=logging.INFO, format="%(name)s %(message)s", stream=sys.stdout)
        with switched_in(name=options.fault):
            verdict = run_trial(name=options.trials, seed=options.first, log_level=logging.INFO)
        print(*verdict.wrong, sep="\n")
        return 1 if verdict.wrong else 0
    see_adapter()
    # why: loaded before the processes part, so that a tree which is being worked on is the same to all of them
    for module in ("proxy_role", "controller_role"):
        importlib.import_module(f"adapter.{module}")
    tasks = [
        (name, seed, options.fault)
        for name in options.trials.split(",")
        for seed in range(options.first, options.first + options.seeds)
    ]
    runs: Counter[str] = Counter()
    failed: Counter[str] = Counter()
    served: dict[str, list[float]] = defaultdict(list)
    seconds: Counter[str] = Counter()
    chances: Counter[str] = Counter()
    answers: dict[str, Counter[str]] = defaultdict(Counter)
    most: dict[str, dict[str, int]] = defaultdict(dict)
    with multiprocessing.Pool(options.processes, maxtasksperchild=8) as pool:
        for name, seed, took_s, verdict in pool.imap_unordered(one, tasks):
            runs[name] += 1
            seconds[name] += took_s  # type: ignore[assignment]
            chances += verdict.chances
            answers[name] += verdict.answers
            served[name].append(verdict.served / max(1, verdict.owed))
            for key, value in verdict.figures.items():
                most[name][key] = max(most[name].get(key, 0), value)
            if verdict.wrong:
                failed[name] += 1
                print(f"{name} seed {seed}: {len(verdict.wrong)} wrong: {verdict.wrong[:3]}", flush=True)
    for name, count in runs.items():
        shares = served[name]
        print(
            f"{name}: {failed[name]} of {count} failed; {seconds[name] / count:.1f} s each; "
            f"served {sum(shares) / len(shares):.3f}, least {min(shares):.3f}; "
            f"{dict(answers[name])}; most {most[name]}"
        )
    print("chances to see a breach: " + ", ".join(f"{name} {count}" for name, count in sorted(chances.items())))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
