"""A role that one daemon at a time performs, guarded by a lease in the register."""

from ..consensus.lease import Lease
from ..consensus.register_view import RegisterView
from ..runtime.command_queue import CommandQueueMixin

# Assumed number of control daemons that compete for a lease; it determines the backoff, and a small number gives
# the shortest one.
CONTROL_DAEMONS = 3


class SingletonRoleMixin(CommandQueueMixin):
    """Acquires and renews the role's lease.

    Invariant: the role acts only while the lease is held and the view of the register is current and was read after
    the lease was granted, so it never acts on values from before an earlier holder's last change.
    """

    lease: Lease
    view: RegisterView

    async def renew_role(self) -> None:
        """Acquires or renews the lease if that is due, and calls `on_role_gained` if it was not held before."""
        if not self.lease.due:
            return
        held = self.lease.held
        if await self.lease.try_acquire() and not held:
            self.on_role_gained()

    def on_role_gained(self) -> None:
        """Called after each grant that follows a period without the lease; discards state of earlier periods."""

    @property
    def may_act(self) -> bool:
        """Whether a step may start now. After an await only compare-and-set protects the step's writes."""
        return self.lease.may_act(as_of_us=self.view.as_of_us) and self.view.current
