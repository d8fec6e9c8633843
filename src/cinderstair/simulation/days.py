"""Runs days: in order, over many seeds, and shrinks a failing one to its shortest failing string of failures."""

import argparse
import heapq
import multiprocessing
import random
import sys
from collections.abc import Callable

from .blow import Blow
from .blows import BLOWS, Undo, last_blow
from .day import PLACES, Day, opened, planned
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
    "stalls called ready that had to serve",
)


def plan(*, place: str, seed: int, whole: bool) -> list[Blow]:
    for_us, every_us = (WHOLE_US, WHOLE_EVERY_US) if whole else (SHORT_US, SHORT_EVERY_US)
    return planned(place=place, seed=seed, kinds=list(BLOWS), for_us=for_us, every_us=every_us)


def run_day(*, place: str, seed: int, blows: list[Blow]) -> Verdict:
    day = opened(place=place, seed=seed)
    try:
        undone = _fall(day=day, blows=blows, seed=seed)
        for undo in undone:
            undo()
        day.trial.go(for_us=6_000_000)
        last_blow(day=day, luck=random.Random(f"last/{seed}"))
        day.trial.fault()
        day.trial.go(for_us=SETTLE_US)
        verdict = day.trial.judge()
        verdict.chances += day.fallen
        if blows:
            verdict.need(names=NEEDS)
        return verdict
    except AssertionError as error:
        day.trial.verdict.wrong.append(str(error))
        return day.trial.verdict
    finally:
        day.world.close()


def _fall(*, day: Day, blows: list[Blow], seed: int) -> list[Undo]:
    """Lets each failure fall and end in its time; what is left to undo at the end of the day."""
    start_us = day.world.now_us
    ends: list[tuple[int, int, Undo]] = []
    for blow in blows:
        _until(day=day, ends=ends, until_us=start_us + blow.at_us)
        luck = random.Random(f"blow/{seed}/{blow.number}")
        undo = BLOWS[blow.kind](day=day, luck=luck, length_us=blow.length_us)
        # why: with as many struck as must be survived the next one is spared, and is not counted as fallen
        if undo is not None:
            day.fallen[f"blow {blow.kind}"] += 1
            heapq.heappush(ends, (day.world.now_us + blow.length_us, blow.number, undo))
    _until(day=day, ends=ends, until_us=start_us + max((blow.at_us for blow in blows), default=0) + 2_000_000)
    return [undo for _, _, undo in sorted(ends, key=lambda end: end[:2])]


def _until(*, day: Day, ends: list[tuple[int, int, Undo]], until_us: int) -> None:
    while ends and ends[0][0] <= until_us:
        end_us, _, undo = heapq.heappop(ends)
        day.trial.go(for_us=max(0, end_us - day.world.now_us))
        undo()
    day.trial.go(for_us=max(0, until_us - day.world.now_us))


def shortest(*, blows: list[Blow], fails: Callable[[list[Blow]], bool]) -> list[Blow]:
    """Leaves out halves, then quarters, down to single failures, as long as the rest still fails."""
    size = max(1, len(blows) // 2)
    while True:
        at, shorter = 0, False
        while at < len(blows):
            rest = blows[:at] + blows[at + size :]
            if fails(rest):
                blows, shorter = rest, True
            else:
                at += size
        if size == 1 and not shorter:
            return blows
        size = size if shorter else max(1, size // 2)


def one(task: tuple[str, int, bool]) -> tuple[str, int, Verdict]:
    place, seed, whole = task
    try:
        return place, seed, run_day(place=place, seed=seed, blows=plan(place=place, seed=seed, whole=whole))
    except Exception as error:  # noqa: BLE001
        # why: a day that breaks off is a failure to report with its seed, not the end of the sweep
        return place, seed, Verdict(wrong=[f"broke off: {error!r}"])


def shrink(*, place: str, seed: int, whole: bool) -> int:
    blows = plan(place=place, seed=seed, whole=whole)
    first = run_day(place=place, seed=seed, blows=blows).wrong
    if not first:
        print(f"{place} seed {seed} does not fail")
        return 0
    # why: a shorter day counts as failing only by the same kind of failure, the words before any figure
    sign = first[0].split(" ")[0:2]

    def fails(rest: list[Blow]) -> bool:
        wrong = run_day(place=place, seed=seed, blows=rest).wrong
        print(f"{len(rest)} failures: {wrong[:1]}", flush=True)
        return any(line.split(" ")[0:2] == sign for line in wrong)

    left = shortest(blows=blows, fails=fails)
    print(f"{place} seed {seed}, {' '.join(sign)}: {', '.join(str(blow) for blow in left)}")
    return 1


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m cinderstair.simulation.days", description=__doc__)
    parser.add_argument("--places", default=",".join(PLACES))
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
                f"{place} seed {seed}: {verdict.jobs} jobs, {verdict.done} done, {verdict.unknown} unknown, "
                f"{fallen} failures; worst seconds {worst}; {len(verdict.wrong)} wrong {verdict.wrong[:4]}",
                flush=True,
            )
    print(f"{failed} of {len(tasks)} days failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
