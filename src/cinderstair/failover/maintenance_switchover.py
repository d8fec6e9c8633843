"""Planned switchover of a database whose primary a maintenance window wants empty."""

from dataclasses import replace

from .database_failover_context import DatabaseFailoverContext
from .database_primary import CLOSING, SETTLED, DatabasePrimary


class MaintenanceSwitchover:
    """Invariant: a window never takes the last backend that could lead; it waits until another one is in sync."""

    def __init__(self, *, failover: DatabaseFailoverContext) -> None:
        self.failover = failover
        # why a window can't empty the primary yet, by database; shown to operators
        self.holds: dict[str, str] = {}

    async def begin(self, *, database: str, assignment: DatabasePrimary) -> bool:
        """Announces a switchover where a window asks for one; whether that is written."""
        failover, primary = self.failover, assignment.primary
        window = failover.view.leaving.reason(name=primary)
        if not window:
            self.holds.pop(database, None)
            return False
        if not failover.staying(names=assignment.in_sync):
            self.holds[database] = f"{window} holds back: nobody outside it is in sync to follow {primary}"
            return False
        self.holds.pop(database, None)
        failover.ctx.log.info(
            "database %s: a switchover from %s begins, since %s wants it empty", database, primary, window
        )
        closing = replace(assignment, state=CLOSING, planned=True)
        return await failover.assignments.compare_and_set(database=database, old=assignment, new=closing)

    async def window_to_obey(self, *, database: str, assignment: DatabasePrimary) -> str:
        """The window for which an announced switchover goes on; empty where it was taken back, for want of one."""
        window = self.failover.view.leaving.reason(name=assignment.primary)
        if window and self.failover.staying(names=assignment.in_sync):
            return window
        settled = replace(assignment, state=SETTLED, planned=False)
        await self.failover.assignments.compare_and_set(database=database, old=assignment, new=settled)
        return ""
