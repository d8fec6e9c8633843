"""What one proxy knows of the log positions of the commits that it has acknowledged to clients of one service."""

from collections import deque

from ..failover.acknowledged_commits import least_last_position
from ..runtime.position import START, Position

# The number of recent commits of which it is remembered how far the log had reached before they were sent.
MAX_REMEMBERED_COMMITS = 16


class AcknowledgedPositions:
    """Bounds of the last acknowledged commit's position, and when it was acknowledged, by this proxy's clock.

    A backend reports the end of its log beside a commit, which is an upper bound of the commit's own position. A
    lower bound is how far the log had reached before the commit was sent.

    `highest`: no commit after this position was acknowledged. `least`: a commit at or after this position was
    acknowledged before the last promotion; START for none. `reached_before`: of the last commits since then, how far
    the log was known to have reached before each was sent.
    """

    def __init__(self, *, began_us: int) -> None:
        """:param began_us: this proxy's start; it knows nothing of earlier commits."""
        self.last_us = began_us
        self.highest = START
        self.least = START
        self.reached_before: deque[Position] = deque(maxlen=MAX_REMEMBERED_COMMITS)

    def record(self, *, position: Position | None, reached_before: Position, now_us: int) -> None:
        """Adds an acknowledged commit; `position` is what the backend reported with it, None for nothing."""
        self.highest = max(self.highest, position or START)
        self.reached_before.append(reached_before)
        self.last_us = now_us

    def promoted(self, *, fence: Position) -> None:
        """Lowers the bounds to the fence of a promotion that is complete: commits after it are lost.

        The next failover must not wait for them, but it has to keep those up to the fence.
        """
        least = max(self.least, least_last_position(reached_before=self.reached_before))
        self.least = min(least, fence)
        self.highest = min(self.highest, fence)
        self.reached_before.clear()
