"""Runs days over many seeds, and shrinks a failing one to a minimal list of faults that still fails."""

import argparse
import heapq
import multiprocessing
import random
import sys
from collections.abc import Callable

from .day import WORKLOADS, Day, draw_faults, start_day
from .injected_fault import InjectedFault
from .injected_faults import INJECTED_FAULTS, Undo, last_injected_fault
from .trial import SETTLE_US, Verdict
from .trials import ALWAYS

SHORT_US, SHORT_EVERY_US = 32_000_000, 1_600_000
WHOLE_US, WHOLE_EVERY_US = 240_000_000, 3_000_000
NEEDS = (
    *ALWAYS,
    "commits before a promotion",
    "newer configuration in force",
    "rejections with a retry time",
    "services that had to recover",
    "ready HTTP proxies that had to serve",
)


def plan(*, workload: str, seed: int, whole: bool) -> list[InjectedFault]:
    """Returns the faults of a whole or a short day."""
    for_us, every_us = (WHOLE_US, WHOLE_EVERY_US) if whole else (SHORT_US, SHORT_EVERY_US)
    return draw_faults(workload=workload, seed=seed, kinds=list(INJECTED_FAULTS), for_us=for_us, every_us=every_us)


def run_day(*, workload: str, seed: int, injected_faults: list[InjectedFault]) -> Verdict:
    """Injects the faults under load, then a last severe one, and applies all checkers."""
    day = start_day(workload=workload, seed=seed)
    try:
        undone = _inject(day=day, injected_faults=injected_faults, seed=seed)
        for undo in undone:
            undo()
        day.trial.go(for_us=6_000_000)
        last_injected_fault(day=day, rng=random.Random(f"last/{seed}"))
        day.trial.fault()
        day.trial.go(for_us=SETTLE_US)
        verdict = day.trial.run_checkers()
        verdict.chances += day.injected
        if injected_faults:
            verdict.need(names=NEEDS)
        return verdict
    except AssertionError as error:
        day.trial.verdict.wrong.append(str(error))
        return day.trial.verdict
    finally:
        day.world.close()


def _inject(*, day: Day, injected_faults: list[InjectedFault], seed: int) -> list[Undo]:
    """Injects each fault and undoes it in its time; returns what is still to be undone at the end."""
    start_us = day.world.now_us
    ends: list[tuple[int, int, Undo]] = []
    for injected_fault in injected_faults:
        _advance_until(day=day, ends=ends, until_us=start_us + injected_fault.at_us)
        rng = random.Random(f"blow/{seed}/{injected_fault.number}")
        undo = INJECTED_FAULTS[injected_fault.kind](day=day, rng=rng, length_us=injected_fault.length_us)
        # None: too many machines are already affected, so the fault is skipped and not counted
        if undo is not None:
            day.injected[f"injected {injected_fault.kind}"] += 1
            heapq.heappush(ends, (day.world.now_us + injected_fault.length_us, injected_fault.number, undo))
    _advance_until(
        day=day,
        ends=ends,
        until_us=start_us + max((injected_fault.at_us for injected_fault in injected_faults), default=0) + 2_000_000,
    )
    return [undo for _, _, undo in sorted(ends, key=lambda end: end[:2])]


def _advance_until(*, day: Day, ends: list[tuple[int, int, Undo]], until_us: int) -> None:
    while ends and ends[0][0] <= until_us:
        end_us, _, undo = heapq.heappop(ends)
        day.trial.go(for_us=max(0, end_us - day.world.now_us))
        undo()
    day.trial.go(for_us=max(0, until_us - day.world.now_us))


def minimize_faults(
    *, injected_faults: list[InjectedFault], fails: Callable[[list[InjectedFault]], bool]
) -> list[InjectedFault]:
    """Removes chunks of half the list, then quarters, down to single faults, while the rest still fails.

    This is delta debugging (Zeller and Hildebrandt 2002) without the test of subsets.
    """
    size = max(1, len(injected_faults) // 2)
    while True:
        at, shorter = 0, False
        while at < len(injected_faults):
            rest = injected_faults[:at] + injected_faults[at + size :]
            if fails(rest):
                injected_faults, shorter = rest, True
            else:
                at += size
        if size == 1 and not shorter:
            return injected_faults
        size = size if shorter else max(1, size // 2)


def run_one(task: tuple[str, int, bool]) -> tuple[str, int, Verdict]:
    """Runs one day; an exception becomes a violation."""
    workload, seed, whole = task
    try:
        return (
            workload,
            seed,
            run_day(workload=workload, seed=seed, injected_faults=plan(workload=workload, seed=seed, whole=whole)),
        )
    except Exception as error:  # noqa: BLE001
        # An exception is reported with its seed and doesn't end the other runs
        return workload, seed, Verdict(wrong=[f"unhandled exception: {error!r}"])


def shrink(*, workload: str, seed: int, whole: bool) -> int:
    """Prints the minimal list of faults with which a day still fails; returns 0 if it doesn't fail."""
    injected_faults = plan(workload=workload, seed=seed, whole=whole)
    first = run_day(workload=workload, seed=seed, injected_faults=injected_faults).wrong
    if not first:
        print(f"{workload} seed {seed} does not fail")
        return 0
    # A shorter day counts as failing only with the same kind of violation: the first two words of its text
    violation = first[0].split(" ")[0:2]

    def fails(rest: list[InjectedFault]) -> bool:
        wrong = run_day(workload=workload, seed=seed, injected_faults=rest).wrong
        print(f"{len(rest)} faults: {wrong[:1]}", flush=True)
        return any(line.split(" ")[0:2] == violation for line in wrong)

    left = minimize_faults(injected_faults=injected_faults, fails=fails)
    print(
        f"{workload} seed {seed}, {' '.join(violation)}: {', '.join(str(injected_fault) for injected_fault in left)}"
    )
    return 1


def main() -> int:
    """Runs or shrinks days as the command line says; returns 1 if any failed."""
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.days", description=__doc__)
    parser.add_argument("--places", default=",".join(WORKLOADS))
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--short", action="store_true", help="run the short day of the tests")
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--shrink", action="store_true", help="shrink the day of the first seed and workload instead")
    options = parser.parse_args()
    places = options.places.split(",")
    if options.shrink:
        return shrink(workload=places[0], seed=options.first, whole=not options.short)
    tasks = [
        (workload, seed, not options.short)
        for seed in range(options.first, options.first + options.seeds)
        for workload in places
    ]
    failed = 0
    with multiprocessing.Pool(options.processes, maxtasksperchild=1) as pool:
        for workload, seed, verdict in pool.imap_unordered(run_one, tasks):
            failed += bool(verdict.wrong)
            worst = {key: round(us / 1_000_000, 2) for key, us in sorted(verdict.worst_us.items())}
            injected = sum(count for name, count in verdict.chances.items() if name.startswith("injected "))
            print(
                f"{workload} seed {seed}: {verdict.requests} operations, "
                f"{verdict.done} done, {verdict.unknown} unknown, "
                f"{injected} faults; worst seconds {worst}; "
                f"{len(verdict.wrong)} violations {verdict.wrong[:4]}",
                flush=True,
            )
    print(f"{failed} of {len(tasks)} days failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
