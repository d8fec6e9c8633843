"""The size that the users expect within two years, and the limits that they set for it."""

from dataclasses import dataclass

from .step import Step

DAY_S = 86_400


@dataclass(frozen=True, kw_only=True)
class UsersSize:
    proxies: int = 2_000
    databases: int = 3_500
    # the machines that are set aside for control
    controllers: int = 21
    voters: int = 5
    zones: int = 7
    connections: int = 5_300_000
    statements: int = 5_500_000
    configurations_a_day: int = 11_000
    primaries_a_database_a_day: int = 2
    restarts_a_day: int = 970
    beat_every_s: float = 1.2
    # what control may take of one daemon
    most_share: float = 0.026
    most_bytes: int = 64_000_000
    most_bytes_s: int = 17_000
    configuration_s: float = 5.0
    primary_s: float = 9.0

    @property
    def step(self) -> Step:
        return Step(controllers=self.controllers, proxies=self.proxies, databases=self.databases, voters=self.voters)

    @property
    def configurations_s(self) -> float:
        return self.configurations_a_day / DAY_S

    @property
    def primaries_s(self) -> float:
        return self.primaries_a_database_a_day * self.databases / DAY_S

    @property
    def restarts_s(self) -> float:
        return self.restarts_a_day / DAY_S

    @property
    def heartbeats_s(self) -> float:
        return 3 * self.databases / self.beat_every_s
