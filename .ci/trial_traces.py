"""Prints a digest of all counter updates in each of nine trials: `python .ci/trial_traces.py`.

Trials run on virtual time with seeded randomness, so a change that only renames or rewords keeps the digests.
`--steps FOLDER` writes the updates (time in us, counter, change) to a file per trial, to compare two checkouts with
diff. Trials are selected by index, which does not depend on their names.
"""

import argparse
import asyncio
import hashlib
import multiprocessing
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SEED = 1
# indexes in the tables of trials of the product's own system and of the platform
SYSTEM_TRIAL_INDEXES = (13, 48)
PLATFORM_TRIAL_INDEXES = (2, 6, 50, 52, 53, 64, 93)


def trace(task: tuple[str, int]) -> tuple[str, list[str], list[str]]:
    """Runs one trial; returns its name, the counter updates, and the violations that its checkers found."""
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
    kind, index = task
    if kind == "system":
        from cinderstair.simulation.trials import TRIALS, run_trial

        name = list(TRIALS)[index]
        wrong = run_trial(name=name, seed=SEED).wrong
    else:
        from cinderstair.simulation.platformsim import platform_trials

        name = list(platform_trials.TRIALS)[index]
        wrong = platform_trials.run_trial(name=name, seed=SEED).wrong
    return name, steps, wrong


def main() -> int:
    """Prints a line for each trial: its name, the number of counter updates, their digest, the number of violations.

    Returns exit code 1 if a trial has no counter update.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--steps", type=Path, help="folder for a file of counter updates per trial")
    options = parser.parse_args()
    tasks = [("system", index) for index in SYSTEM_TRIAL_INDEXES] + [
        ("platform", index) for index in PLATFORM_TRIAL_INDEXES
    ]
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
