"""Decides whether a client may be told that its write was committed, from this proxy's view of the primary."""

from dataclasses import dataclass

from ..failover.service_primary import PREFIX, PrimaryState
from ..runtime.context import Context
from ..runtime.position import START, Position
from .relayed_view import RelayedView


@dataclass(frozen=True, kw_only=True)
class Fence:
    """The end of the log with which the primary of `term` was promoted: commits of lower terms after it are lost."""

    term: int
    position: Position


@dataclass(frozen=True, kw_only=True)
class AcknowledgedCommits:
    """An upper bound of the acknowledged log positions, and when the last one was, by this proxy's clock."""

    position: Position
    last_us: int


class CommitAcknowledgement:
    """Owns, by service, the fence of the newest promotion and the bound of the acknowledged positions.

    A backend may confirm a commit after it was replaced, if a replica that failover does not know receives its log.
    The new primary does not have such a commit.

    Invariant: a commit is acknowledged only while a current view shows that its backend is still the primary, or if
    the new primary is known to have it.
    """

    def __init__(self, *, ctx: Context, view: RelayedView) -> None:
        self.ctx = ctx
        self.view = view
        self.fences: dict[str, Fence] = {}
        self.acknowledged: dict[str, AcknowledgedCommits] = {}
        view.changes.subscribe(self._changed)

    def _changed(self, key: str) -> None:
        if not key.startswith(PREFIX):
            return
        service = key.removeprefix(PREFIX)
        assignment = self.view.primaries.get(service)
        if assignment is not None and assignment.state == PrimaryState.moving:
            self.fences[service] = Fence(term=assignment.term, position=assignment.fence)

    async def allowed(self, *, service: str, backend: str, position: Position | None, until_us: int) -> bool:
        """Whether a commit that a backend has confirmed may be acknowledged, in which case it is recorded.

        Waits for the view to become current, at most until `until_us` by this proxy's clock.

        :param position: the log position that the backend reported with its answer, at or after the commit.
        """
        while self._made_by_primary(service=service, backend=backend, position=position):
            if self.view.current:
                self._record(service=service, position=position)
                return True
            if self.ctx.now_us() >= until_us:
                break
            await self.view.next_answer(until_us=until_us)
        if self._fence_covers(service=service, position=position):
            self._record(service=service, position=position)
            return True
        self.ctx.counters.add(name="commits.unconfirmed")
        return False

    def replaced(self, *, service: str, backend: str) -> bool:
        """Whether by the last known assignment this backend can't commit any more."""
        assignment = self.view.primaries.get(service)
        return assignment is not None and (assignment.primary != backend or assignment.state == PrimaryState.moving)

    def _made_by_primary(self, *, service: str, backend: str, position: Position | None) -> bool:
        """Whether the last known assignment lets this backend serve, and the commit was made in its term."""
        assignment = self.view.primaries.get(service)
        if assignment is None or self.replaced(service=service, backend=backend):
            return False
        # A backend that is primary again may still confirm a commit of its earlier term.
        return position is None or position.term >= assignment.term

    def _fence_covers(self, *, service: str, position: Position | None) -> bool:
        """Whether the backend promoted last has the log up to this position."""
        fence = self.fences.get(service)
        return fence is not None and position is not None and position <= fence.position

    def _record(self, *, service: str, position: Position | None) -> None:
        known = self.acknowledged.get(service)
        highest = max(START if known is None else known.position, position or START)
        self.acknowledged[service] = AcknowledgedCommits(position=highest, last_us=self.ctx.now_us())

    def acknowledged_within(self, *, service: str, duration_us: int) -> Position:
        """A bound of the positions acknowledged; START if none was within the last `duration_us`."""
        known = self.acknowledged.get(service)
        if known is None or self.ctx.now_us() - known.last_us > duration_us:
            return START
        return known.position
