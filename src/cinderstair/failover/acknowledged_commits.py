"""What all proxies together have acknowledged to clients of a service."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from ..runtime.position import START, Position


@dataclass(frozen=True, kw_only=True)
class AcknowledgedCommits:
    """Bounds of the position of the last commit that the proxies which have answered have acknowledged.

    A backend reports the end of its log beside a commit, not the commit's own position.

    :param position: no commit after this position was acknowledged.
    :param last_us: when it was acknowledged, by the local clock in microseconds.
    :param least: a commit at or after this position was acknowledged; START for none.
    :param complete: whether no other proxy may have acknowledged commits: each whose view may be current has answered
        and has been running long enough to know. Otherwise one may still act on an older assignment.
    """

    position: Position = START
    last_us: int = 0
    least: Position = START
    complete: bool = True


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
# proxies that answer have acknowledged. The second argument is the period in microseconds for which each proxy must
# have been running, so that it knows all that it acknowledged.
NotifyProxies = Callable[[str, int], Awaitable[AcknowledgedCommits]]
