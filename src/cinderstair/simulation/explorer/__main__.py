"""Explores all states of a small model of the register, the lease or the roster change within bounds.

The result goes to standard output as JSON, progress to standard error. Exits with 1 if a state violates an invariant,
with 2 if the arguments are invalid.
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

BUDGET_HELP = {
    "losses": "messages may be lost",
    "late": "requests may arrive after their sender timed out",
    "doubles": "requests may be delivered twice",
    "restarts": "times a register replica may crash and restart",
    "wipes": "times a register replica may lose its disk",
    "passes": "times the clocks may advance by a second",
    "timers": "timers may fire",
}


def count(text: str) -> int:
    """Parses a non-negative integer."""
    number = int(text)
    if number < 0:
        raise argparse.ArgumentTypeError(f"{text}: not a non-negative integer")
    return number


def schedule(text: str) -> list[int]:
    """Parses a comma-separated list of action indices."""
    return [count(part) for part in text.split(",")]


def parser() -> argparse.ArgumentParser:
    """The parser of the command line."""
    arguments = argparse.ArgumentParser(prog="python -m cinderstair.simulation.explorer", description=__doc__)
    arguments.add_argument("--model", required=True, choices=list(MODELS))
    arguments.add_argument("--depth", type=count, help="maximum number of actions on a path (default: the model's)")
    arguments.add_argument(
        "--turns", type=count, help="maximum number of deviations from the default schedule (default: the model's)"
    )
    arguments.add_argument(
        "--breadth",
        action="store_true",
        help="search breadth first without a bound on turns: shortest counterexample",
    )
    arguments.add_argument(
        "--states", type=count, default=1_000_000, help="maximum number of states (default: 1000000)"
    )
    for name, words in BUDGET_HELP.items():
        arguments.add_argument(f"--{name}", type=count, help=f"how many {words} (default: the model's)")
    arguments.add_argument("--fault", default="", choices=["", *SEEDED_BUGS], help="seeded bug to enable")
    arguments.add_argument(
        "--replay",
        type=schedule,
        metavar="N,N,...",
        help="replay this schedule only; give the other arguments as in the search",
    )
    return arguments


def main(argv: list[str] | None = None) -> int:
    """Runs the command line and returns the exit code."""
    options = parser().parse_args(argv)
    if options.breadth and options.turns is not None:
        parser().error("--breadth can't be combined with --turns")
    given = {name: getattr(options, name) for name in BUDGET_HELP}
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
            descriptions, violation = exploration.replay(choices=options.replay)
        except IndexError:
            parser().error("--replay: index beyond the enabled actions")
        print(json.dumps({"model": options.model, "wrong": violation, "told": descriptions}, indent=1))
        return 1 if violation else 0
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
