"""Which backends belong to a service, by their heartbeats."""

from ..membership.announcement import GONE, Announcement
from ..membership.heartbeat_table import HeartbeatTable, ReceivedHeartbeat

# A backend that has not been heard for this long, in microseconds, no longer counts as a member. Until then a
# replica that is silent for a while is not left out of a fence, since it may hold acknowledged commits.
FORGET_US = 25_000_000


class ServiceMembers:
    """Invariant: a backend that may hold acknowledged commits of a service is listed until it has deregistered, or
    was silent for `FORGET_US`.
    """

    def __init__(self, *, heartbeat_table: HeartbeatTable[Announcement]) -> None:
        self.heartbeat_table = heartbeat_table

    def of_service(self, *, service: str) -> list[Announcement]:
        """The backends that may hold acknowledged commits, sorted by name; one for each address."""
        by_address: dict[str, ReceivedHeartbeat[Announcement]] = {}
        for received in self._heard_lately(service=service):
            if received.heartbeat.state == GONE:
                continue
            # A backend that was replaced has left its log to the one that came to its address.
            other = by_address.get(received.heartbeat.address)
            if other is None or received.observed_at_us > other.observed_at_us:
                by_address[received.heartbeat.address] = received
        return sorted((received.heartbeat for received in by_address.values()), key=lambda member: member.name)

    def deregistered(self, *, service: str) -> list[Announcement]:
        """The backends that have deregistered lately, sorted by name."""
        heard = self._heard_lately(service=service)
        return [received.heartbeat for received in heard if received.heartbeat.state == GONE]

    def latest(self, *, name: str) -> Announcement | None:
        """A backend's last announcement; None where it was never heard."""
        received = self.heartbeat_table.latest(name=name)
        return None if received is None else received.heartbeat

    def _heard_lately(self, *, service: str) -> list[ReceivedHeartbeat[Announcement]]:
        return [
            received
            for name, received in sorted(self.heartbeat_table.newest.items())
            if received.heartbeat.service == service and self.heartbeat_table.age_us(name=name) < FORGET_US
        ]
