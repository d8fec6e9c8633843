"""Random faults and planned work for a world of real processes, singly, in series and overlapping."""

import random
from collections.abc import Callable

from .backend_faults import BackendFaults
from .fault_schedule import FaultSchedule, InjectedFault
from .operator_faults import OperatorFaults
from .process_faults import ProcessFaults
from .soak_world import SoakWorld

STEP_MS = 20
# Bounds of the pause between two draws, in milliseconds.
MIN_PAUSE_MS, MAX_PAUSE_MS = 50, 2_500
# The share of draws that are repeated on other targets, how often at most, and the longest pause between them.
SERIES_SHARE = 0.35
MAX_SERIES = 4
MAX_SERIES_PAUSE_MS = 900


class SoakFaults:
    """Draws faults of all kinds, and injects them within what the platform's pages allow."""

    def __init__(self, *, world: SoakWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.schedule = FaultSchedule(world=world, rng=rng)
        self.processes = ProcessFaults(schedule=self.schedule)
        self.backends = BackendFaults(
            schedule=self.schedule, kill_all_controllers=self.processes.kill_all_controllers
        )
        self.operators = OperatorFaults(schedule=self.schedule)

    @property
    def injected(self) -> list[InjectedFault]:
        """The faults injected so far."""
        return self.schedule.injected

    def play(self, *, for_ms: int) -> None:
        """Injects faults for this time, and waits for the end of those that last."""
        self.schedule.began_us = self.world.now_us
        until_us = self.schedule.began_us + for_ms * 1_000
        next_us = self.schedule.began_us
        while self.world.now_us < until_us or self.schedule.scheduled:
            self.schedule.run_due()
            if next_us <= self.world.now_us < until_us:
                self._draw()
                next_us = self.world.now_us + self.rng.randrange(MIN_PAUSE_MS, MAX_PAUSE_MS) * 1_000
            self.world.advance(for_ms=STEP_MS)

    def _draw(self) -> None:
        fault = self.rng.choice(self.faults)
        fault()
        if self.rng.random() >= SERIES_SHARE:
            return
        in_ms = 0
        for _ in range(self.rng.randrange(1, MAX_SERIES)):
            in_ms += self.rng.randrange(MAX_SERIES_PAUSE_MS)
            self.schedule.at(in_ms=in_ms, call=fault)

    @property
    def faults(self) -> tuple[Callable[[], None], ...]:
        """Every fault, as often as it is to be drawn."""
        return (
            self.processes.kill_controller,
            self.processes.kill_controller,
            self.processes.stop_controller,
            self.processes.freeze_controller,
            self.processes.kill_all_controllers,
            self.processes.kill_proxy,
            self.processes.stop_proxy,
            self.processes.freeze_proxy,
            self.processes.reload,
            self.backends.crash_primary,
            self.backends.crash_primary,
            self.backends.crash_replica,
            self.backends.crash_replica,
            self.backends.rename_replica,
            self.backends.rename_primary,
            self.backends.release,
            self.backends.release,
            self.backends.kill_controllers_after_departure,
            self.backends.partition_leaving_replica,
            self.backends.interrupt_replication,
            self.backends.interrupt_replication,
            self.backends.delay_heartbeats,
            self.backends.partition_primary,
            self.backends.partition_replica,
            self.backends.lose_answers,
            self.backends.slow_backend,
            self.backends.reset_connections,
            self.operators.configure,
            self.operators.disturb_platform,
        )
