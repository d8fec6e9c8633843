"""Takes heartbeats and deregistrations of backends, and says which of them may be acknowledged."""

from ..consensus.register_view import RegisterView
from ..membership.announcement import Announcement
from ..membership.heartbeat import READY
from ..membership.heartbeat_table import HeartbeatTable
from .announcer import Announcer


class BackendRegistry:
    """A state that was acknowledged is held by more than this controller.

    Otherwise it would be lost with this controller, or known to no other while this one is cut off.
    """

    def __init__(
        self, *, heartbeat_table: HeartbeatTable[Announcement], announcer: Announcer, view: RegisterView
    ) -> None:
        self.heartbeat_table = heartbeat_table
        self.announcer = announcer
        self.view = view

    async def receive(self, *, announcement: Announcement) -> bool:
        """Takes a backend's heartbeat.

        :returns: whether it may be acknowledged: for a ready backend whether this controller is in touch with the
            register, for any other whether a majority of the voters holds the state.
        """
        self.heartbeat_table.receive(heartbeat=announcement)
        if announcement.state != READY:
            return await self.announcer.replicate(announcement=announcement)
        return self.view.current

    async def deregister(self, *, name: str) -> bool:
        """Takes a backend's deregistration, whether or not the backend is known here.

        :returns: whether it may be acknowledged: whether a majority of the voters holds it.
        """
        return await self.announcer.deregister(name=name)
