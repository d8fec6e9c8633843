"""Decides by this proxy's view of the primary whether a commit may be acknowledged to its client."""

from dataclasses import dataclass, replace

from ..failover.service_primary import PREFIX, PrimaryState
from ..runtime.context import Context
from ..runtime.position import Position
from .acknowledged_positions import AcknowledgedPositions
from .relayed_view import RelayedView


@dataclass(frozen=True, kw_only=True)
class PromotionFence:
    """The fence of the newest promotion.

    :param revision: that of the last assignment known to be in force with this fence or after it, without a gap.
    :param completed: whether the promotion was seen to be complete.
    """

    position: Position
    revision: int
    completed: bool = False


class CommitAcknowledgement:
    """Owns, by service, the fence of the newest promotion and the bound of the acknowledged positions.

    Commits after a fence that were made before the promotion are lost.

    A backend may confirm a commit after it was replaced, if a replica that failover does not know receives its log.
    The new primary does not have such a commit.

    A fence is lowered where the only backends with the log up to it are lost, so it is valid no longer than the view.

    Invariant: a commit is acknowledged only while a current view shows that its backend is still the primary, or that
    the new primary has it.
    """

    def __init__(self, *, ctx: Context, view: RelayedView) -> None:
        self.ctx = ctx
        self.view = view
        self.began_us = ctx.now_us()
        self.fences: dict[str, PromotionFence] = {}
        self.positions: dict[str, AcknowledgedPositions] = {}
        view.changes.subscribe(self._changed)

    def _changed(self, key: str) -> None:
        if not key.startswith(PREFIX):
            return
        service = key.removeprefix(PREFIX)
        assignment = self.view.primaries.get(service)
        if assignment is None:
            return
        if assignment.fence_known:
            self.fences[service] = PromotionFence(position=assignment.fence, revision=assignment.revision)
            return
        fence = self.fences.get(service)
        if fence is None:
            return
        if assignment.fence_pending or assignment.revision > fence.revision + 1:
            # The backend with the log up to this fence may have been given up, or replaced in its turn.
            del self.fences[service]
            return
        if assignment.state == PrimaryState.settled and not fence.completed:
            self.acknowledged(service=service).promoted(fence=fence.position)
            fence = replace(fence, completed=True)
        self.fences[service] = replace(fence, revision=assignment.revision)

    async def allowed(
        self,
        *,
        service: str,
        backend: str,
        position: Position | None,
        until_us: int,
        reached_before: Position,
    ) -> bool:
        """Whether a commit that a backend has confirmed may be acknowledged, in which case it is recorded.

        Waits for the view to become current and for the fence of a promotion under way, at most until `until_us` by
        this proxy's clock.

        :param position: the log position that the backend reported with its answer, at or after the commit.
        :param reached_before: a position that the primary's log had reached before the commit was sent; START if
            none was known.
        """
        while True:
            by_primary = self._made_by_primary(service=service, backend=backend, position=position)
            covered = self._fence_covers(service=service, position=position)
            if self.view.current and (by_primary or covered):
                self.acknowledged(service=service).record(
                    position=position, reached_before=reached_before, now_us=self.ctx.now_us()
                )
                return True
            undecided = by_primary or covered or self._fence_pending(service=service)
            if not undecided or self.ctx.now_us() >= until_us:
                break
            await self.view.next_answer(until_us=until_us)
        self.ctx.counters.add(name="commits.unconfirmed")
        return False

    def replaced(self, *, service: str, backend: str) -> bool:
        """Whether the last known assignment names another backend, or a promotion is under way."""
        assignment = self.view.primaries.get(service)
        return assignment is not None and (assignment.primary != backend or assignment.state == PrimaryState.moving)

    def _made_by_primary(self, *, service: str, backend: str, position: Position | None) -> bool:
        """Whether the last known assignment lets this backend serve, and the commit was made in its term."""
        assignment = self.view.primaries.get(service)
        if assignment is None or self.replaced(service=service, backend=backend):
            return False
        # A backend that is primary again may still confirm a commit of its earlier term.
        return position is None or position.term >= assignment.term

    def _fence_pending(self, *, service: str) -> bool:
        assignment = self.view.primaries.get(service)
        return assignment is not None and assignment.fence_pending

    def _fence_covers(self, *, service: str, position: Position | None) -> bool:
        """Whether the backend promoted last has the log up to this position."""
        fence = self.fences.get(service)
        return fence is not None and position is not None and position <= fence.position

    def acknowledged(self, *, service: str) -> AcknowledgedPositions:
        """What was acknowledged of a service since the start of this proxy."""
        found = self.positions.get(service)
        if found is None:
            found = self.positions[service] = AcknowledgedPositions(began_us=self.began_us)
        return found
