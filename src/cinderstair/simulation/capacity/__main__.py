"""Measures what each role costs by the numbers of proxies and databases, with real controllers and stub backends.

Starts processes on loopback, takes a few minutes, and stops its processes and deletes their files at the end.
Progress goes to standard error, results go to --out as lines of JSON, and the report to standard output.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from .report import report
from .run import STEPS, Run, origin
from .step import read_step

GB = 1_000_000_000
STOPPED = 130


def parser() -> argparse.ArgumentParser:
    command_line = argparse.ArgumentParser(prog="python -m cinderstair.simulation.capacity", description=__doc__)
    command_line.add_argument("--out", default="", help="file for the results, a line of JSON each")
    command_line.add_argument(
        "--steps",
        default=STEPS,
        help="controllers:proxies:databases[:voters], separated by spaces (default: %(default)s)",
    )
    command_line.add_argument("--seconds", type=float, default=540, help="time limit of the run (%(default)s)")
    command_line.add_argument(
        "--cores", type=float, default=3, help="stop steps that use more when idle (%(default)s)"
    )
    command_line.add_argument(
        "--memory-gb", type=float, default=10, help="stop steps that use more memory (%(default)s)"
    )
    command_line.add_argument("--seed", type=int, default=1)
    command_line.add_argument("--commit", default="", help="commit of the sources, if they are not a git checkout")
    command_line.add_argument("--no-alone", action="store_true", help="skip the microbenchmarks")
    command_line.add_argument("--no-wires", action="store_true", help="run the microbenchmarks only")
    command_line.add_argument(
        "--from", dest="sources", nargs="*", default=[], help="report on these results without measuring"
    )
    command_line.add_argument(
        "--plot", default="", help="file for a plot of the slopes; needs matplotlib (extra 'capacity')"
    )
    return command_line


def log_progress(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)


async def measured(*, options: argparse.Namespace, out: Path) -> None:
    steps = [read_step(text=text) for text in options.steps.split()]
    task = asyncio.current_task()
    assert task is not None
    # SIGTERM cancels the run, so that its processes and folders are removed.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with out.open("w") as file:

        def record(value: dict[str, Any]) -> None:
            file.write(json.dumps(value) + "\n")
            file.flush()

        record(origin(commit=options.commit))
        run = Run(
            steps=steps,
            seconds=options.seconds,
            cores=options.cores,
            max_bytes=int(options.memory_gb * GB),
            seed=options.seed,
            log_progress=log_progress,
            record=record,
        )
        if not options.no_alone:
            with tempfile.TemporaryDirectory(prefix="cinderstair-capacity-") as folder:
                await run.microbenchmarks(folder=Path(folder))
        if not options.no_wires:
            await run.measure_steps()
        record({"kind": "end", "left_s": round(run.remaining_s, 1)})


def main() -> int:
    options = parser().parse_args()
    if not options.sources and not options.out:
        print("--out is required: the file for the results", file=sys.stderr)
        return 2
    sources = [Path(each) for each in options.sources or [options.out]]
    if not options.sources:
        try:
            asyncio.run(measured(options=options, out=sources[0]))
        except (KeyboardInterrupt, asyncio.CancelledError):
            log_progress("interrupted")
            return STOPPED
    lines = [json.loads(line) for source in sources for line in source.read_text().splitlines()]
    print(report(lines=lines))
    if options.plot:
        from .plot import plot

        problem = plot(lines=lines, path=options.plot)
        if problem:
            print(problem, file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
