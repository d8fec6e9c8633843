"""Membership of services, derived from the heartbeats of backends."""

from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat_table import HeartbeatTable, ReceivedHeartbeat

# A backend without heartbeats for this long, in microseconds, is not a member. Until then a silent replica counts
# for fencing, since its log may hold acknowledged commits.
FORGET_US = 25_000_000


class ServiceMembers:
    """Lists the members of a service; holds no state besides the heartbeat table.

    Invariant: a backend that may hold acknowledged commits of a service is listed until it has deregistered or has
    sent no heartbeat for `FORGET_US`.
    """

    def __init__(self, *, heartbeat_table: HeartbeatTable[Announcement]) -> None:
        self.heartbeat_table = heartbeat_table

    def of_service(self, *, service: str) -> list[Announcement]:
        """The backends that may hold acknowledged commits, sorted by name; one for each address."""
        by_address: dict[str, ReceivedHeartbeat[Announcement]] = {}
        for received in self._recently_heard(service=service):
            if received.heartbeat.state == GONE:
                continue
            # A replacement at the same address has the log of the backend that it replaced.
            other = by_address.get(received.heartbeat.address)
            if other is None or received.observed_at_us > other.observed_at_us:
                by_address[received.heartbeat.address] = received
        return sorted((received.heartbeat for received in by_address.values()), key=lambda member: member.name)

    def deregistered(self, *, service: str) -> list[Announcement]:
        """The backends that deregistered within `FORGET_US`, sorted by name."""
        recent = self._recently_heard(service=service)
        return [received.heartbeat for received in recent if received.heartbeat.state == GONE]

    def latest(self, *, name: str) -> Announcement | None:
        """A backend's last announcement; None if there was none."""
        received = self.heartbeat_table.latest(name=name)
        return None if received is None else received.heartbeat

    def silent_us(self, *, name: str) -> int:
        """For how long this controller has certainly had no heartbeat of a backend, in microseconds."""
        return min(self.heartbeat_table.age_us(name=name), self.heartbeat_table.running_us)

    def _recently_heard(self, *, service: str) -> list[ReceivedHeartbeat[Announcement]]:
        return [
            received
            for name, received in sorted(self.heartbeat_table.newest.items())
            if received.heartbeat.service == service and self.heartbeat_table.age_us(name=name) < FORGET_US
        ]
