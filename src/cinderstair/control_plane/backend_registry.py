"""Records heartbeats and deregistrations of backends and decides which may be acknowledged."""

from ..consensus.register_view import RegisterView
from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from .announcer import Announcer


class BackendRegistry:
    """Acknowledges a backend's state only once it is known beyond this controller.

    Otherwise the state would be lost with this controller, or stay unknown to the others while it is partitioned.
    """

    def __init__(
        self, *, heartbeat_table: HeartbeatTable[Announcement], announcer: Announcer, view: RegisterView
    ) -> None:
        self.heartbeat_table = heartbeat_table
        self.announcer = announcer
        self.view = view

    async def receive(self, *, announcement: Announcement) -> bool:
        """Records a backend's heartbeat.

        :returns: whether it may be acknowledged. For a ready backend: whether this controller's view of the register
            is current. For any other state: whether a majority of the voters holds it.
        """
        self.heartbeat_table.receive(heartbeat=announcement)
        if announcement.state != READY:
            return await self.announcer.replicate(announcement=announcement)
        return self.view.current

    async def deregister(self, *, name: str) -> bool:
        """Records a backend's deregistration, whether or not this controller knows the backend.

        :returns: whether it may be acknowledged, that is whether a majority of the voters holds it.
        """
        return await self.announcer.deregister(name=name)
