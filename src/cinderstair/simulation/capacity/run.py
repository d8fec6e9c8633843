"""A whole run: first single turns at any size, then real wires step by step, within its bounds."""

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

# what a step takes from its first process to its last, as far as it isn't slowed down
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
    """Where the figures come from."""
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
        # what one idle proxy was seen to take
        self.proxy_cores: list[tuple[Step, float]] = []

    @property
    def remaining_s(self) -> float:
        return self.deadline - time.monotonic()

    async def microbenchmarks(self, *, folder: Path) -> None:
        """Each kind in a process of its own, so that no figure of memory holds another one's leavings."""
        for kind, sizes in MICROBENCHMARKS.items():
            for size in sizes:
                child = ChildProcess(role="alone", name=f"alone-{kind}", options={}, folder=folder)
                try:
                    await child.start()
                    found = await child.ask(do=kind, wait_s=max(1.0, min(90.0, self.remaining_s)), **size)
                    self.record({"kind": "alone", "what": kind, **size, **found})
                    self.log_progress(f"alone: {kind} {size}")
                except RuntimeError as error:
                    self.log_progress(f"alone: {kind} {size}: {error}")
                    self.record({"kind": "unmeasured", "what": kind, **size, "why": str(error)})
                    await child.kill()
                finally:
                    await child.stop()

    def skip_reason(self, *, step: Step) -> str:
        if self.remaining_s < STEP_S:
            return f"{self.remaining_s:.0f} s are left"
        each = [cores for other, cores in self.proxy_cores if other.databases <= step.databases]
        if each and min(each) * step.proxies > self.cores:
            return f"its proxies alone would idle at {min(each) * step.proxies:.1f} cores"
        for other in self.over_budget:
            if step.proxies >= other.proxies and step.databases >= other.databases:
                return f"{other} took too much already"
        return ""

    async def measure_steps(self) -> None:
        for number, step in enumerate(self.steps):
            why = self.skip_reason(step=step)
            if not why:
                self.log_progress(f"{step} begins, {self.remaining_s:.0f} s left")
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
                    why = f"over the allowance: {error}"
                except TimeoutError:
                    why = "the time was up"
                except RuntimeError as error:
                    why = str(error)
            if why:
                self.log_progress(f"{step} not measured to its end: {why}")
                self.record({"kind": "unmeasured", **step.value(), "why": why})
