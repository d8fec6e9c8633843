"""Prints a digest of every counter's steps in nine trials: `python .ci/trial_traces.py`.

Trials run on virtual time with seeded randomness, so that the same sources give the same digests. A change that
renames or rewords leaves them as they are. `--steps FOLDER` writes each step (time in us, counter, count) to a file
per trial, for a diff of two checkouts. Trials are taken by their place in the tables, which survives a rename.
"""

import argparse
import asyncio
import hashlib
import multiprocessing
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SEED = 1
# places in the tables of trials: of the product's own system, and of the platform
SYSTEM_TRIALS = (13, 48)
PLATFORM_TRIALS = (2, 6, 50, 52, 53, 64, 93)


def trace(task: tuple[str, int]) -> tuple[str, list[str], list[str]]:
    """Plays one trial; returns its name, the steps of all counters, and what its checkers found wrong."""
    sys.path[:0] = [str(ROOT / "src")]
    from cinderstair.runtime.counters import Counters

    steps = []
    add, gauge = Counters.add, Counters.gauge

    def now_us() -> int:
        return round(asyncio.get_running_loop().time() * 1_000_000)

    def traced_add(self: Counters, *, name: str, count: int = 1) -> None:
        steps.append(f"{now_us()} {name} +{count}")
        add(self, name=name, count=count)

    def traced_gauge(self: Counters, *, name: str, value: int) -> None:
        steps.append(f"{now_us()} {name} ={value}")
        gauge(self, name=name, value=value)

    Counters.add, Counters.gauge = traced_add, traced_gauge  # type: ignore[method-assign]
    kind, place = task
    if kind == "system":
        from cinderstair.simulation.trials import TRIALS, run_trial

        name = list(TRIALS)[place]
        wrong = run_trial(name=name, seed=SEED).wrong
    else:
        from cinderstair.simulation.platformsim import platform_trials

        name = list(platform_trials.TRIALS)[place]
        wrong = platform_trials.run_trial(name=name, seed=SEED).wrong
    return name, steps, wrong


def main() -> int:
    """Prints a line a trial: its name, the number of steps, their digest, and how many things were wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--steps", type=Path, help="folder for the steps themselves")
    options = parser.parse_args()
    tasks = [("system", place) for place in SYSTEM_TRIALS] + [("platform", place) for place in PLATFORM_TRIALS]
    empty = False
    with multiprocessing.Pool(options.processes, maxtasksperchild=1) as pool:
        for number, (name, steps, wrong) in enumerate(pool.imap(trace, tasks)):
            empty = empty or not steps
            text = "\n".join(steps)
            print(f"{number} {name}: {len(steps)} steps, {hashlib.sha256(text.encode()).hexdigest()[:16]}", end="")
            print(f", wrong: {len(wrong)}", flush=True)
            if options.steps:
                options.steps.mkdir(parents=True, exist_ok=True)
                (options.steps / f"{number}.txt").write_text(text + "\n", encoding="utf-8")
    return 1 if empty else 0


if __name__ == "__main__":
    sys.exit(main())
