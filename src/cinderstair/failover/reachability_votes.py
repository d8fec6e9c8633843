"""What the other control daemons say about whether a backend can be reached."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class ReachabilityVotes:
    """Votes of the other control daemons on one backend; the daemon that asked has no vote in it.

    `reachable` counts those that reach the backend, `answered` those that answered at all.
    """

    reachable: int
    answered: int

    @property
    def majority_unreachable(self) -> bool:
        """Whether most do not reach the backend, counting the asking daemon as one that does not.

        Invariant: a daemon that is itself cut off never replaces a primary that most others still reach.
        """
        unreachable, voters = self.answered - self.reachable + 1, self.answered + 1
        return 2 * unreachable > voters

    @property
    def unanimously_unreachable(self) -> bool:
        """Whether at least one daemon answered, and none of them reaches the backend."""
        return self.answered > 0 and not self.reachable


# by a backend's name
ReachabilityPoll = Callable[[str], Awaitable[ReachabilityVotes]]
