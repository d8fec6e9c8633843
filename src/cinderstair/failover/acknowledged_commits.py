"""What all proxies together have acknowledged to clients of a service."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from ..runtime.position import START, Position


@dataclass(frozen=True, kw_only=True)
class AcknowledgedCommits:
    """Bounds of the last acknowledged commit's position, and when it was, by the local clock in microseconds.

    A backend reports the end of its log beside a commit, not the commit's own position.

    :param position: no commit after this position was acknowledged.
    :param least: a commit at or after this position was acknowledged; START for none.
    """

    position: Position
    last_us: int
    least: Position = START


def least_last_position(*, reached_before: Iterable[Position]) -> Position:
    """A lower bound of the position of the last of several commits; START for none.

    Every commit has a position of its own after what the log had reached before it was sent. So where a log had
    reached a position before `count` commits were sent, the last of them is at least `count` positions further.

    :param reached_before: for each commit, a position that the log had reached before the commit was sent.
    """
    descending = sorted(reached_before, reverse=True)
    return max(
        (Position(reached.term, reached.number + count) for count, reached in enumerate(descending, start=1)),
        default=START,
    )


# Makes a service's assignment known to every proxy whose view may be current, by the service's name. Returns what the
# proxies have acknowledged, or None if one of them may still act on an older assignment. The second argument is the
# period in microseconds for which each proxy must have been running, so that it knows all that it acknowledged.
NotifyProxies = Callable[[str, int], Awaitable[AcknowledgedCommits | None]]
