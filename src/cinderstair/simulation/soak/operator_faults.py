"""Changes by operators, and faults of the platform's interface."""

from .fault_schedule import FaultGroup, FaultSchedule

# The world has put a configuration with a lower version in force at its start.
FIRST_VERSION = 10


class OperatorFaults(FaultGroup):
    """Sends configurations, and disturbs the call that promotes backends."""

    def __init__(self, *, schedule: FaultSchedule) -> None:
        super().__init__(schedule=schedule)
        self.version = FIRST_VERSION

    def configure(self) -> None:
        """An operator sends a new configuration; some answers to it are lost."""
        self.version += self.rng.randrange(1, 4)
        self._record(kind="configure", target=str(self.version))
        self.world.operator.lost_answers = self.rng.choice((0.0, 0.5))
        self.world.put(body=self.world.configuration(version=self.version, extra=(f"extra-{self.version}",)))

    def disturb_platform(self) -> None:
        """The platform's promotion call fails, or is slow, for a while."""
        platform = self.world.platform
        mode = self.rng.choice(("down", "slow"))
        self._record(kind=f"platform {mode}", target="")
        platform.mode = mode
        self._at(in_ms=self.rng.randrange(300, 3_000), call=lambda: setattr(platform, "mode", "up"))
