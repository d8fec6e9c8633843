"""Reads and writes the primary assignments of services in the register."""

from dataclasses import replace

from ..consensus.lease import Lease
from ..consensus.register import Register
from ..consensus.register_view import RegisterView
from ..runtime.context import Context
from .compare_and_set import compare_and_set
from .service_primary import PREFIX, PrimaryState, ServicePrimary, read_service_primary, service_primary_key
from .view_expiry import view_expiry_us


class ServiceAssignments:
    """Owns the local copy of all service assignments and the times at which they changed.

    Invariant: an assignment is replaced only by compare-and-set from the value that the writer read, and only while
    the writer holds the failover lease.
    """

    def __init__(
        self, *, ctx: Context, register: Register, view: RegisterView, lease: Lease, view_lease_us: int
    ) -> None:
        self.ctx = ctx
        self.register = register
        self.view = view
        self.lease = lease
        self.view_expiry_us = view_expiry_us(lease_us=view_lease_us)
        self.primaries: dict[str, ServicePrimary] = {}
        # when the current assignment was first seen, by service
        self.since_us: dict[str, int] = {}
        # since when no new view allows clients at the primary, by service
        self.unsettled_since_us: dict[str, int] = {}
        view.changes.subscribe(self._changed)

    def _changed(self, key: str) -> None:
        found = self.view.known.get(key)
        if found is None or not found.value or not key.startswith(PREFIX):
            return
        service = key.removeprefix(PREFIX)
        assignment, before = read_service_primary(data=found.value), self.primaries.get(service)
        # The first assignment that is not settled starts the expiry of views that allow clients at the primary. A
        # skipped revision may have been a settled one, under which such views were issued again.
        skipped = before is None or assignment.revision > before.revision + 1
        state_before = PrimaryState.settled if before is None or skipped else before.state
        if state_before == PrimaryState.settled:
            self.unsettled_since_us[service] = self.ctx.now_us()
        self.primaries[service] = assignment
        self.since_us[service] = self.ctx.now_us()

    async def compare_and_set(self, *, service: str, old: ServicePrimary | None, new: ServicePrimary) -> bool:
        """Replaces `old` by `new`; None stands for a service that never had an assignment.

        :returns: whether `new` is written; False without the lease, on a conflict, or if the outcome is unknown.
        """
        if not self.lease.held:
            return False
        if old is not None and new != old:
            new = replace(new, revision=old.revision + 1)
        accepted = (b"" if old is None else old.bytes(), new.bytes())
        result = await compare_and_set(
            register=self.register,
            view=self.view,
            key=service_primary_key(service=service),
            unchanged=lambda current: current in accepted,
            new=new.bytes(),
            conflict="the primary assignment was changed concurrently",
        )
        if result.is_ok():
            self.ctx.log.info(
                "service %s: the primary is %s in term %d, state %s", service, new.primary, new.term, new.state.name
            )
        return result.is_ok()

    async def reopen(self, *, service: str, assignment: ServicePrimary) -> None:
        """Cancels an announced switchover: a closing assignment becomes settled again. No change in other states."""
        if assignment.state == PrimaryState.closing:
            settled = replace(assignment, state=PrimaryState.settled)
            await self.compare_and_set(service=service, old=assignment, new=settled)

    async def wait_for_older_views(self, *, service: str) -> None:
        """Waits until every proxy's view from before the primary stopped serving has expired."""
        await self._wait_for_expiry(since_us=self.unsettled_since_us[service])

    async def wait_for_views_before_assignment(self, *, service: str) -> None:
        """Waits until every proxy's view with an earlier assignment than the current one has expired."""
        await self._wait_for_expiry(since_us=self.since_us[service])

    async def _wait_for_expiry(self, *, since_us: int) -> None:
        wait_us = since_us + self.view_expiry_us - self.ctx.now_us()
        if wait_us > 0:
            await self.ctx.sleep(duration_us=wait_us)
