"""The size of the system that users expect within two years, and their limits for it."""

from dataclasses import dataclass

from .step import Step

DAY_S = 86_400


@dataclass(frozen=True, kw_only=True)
class TargetSize:
    """Numbers of instances, load, and limits: shares of a core, bytes, bytes per second and seconds."""

    proxies: int = 2_000
    databases: int = 3_500
    # machines dedicated to controllers
    controllers: int = 21
    voters: int = 5
    zones: int = 7
    connections: int = 5_300_000
    statements: int = 5_500_000
    configurations_per_day: int = 11_000
    primaries_per_database_per_day: int = 2
    restarts_per_day: int = 970
    heartbeat_interval_s: float = 1.2
    # limits for the control plane within one proxy
    max_cpu_share: float = 0.026
    max_bytes: int = 64_000_000
    max_bytes_s: int = 17_000
    max_configuration_s: float = 5.0
    max_primary_s: float = 9.0

    @property
    def step(self) -> Step:
        """The size as a step, to evaluate fits at."""
        return Step(controllers=self.controllers, proxies=self.proxies, databases=self.databases, voters=self.voters)

    @property
    def configurations_per_s(self) -> float:
        return self.configurations_per_day / DAY_S

    @property
    def primaries_per_s(self) -> float:
        return self.primaries_per_database_per_day * self.databases / DAY_S

    @property
    def restarts_per_s(self) -> float:
        return self.restarts_per_day / DAY_S

    @property
    def heartbeats_per_s(self) -> float:
        return 3 * self.databases / self.heartbeat_interval_s
