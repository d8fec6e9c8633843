"""Runs trials on the simulated platform over many seeds, and prints failures and the worst measurements."""

import argparse
import importlib
import logging
import multiprocessing
import sys
import time
from collections import Counter, defaultdict

from .platform_trial_result import PlatformTrialResult
from .platform_trials import TRIALS, run_trial
from .repository import add_adapter_to_path
from .seeded_bugs import FAULTS, switched_in


def play(task: tuple[str, int, str]) -> tuple[str, int, float, PlatformTrialResult]:
    name, seed, fault = task
    began = time.process_time()
    try:
        with switched_in(name=fault):
            result = run_trial(name=name, seed=seed)
    except Exception as error:  # noqa: BLE001
        # report the failure with its seed, and continue the sweep
        result = PlatformTrialResult(wrong=[f"aborted: {error!r}"])
    return name, seed, time.process_time() - began, result


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.platformsim.sweep", description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--trials", default=",".join(TRIALS))
    parser.add_argument("--fault", default="", choices=["", *FAULTS])
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument(
        "--log", action="store_true", help="print the log of all machines; runs one trial and one seed"
    )
    options = parser.parse_args()
    if options.log:
        logging.basicConfig(level=logging.INFO, format="%(name)s %(message)s", stream=sys.stdout)
        with switched_in(name=options.fault):
            result = run_trial(name=options.trials, seed=options.first, log_level=logging.INFO)
        print(*result.wrong, sep="\n")
        return 1 if result.wrong else 0
    add_adapter_to_path()
    # imported before forking, so that edits during a sweep don't reach some workers only
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
    checks: Counter[str] = Counter()
    answers: dict[str, Counter[str]] = defaultdict(Counter)
    worst: dict[str, dict[str, int]] = defaultdict(dict)
    with multiprocessing.Pool(options.processes, maxtasksperchild=8) as pool:
        for name, seed, took_s, result in pool.imap_unordered(play, tasks):
            runs[name] += 1
            seconds[name] += took_s  # type: ignore[assignment]
            checks += result.checks
            answers[name] += result.answers
            served[name].append(result.served / max(1, result.attempted))
            for key, value in result.figures.items():
                worst[name][key] = max(worst[name].get(key, 0), value)
            if result.wrong:
                failed[name] += 1
                print(f"{name} seed {seed}: {len(result.wrong)} wrong: {result.wrong[:3]}", flush=True)
    for name, count in runs.items():
        shares = served[name]
        print(
            f"{name}: {failed[name]} of {count} failed; {seconds[name] / count:.1f} s each; "
            f"served {sum(shares) / len(shares):.3f}, least {min(shares):.3f}; "
            f"{dict(answers[name])}; most {worst[name]}"
        )
    print("checks by rule: " + ", ".join(f"{name} {count}" for name, count in sorted(checks.items())))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
