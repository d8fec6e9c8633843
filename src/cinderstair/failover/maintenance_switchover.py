"""Planned switchover of a database whose primary must be drained for a maintenance window."""

from dataclasses import replace

from .database_failover_context import DatabaseFailoverContext
from .database_primary import CLOSING, SETTLED, DatabasePrimary


class MaintenanceSwitchover:
    """Announces and cancels switchovers for maintenance windows.

    Invariant: a window never drains the last backend that could be primary; it waits until another one is in sync.
    """

    def __init__(self, *, failover: DatabaseFailoverContext) -> None:
        self.failover = failover
        # why a window can't drain the primary yet, by database; shown in the status
        self.drain_blockers: dict[str, str] = {}

    async def begin(self, *, database: str, assignment: DatabasePrimary) -> bool:
        """Announces a switchover if an open window drains the primary; whether the announcement is written."""
        failover, primary = self.failover, assignment.primary
        window = failover.view.leaving.reason(name=primary)
        if not window:
            self.drain_blockers.pop(database, None)
            return False
        if not failover.staying(names=assignment.in_sync):
            self.drain_blockers[database] = (
                f"{window} holds back: no replica outside it is in sync to replace {primary}"
            )
            return False
        self.drain_blockers.pop(database, None)
        failover.ctx.log.info(
            "database %s: switchover from %s starts, because %s must drain it", database, primary, window
        )
        closing = replace(assignment, state=CLOSING, planned=True)
        return await failover.assignments.compare_and_set(database=database, old=assignment, new=closing)

    async def active_window(self, *, database: str, assignment: DatabasePrimary) -> str:
        """The window for which an announced switchover continues; empty if it was cancelled.

        It is cancelled if no window drains the primary any longer, or no replica outside the window is in sync.
        """
        window = self.failover.view.leaving.reason(name=assignment.primary)
        if window and self.failover.staying(names=assignment.in_sync):
            return window
        settled = replace(assignment, state=SETTLED, planned=False)
        await self.failover.assignments.compare_and_set(database=database, old=assignment, new=settled)
        return ""
