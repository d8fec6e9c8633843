"""A whole run: microbenchmarks, then load steps over real connections, within time and resource limits."""

import asyncio
import os
import platform
import subprocess
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from .child_process import ChildProcess
from .measurement import Measurement, OverBudget, ProgressLog, Record
from .step import Step

# Duration of a step on a machine that isn't overloaded.
STEP_S = 40.0
STEPS = (
    "5:10:10 5:30:10 5:100:10 5:300:10 5:10:3 5:10:30 5:10:100 5:100:30 3:30:30 7:30:30 7:30:30:5 5:0:300 "
    "5:0:1000 5:600:3 5:3:300 5:1000:3"
)
MICROBENCHMARKS: dict[str, Sequence[dict[str, Any]]] = {
    "booth": [
        {"booths": proxies, "databases": databases}
        for proxies, databases in (
            (10, 10),
            (10, 30),
            (10, 100),
            (10, 300),
            (10, 1000),
            (10, 3500),
            (100, 100),
            (300, 100),
            (1000, 100),
            (2000, 100),
            (2000, 10),
            (300, 300),
            (2000, 3500),
        )
    ],
    "whole": [
        {"booths": 10, "databases": 10},
        {"booths": 10, "databases": 30},
        {"booths": 10, "databases": 100},
        {"booths": 10, "databases": 200},
        {"booths": 2000, "databases": 10},
        {"booths": 2000, "databases": 30},
        {"booths": 2000, "databases": 100},
        {"booths": 500, "databases": 200},
    ],
    "guildhall": [
        {"booths": 10, "databases": 10, "sources": 3},
        {"booths": 10, "databases": 100, "sources": 3},
        {"booths": 10, "databases": 1000, "sources": 3},
        {"booths": 1000, "databases": 100, "sources": 3},
        {"booths": 2000, "databases": 3500, "sources": 21},
    ],
    "statements": [
        {"databases": 3, "sessions": 50, "rounds": 60},
        {"databases": 100, "sessions": 50, "rounds": 60},
        {"databases": 3, "sessions": 500, "rounds": 6},
    ],
    "sessions": [{"count": 1000}, {"count": 3000}, {"count": 10000}],
    "door": [{"rounds": 40, "sessions": 500}, {"rounds": 40, "sessions": 3000}],
}


def origin(*, commit: str) -> dict[str, Any]:
    """Returns the record that identifies the sources and the machine."""
    here = Path(__file__).resolve().parent

    def git(*words: str) -> str:
        done = subprocess.run(["git", "-C", str(here), *words], capture_output=True, text=True, check=False)
        return done.stdout.strip()

    return {
        "kind": "origin",
        "commit": commit or git("rev-parse", "--short", "HEAD"),
        "altered": len(git("status", "--porcelain", "--", "src", "platform").splitlines()),
        "python": platform.python_version(),
        "processors": os.cpu_count(),
        "load": list(os.getloadavg()),
    }


class Run:
    """Runs microbenchmarks and steps. Steps must not use more than `cores` and `max_bytes` when idle."""

    def __init__(
        self,
        *,
        steps: Sequence[Step],
        seconds: float,
        cores: float,
        max_bytes: int,
        seed: int,
        log_progress: ProgressLog,
        record: Record,
    ) -> None:
        self.steps = steps
        self.deadline = time.monotonic() + seconds
        self.cores = cores
        self.max_bytes = max_bytes
        self.seed = seed
        self.log_progress = log_progress
        self.record = record
        self.over_budget: list[Step] = []
        # Measured steps with the cores that one idle proxy used.
        self.proxy_cores: list[tuple[Step, float]] = []

    @property
    def remaining_s(self) -> float:
        return self.deadline - time.monotonic()

    async def microbenchmarks(self, *, folder: Path) -> None:
        """Runs each in a process of its own, so that memory left over by one doesn't count for another."""
        for kind, sizes in MICROBENCHMARKS.items():
            for size in sizes:
                child = ChildProcess(role="alone", name=f"alone-{kind}", options={}, folder=folder)
                try:
                    await child.start()
                    found = await child.ask(do=kind, wait_s=max(1.0, min(90.0, self.remaining_s)), **size)
                    self.record({"kind": "alone", "what": kind, **size, **found})
                    self.log_progress(f"microbenchmark {kind} {size}: done")
                except RuntimeError as error:
                    self.log_progress(f"microbenchmark {kind} {size} failed: {error}")
                    self.record({"kind": "unmeasured", "what": kind, **size, "why": str(error)})
                    await child.kill()
                finally:
                    await child.stop()

    def skip_reason(self, *, step: Step) -> str:
        """Says why a step would exceed the limits of the run; empty if it may run."""
        if self.remaining_s < STEP_S:
            return f"only {self.remaining_s:.0f} s are left"
        each = [cores for other, cores in self.proxy_cores if other.databases <= step.databases]
        if each and min(each) * step.proxies > self.cores:
            return f"its idle proxies would use {min(each) * step.proxies:.1f} cores"
        for other in self.over_budget:
            if step.proxies >= other.proxies and step.databases >= other.databases:
                return f"{other}, which is no larger, was over the budget"
        return ""

    async def measure_steps(self) -> None:
        """Measures the steps in order; records those that were skipped or failed as "unmeasured"."""
        for number, step in enumerate(self.steps):
            why = self.skip_reason(step=step)
            if not why:
                self.log_progress(f"{step}: started, {self.remaining_s:.0f} s left")
                self.record({"kind": "load", **step.value(), "load": list(os.getloadavg())})
                measurement = Measurement(
                    step=step,
                    seed=self.seed + number,
                    cores=self.cores,
                    max_bytes=self.max_bytes,
                    log_progress=self.log_progress,
                    record=self.record,
                )
                try:
                    async with asyncio.timeout(self.remaining_s):
                        await measurement.run()
                    idle = measurement.idle.get("booth")
                    if idle is not None:
                        self.proxy_cores.append((step, idle.rate(name="cpu_us") / 1_000_000))
                except OverBudget as error:
                    self.over_budget.append(step)
                    why = f"over budget: {error}"
                except TimeoutError:
                    why = "the run's time limit was reached"
                except RuntimeError as error:
                    why = str(error)
            if why:
                self.log_progress(f"{step}: not measured completely: {why}")
                self.record({"kind": "unmeasured", **step.value(), "why": why})
