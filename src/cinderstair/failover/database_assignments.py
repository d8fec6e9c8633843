"""Reads and writes the primary assignments of databases in the register."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.view import View
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from .compare_and_set import compare_and_set
from .database_primary import DatabasePrimary, database_primary_key

# Added to the lease time of a view, in microseconds, for clock drift and for the delay until a write is seen.
VIEW_MARGIN_US = 300_000


class DatabaseAssignments:
    """Changes assignments, which are kept in the register and read through the view.

    Invariant: an assignment is replaced only by compare-and-set from the value that the writer read. The
    lease must be held, except for an operator's override.
    """

    def __init__(self, *, ctx: Context, register: Register, view: View, lease: Lease) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.lease = lease

    def get(self, *, database: str) -> DatabasePrimary | None:
        """The current assignment; None if the database never had one."""
        return self.view.assignment(database=database)

    def since_us(self, *, database: str) -> int:
        """When the current assignment was first seen, on this machine's monotonic clock."""
        return self.view.assigned_since_us[database]

    def age_us(self, *, database: str) -> int:
        """Time since the current assignment was first seen here, in microseconds."""
        return self.ctx.now_us() - self.since_us(database=database)

    @property
    def view_expiry_us(self) -> int:
        """Time after a write until every view from before it has expired, in microseconds."""
        return self.view.lease_us + VIEW_MARGIN_US

    async def compare_and_set(self, *, database: str, old: DatabasePrimary | None, new: DatabasePrimary) -> bool:
        """Replaces `old` by `new`; None stands for a database that never had an assignment.

        :returns: whether `new` is written; False without the lease, on a conflict, or if the outcome is unknown.
        """
        if not self.lease.held:
            return False
        accepted = (b"" if old is None else old.bytes(), new.bytes())
        result = await compare_and_set(
            register=self.register,
            view=self.view,
            key=database_primary_key(database=database),
            unchanged=lambda current: current in accepted,
            new=new.bytes(),
            conflict="the primary assignment was changed concurrently",
        )
        if result.is_ok():
            self.ctx.log.info(
                "database %s: the primary is %s in term %d, state %s; in sync: %s; joining: %s",
                database,
                new.primary,
                new.term,
                new.state,
                ",".join(new.in_sync) or "none",
                ",".join(new.joining) or "none",
            )
        return result.is_ok()

    async def override(
        self, *, database: str, old: DatabasePrimary, new: DatabasePrimary
    ) -> Result[DatabasePrimary, CinderstairError]:
        """Replaces `old` by `new` without the lease, at an operator's request; versionTaken if `old` has changed."""
        result = await compare_and_set(
            register=self.register,
            view=self.view,
            key=database_primary_key(database=database),
            unchanged=lambda current: current == old.bytes(),
            new=new.bytes(),
            conflict="the lead changed meanwhile; look again",
        )
        return Ok(new) if result.is_ok() else Error(result.error)
