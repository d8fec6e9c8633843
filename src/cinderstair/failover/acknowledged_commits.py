"""What all proxies together have acknowledged to clients of a service."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..runtime.position import Position


@dataclass(frozen=True, kw_only=True)
class AcknowledgedCommits:
    """An upper bound of the acknowledged positions, and when the last one was, by the local clock in microseconds.

    The bound may exceed every acknowledged commit: a backend reports the end of its log beside a commit.
    """

    position: Position
    last_us: int


# Makes a service's assignment known to every proxy whose view may be current, by the service's name. Returns what the
# proxies have acknowledged, or None if one of them may still act on an older assignment. The second argument is the
# period in microseconds for which each proxy must have been running, so that it knows all that it acknowledged.
NotifyProxies = Callable[[str, int], Awaitable[AcknowledgedCommits | None]]
