"""Explores a small case of the register, the lease or the roster's change, all of it within bounds.

The result goes to standard output as JSON, the progress to standard error. Ends with 1 where a state is wrong, with 2
where the arguments can't be read.
"""

import argparse
import json
import sys
import time
from dataclasses import asdict

from .exploration import Exploration
from .models import MODELS
from .search_report import SearchReport
from .seeded_bugs import SEEDED_BUGS

BUDGET_WORDS = {
    "losses": "messages may be lost",
    "late": "questions may arrive after they were given up",
    "doubles": "questions may arrive twice",
    "restarts": "register replicas may lose their power",
    "wipes": "register replicas may lose their disks",
    "passes": "times a second may pass",
    "timers": "timers may fire",
}


def count(text: str) -> int:
    number = int(text)
    if number < 0:
        raise argparse.ArgumentTypeError(f"{text}: not a count")
    return number


def choice_list(text: str) -> list[int]:
    return [count(part) for part in text.split(",")]


def parser() -> argparse.ArgumentParser:
    found = argparse.ArgumentParser(prog="python -m cinderstair.simulation.explorer", description=__doc__)
    found.add_argument("--model", required=True, choices=list(MODELS))
    found.add_argument("--depth", type=count, help="the most choices on a way (default: the model's)")
    found.add_argument("--turns", type=count, help="the most choices other than the first (default: the model's)")
    found.add_argument(
        "--breadth", action="store_true", help="every choice costs the same: shortest ways, small depths"
    )
    found.add_argument("--states", type=count, default=1_000_000, help="the most states (default: a million)")
    for name, words in BUDGET_WORDS.items():
        found.add_argument(f"--{name}", type=count, help=f"how many {words} (default: the model's)")
    found.add_argument("--fault", default="", choices=["", *SEEDED_BUGS], help="a fault to switch in")
    found.add_argument("--replay", type=choice_list, metavar="N,N,...", help="only these, other arguments as before")
    return found


def main(argv: list[str] | None = None) -> int:
    options = parser().parse_args(argv)
    if options.breadth and options.turns is not None:
        parser().error("--breadth knows no turns")
    given = {name: getattr(options, name) for name in BUDGET_WORDS}
    exploration = Exploration(
        model=options.model,
        depth=options.depth,
        turns=options.turns,
        breadth=options.breadth,
        budget={name: number for name, number in given.items() if number is not None},
        fault=options.fault,
        max_states=options.states,
    )
    if options.replay is not None:
        try:
            reported, wrong = exploration.replay(choices=options.replay)
        except IndexError:
            parser().error("--replay: there is no such choice")
        print(json.dumps({"model": options.model, "wrong": wrong, "told": reported}, indent=1))
        return 1 if wrong else 0
    began = time.monotonic()

    def on_progress(report: SearchReport) -> None:
        seconds = time.monotonic() - began
        line = f"{seconds:.0f} s: {report.states} states, {report.transitions} transitions, depth {report.depth}"
        print(line, file=sys.stderr, flush=True)

    report = exploration.run(on_progress=on_progress)
    result = {"model": options.model, "fault": options.fault, "exhausted": report.exhausted, **asdict(report)}
    print(json.dumps({**result, "seconds": round(time.monotonic() - began, 1)}, indent=1))
    return 1 if report.wrong else 0


if __name__ == "__main__":
    sys.exit(main())
