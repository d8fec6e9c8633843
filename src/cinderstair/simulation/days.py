"""Runs days: in order, over many seeds, and shrinks a failing one to its shortest failing string of failures."""

import argparse
import heapq
import multiprocessing
import random
import sys
from collections.abc import Callable

from .day import PROXY_ADDRESSES, Day, opened, planned
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
    "denials with when to come back",
    "services that had to come back",
    "HTTP proxies called ready that had to serve",
)


def plan(*, place: str, seed: int, whole: bool) -> list[InjectedFault]:
    for_us, every_us = (WHOLE_US, WHOLE_EVERY_US) if whole else (SHORT_US, SHORT_EVERY_US)
    return planned(place=place, seed=seed, kinds=list(INJECTED_FAULTS), for_us=for_us, every_us=every_us)


def run_day(*, place: str, seed: int, injected_faults: list[InjectedFault]) -> Verdict:
    day = opened(place=place, seed=seed)
    try:
        undone = _fall(day=day, injected_faults=injected_faults, seed=seed)
        for undo in undone:
            undo()
        day.trial.go(for_us=6_000_000)
        last_injected_fault(day=day, rng=random.Random(f"last/{seed}"))
        day.trial.fault()
        day.trial.go(for_us=SETTLE_US)
        verdict = day.trial.judge()
        verdict.chances += day.fallen
        if injected_faults:
            verdict.need(names=NEEDS)
        return verdict
    except AssertionError as error:
        day.trial.verdict.wrong.append(str(error))
        return day.trial.verdict
    finally:
        day.world.close()


def _fall(*, day: Day, injected_faults: list[InjectedFault], seed: int) -> list[Undo]:
    """Lets each failure fall and end in its time; what is left to undo at the end of the day."""
    start_us = day.world.now_us
    ends: list[tuple[int, int, Undo]] = []
    for injected_fault in injected_faults:
        _until(day=day, ends=ends, until_us=start_us + injected_fault.at_us)
        rng = random.Random(f"blow/{seed}/{injected_fault.number}")
        undo = INJECTED_FAULTS[injected_fault.kind](day=day, rng=rng, length_us=injected_fault.length_us)
        # why: with as many struck as must be survived the next one is spared, and is not counted as fallen
        if undo is not None:
            day.fallen[f"blow {injected_fault.kind}"] += 1
            heapq.heappush(ends, (day.world.now_us + injected_fault.length_us, injected_fault.number, undo))
    _until(
        day=day,
        ends=ends,
        until_us=start_us + max((injected_fault.at_us for injected_fault in injected_faults), default=0) + 2_000_000,
    )
    return [undo for _, _, undo in sorted(ends, key=lambda end: end[:2])]


def _until(*, day: Day, ends: list[tuple[int, int, Undo]], until_us: int) -> None:
    while ends and ends[0][0] <= until_us:
        end_us, _, undo = heapq.heappop(ends)
        day.trial.go(for_us=max(0, end_us - day.world.now_us))
        undo()
    day.trial.go(for_us=max(0, until_us - day.world.now_us))


def shortest(
    *, injected_faults: list[InjectedFault], fails: Callable[[list[InjectedFault]], bool]
) -> list[InjectedFault]:
    """Leaves out halves, then quarters, down to single failures, as long as the rest still fails."""
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


def one(task: tuple[str, int, bool]) -> tuple[str, int, Verdict]:
    place, seed, whole = task
    try:
        return place, seed, run_day(place=place, seed=seed, injected_faults=plan(place=place, seed=seed, whole=whole))
    except Exception as error:  # noqa: BLE001
        # why: a day that breaks off is a failure to report with its seed, not the end of the sweep
        return place, seed, Verdict(wrong=[f"broke off: {error!r}"])


def shrink(*, place: str, seed: int, whole: bool) -> int:
    injected_faults = plan(place=place, seed=seed, whole=whole)
    first = run_day(place=place, seed=seed, injected_faults=injected_faults).wrong
    if not first:
        print(f"{place} seed {seed} does not fail")
        return 0
    # why: a shorter day counts as failing only by the same kind of failure, the words before any figure
    sign = first[0].split(" ")[0:2]

    def fails(rest: list[InjectedFault]) -> bool:
        wrong = run_day(place=place, seed=seed, injected_faults=rest).wrong
        print(f"{len(rest)} failures: {wrong[:1]}", flush=True)
        return any(line.split(" ")[0:2] == sign for line in wrong)

    left = shortest(injected_faults=injected_faults, fails=fails)
    print(f"{place} seed {seed}, {' '.join(sign)}: {', '.join(str(injected_fault) for injected_fault in left)}")
    return 1


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.days", description=__doc__)
    parser.add_argument("--places", default=",".join(PROXY_ADDRESSES))
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--short", action="store_true", help="a short day, as the tests run it")
    parser.add_argument("--processes", type=int, default=8)
    parser.add_argument("--shrink", action="store_true", help="shrink the first seed's day instead")
    options = parser.parse_args()
    places = options.places.split(",")
    if options.shrink:
        return shrink(place=places[0], seed=options.first, whole=not options.short)
    tasks = [
        (place, seed, not options.short)
        for seed in range(options.first, options.first + options.seeds)
        for place in places
    ]
    failed = 0
    with multiprocessing.Pool(options.processes, maxtasksperchild=1) as pool:
        for place, seed, verdict in pool.imap_unordered(one, tasks):
            failed += bool(verdict.wrong)
            worst = {key: round(us / 1_000_000, 2) for key, us in sorted(verdict.worst_us.items())}
            fallen = sum(count for name, count in verdict.chances.items() if name.startswith("blow "))
            print(
                f"{place} seed {seed}: {verdict.requests} jobs, {verdict.done} done, {verdict.unknown} unknown, "
                f"{fallen} failures; worst seconds {worst}; {len(verdict.wrong)} wrong {verdict.wrong[:4]}",
                flush=True,
            )
    print(f"{failed} of {len(tasks)} days failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
