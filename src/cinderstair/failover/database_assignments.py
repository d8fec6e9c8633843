"""Which backend is assigned as primary of each database, as the register says."""

from expression import Error, Ok, Result

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..http_frontend.view import View
from ..runtime.context import Context
from ..runtime.errors import CinderstairError
from .compare_and_set import compare_and_set
from .database_primary import DatabasePrimary, database_primary_key

# Added to the length of a view's lease, in microseconds: covers clock drift, and that a write is seen a little late.
VIEW_MARGIN_US = 300_000


class DatabaseAssignments:
    """Invariant: an assignment changes from exactly what the writer saw, and only while it holds the role's lease."""

    def __init__(self, *, ctx: Context, register: Register, view: View, lease: Lease) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.lease = lease

    def get(self, *, database: str) -> DatabasePrimary | None:
        """The present assignment; None where nothing was ever assigned."""
        return self.view.assignment(database=database)

    def since_us(self, *, database: str) -> int:
        """When the present assignment was seen first, on this machine's monotonic clock."""
        return self.view.assigned_since_us[database]

    def age_us(self, *, database: str) -> int:
        """For how long the present assignment has been known here."""
        return self.ctx.now_us() - self.since_us(database=database)

    @property
    def view_expiry_us(self) -> int:
        """After so long no view that is older than a write is current anywhere, in microseconds."""
        return self.view.lease_us + VIEW_MARGIN_US

    async def compare_and_set(self, *, database: str, old: DatabasePrimary | None, new: DatabasePrimary) -> bool:
        """Replaces `old` by `new`; None stands for a database that never had an assignment.

        :returns: whether it is written; False without the lease, on a conflict, and where the outcome is unclear.
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
            conflict="the lead changed meanwhile",
        )
        if result.is_ok():
            self.ctx.log.info(
                "database %s: the primary is %s in term %d, state %s; in sync: %s; joining: %s",
                database,
                new.primary,
                new.term,
                new.state,
                ",".join(new.in_sync) or "nobody",
                ",".join(new.joining) or "nobody",
            )
        return result.is_ok()

    async def override(
        self, *, database: str, old: DatabasePrimary, new: DatabasePrimary
    ) -> Result[DatabasePrimary, CinderstairError]:
        """Replaces `old` by `new` for an operator, who needs no lease; versionTaken where `old` stands no more."""
        result = await compare_and_set(
            register=self.register,
            view=self.view,
            key=database_primary_key(database=database),
            unchanged=lambda current: current == old.bytes(),
            new=new.bytes(),
            conflict="the lead changed meanwhile; look again",
        )
        return Ok(new) if result.is_ok() else Error(result.error)
