"""PRIMARY: a service that can have a primary has one that serves within the recovery time."""

from typing import TYPE_CHECKING

from .checker import Checker

if TYPE_CHECKING:
    from .platform_world import PlatformWorld
    from .stand_in_service import StandInService


class PrimaryChecker(Checker):
    """Commits that clients see acknowledged show that a service has a primary that serves.

    `recovery_us` is how long a service may be without one that could have one, in microseconds.
    """

    rule = "PRIMARY"

    def __init__(self, *, recovery_us: int) -> None:
        super().__init__()
        self.recovery_us = recovery_us
        self.available_since_us: dict[str, int] = {}
        # services whose present outage is reported already
        self.overdue: set[str] = set()

    def observe(self, *, world: "PlatformWorld") -> None:
        """Checks all services; to be called at short intervals while clients write to each of them."""
        for service in world.services.values():
            if not _can_have_primary(world=world, service=service):
                self.available_since_us.pop(service.name, None)
                continue
            available_since_us = self.available_since_us.setdefault(service.name, world.now_us)
            last_commit_us = service.acked[-1][0] if service.acked else 0
            self._check(service=service.name, without_us=world.now_us - max(available_since_us, last_commit_us))

    def _check(self, *, service: str, without_us: int) -> None:
        self.count_check()
        if without_us <= self.recovery_us:
            self.overdue.discard(service)
        elif service not in self.overdue:
            self.overdue.add(service)
            self.breach(description=f"no commit of {service} was acknowledged for {without_us // 1_000} ms")


def _can_have_primary(*, world: "PlatformWorld", service: "StandInService") -> bool:
    """Whether a majority of the controllers and of the service's backends run, and nothing is partitioned."""
    now_us = world.now_us
    disrupted = {each.scope for each in world.disruptions if each.touches(from_us=now_us, until_us=now_us)}
    running = [name for name in world.controllers if name not in disrupted]
    backends = [
        each
        for each in service.backends.values()
        if each.up and not each.replication_interrupted and each.name not in world.network.unreachable
    ]
    return (
        not world.network.cuts
        and world.platform.mode == "up"
        and any(name not in disrupted for name in world.proxies)
        and len(running) * 2 > len(world.controllers)
        and len(backends) * 2 > len(service.backends)
    )
