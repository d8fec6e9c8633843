"""Runs a soak: real processes under random faults, or one of the simulated platform's trials, with clients."""

import argparse
import json
import logging
import random
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

from ..platformsim.checker import Checker
from ..platformsim.platform_trials import TRIALS, Trial
from . import deploy_file
from .loopback_network import LoopbackNetwork
from .soak_faults import SoakFaults
from .soak_report import Sample, SoakReport
from .soak_world import SoakWorld

# Rules of the simulator's own that the platform's pages do not state.
OWN_RULES = frozenset(["LATE", "SHARD", "CAP"])
RECOVERY_US = 12_000_000
# Time after the last fault: the recovery, and a span that is judged.
TAIL_MS = 18_000
SAMPLE_PERIOD_S = 1.0
MEMORY_LIMIT_BYTES = 300_000_000
DESCRIPTOR_LIMIT = 4_200
CONTROLLERS, PROXIES, SERVICES = 3, 3, 2
CLIENTS_PER_PROXY = 6
THINK_US = 120_000


class SoakRun:
    """One run: the world, the faults drawn for it, and the report."""

    def __init__(self, *, options: argparse.Namespace) -> None:
        self.options = options
        command = f"python -m cinderstair.simulation soak --seed {options.seed} --seconds {options.seconds}"
        command += f" --controllers {options.controllers} --proxies {options.proxies} --services {options.services}"
        command += f" --clients {options.clients}" if options.clients else ""
        self.report = SoakReport(command=command + (f" --trial {options.trial}" if options.trial else ""))
        self.network = LoopbackNetwork()
        self.world = SoakWorld(
            network=self.network.byte,
            seed=options.seed,
            controllers=options.controllers,
            proxies=options.proxies,
            services=options.services,
        )

    def play(self) -> SoakReport:
        """Runs everything and returns the report; ends all processes in every case."""
        try:
            self._play()
        except AssertionError as error:
            self.report.breaches.append(f"aborted: {error}")
        finally:
            self._fill_report()
            self.world.close()
            self.network.close()
        if not self.report.breaches and not self.options.keep:
            shutil.rmtree(self.world.folder, ignore_errors=True)
        return self.report

    def _play(self) -> None:
        world = self.world
        # killed by a signal, it still ends all that it started
        world.loop.add_signal_handler(signal.SIGTERM, sys.exit, 1)
        world.begin()
        trial = TRIALS[self.options.trial] if self.options.trial else None
        self._begin_clients(trial=trial)
        world.fabric.call(self._sample())
        if trial is not None:
            trial.play(world)
        else:
            faults = SoakFaults(world=world, rng=random.Random(f"soak/{self.options.seed}"))
            self.report.faults = faults.injected
            faults.play(for_ms=self.options.seconds * 1_000)
            world.heal()
            world.oracle.recover.recovery_us = RECOVERY_US
            world.oracle.recover.restarted_us = world.now_us
            world.advance(for_ms=TAIL_MS)
        world.end()

    def _begin_clients(self, *, trial: Trial | None) -> None:
        world = self.world
        if trial is None:
            count = self.options.clients or CLIENTS_PER_PROXY * self.options.proxies
            world.clients_begin(count=count, think_us=THINK_US)
        else:
            world.clients_begin(
                count=trial.clients,
                think_us=trial.think_us,
                transaction_share=trial.transaction_share,
                write_share=trial.write_share,
                pauses_us=trial.pauses_us,
            )
        world.await_that(
            test=lambda: all(len(service.acked) > 2 for service in world.services.values()),
            within_ms=10_000,
            description="commits are acknowledged",
        )

    async def _sample(self) -> None:
        import asyncio

        world, began_us = self.world, self.world.now_us
        while True:
            self.report.samples.append(
                Sample(at_us=world.now_us - began_us, served=world.served, attempted=world.attempted)
            )
            usage = world.children.usage().values()
            self.report.most_memory_bytes = max(
                self.report.most_memory_bytes, *(each.memory_bytes for each in usage), 0
            )
            self.report.most_descriptors = max(self.report.most_descriptors, *(each.descriptors for each in usage), 0)
            await asyncio.sleep(SAMPLE_PERIOD_S)

    def _judged(self) -> list[Checker]:
        return [each for each in self.world.oracle.checkers if each.rule not in OWN_RULES]

    def _fill_report(self) -> None:
        world, report = self.world, self.report
        for checker in self._judged():
            report.breaches += checker.breaches
            report.checks[checker.rule] = report.checks.get(checker.rule, 0) + checker.checks
        report.breaches += world.ended
        report.breaches += [f"error in the soak itself: {each}" for each in world.errors]
        if report.most_memory_bytes > MEMORY_LIMIT_BYTES:
            report.breaches.append(f"a process holds {report.most_memory_bytes} bytes of memory")
        if report.most_descriptors > DESCRIPTOR_LIMIT:
            report.breaches.append(f"a process holds {report.most_descriptors} descriptors")
        report.without_primary = [
            name
            for name, service in world.services.items()
            if service.primary is None or not service.primary.up or service.primary.term < service.term
        ]
        report.answers = dict(world.oracle.answers)
        report.promotions = len(world.platform.calls)
        report.served, report.attempted = world.served, world.attempted
        report.folder = str(world.folder)


def add_options(*, parser: argparse.ArgumentParser) -> None:
    """Adds the options of a soak."""
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=40, help="how long faults are injected")
    parser.add_argument("--controllers", type=int, default=CONTROLLERS)
    parser.add_argument("--proxies", type=int, default=PROXIES)
    parser.add_argument("--services", type=int, default=SERVICES)
    parser.add_argument("--clients", type=int, default=0, help=f"{CLIENTS_PER_PROXY} for each proxy if left out")
    parser.add_argument("--trial", default="", help="play this trial of the simulated platform instead")
    parser.add_argument("--report", default="", help="a file for the report as JSON")
    parser.add_argument("--keep", action="store_true", help="keep the logs of a run that broke no rule")


def run(*, options: argparse.Namespace) -> int:
    """Runs one soak and prints its report; 1 if a rule was broken."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    deploy_file.build()
    report = SoakRun(options=options).play()
    print(*report.lines(), sep="\n", flush=True)
    if options.report:
        content: dict[str, Any] = report.json()
        Path(options.report).write_text(json.dumps(content, indent=1) + "\n")
    return 1 if report.breaches else 0
