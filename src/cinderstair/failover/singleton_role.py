"""A role that one daemon at a time plays, under a lease of the register."""

from ..consensus.lease import Lease
from ..consensus.register_view import RegisterView
from ..runtime.command_queue import CommandQueueMixin

# How many daemons are taken to seek a lease of the control daemons at the same time. They are few, so the shortest
# back-off does.
CONTROL_DAEMONS = 3


class SingletonRoleMixin(CommandQueueMixin):
    """Seeks and renews the role's lease.

    Invariant: the role acts only while it holds the lease and its view of the register is current and was read
    after the lease was granted; so it never acts on what an earlier holder has changed since.
    """

    lease: Lease
    view: RegisterView

    async def renew_role(self) -> None:
        """Seeks or renews the lease if that is due, and calls `on_role_gained` when it was not held before."""
        if not self.lease.due:
            return
        held = self.lease.held
        if await self.lease.try_acquire() and not held:
            self.on_role_gained()

    def on_role_gained(self) -> None:
        """Called after each grant that follows a time without the lease; forgets what rests on an earlier term."""

    @property
    def may_act(self) -> bool:
        """Whether a step may be taken now; a step that awaits must rely on compare-and-set beyond this."""
        return self.lease.may_act(as_of_us=self.view.as_of_us) and self.view.current
