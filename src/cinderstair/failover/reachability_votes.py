"""Votes of the other control daemons on whether a backend is reachable."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class ReachabilityVotes:
    """Votes of the other control daemons on one backend, without the vote of the polling daemon.

    `reachable` counts the daemons that reach the backend, `answered` those that answered.
    """

    reachable: int
    answered: int

    @property
    def majority_unreachable(self) -> bool:
        """Whether a majority does not reach the backend, with the polling daemon counted as one of it.

        Invariant: a partitioned control daemon never replaces a primary that most other daemons reach.
        """
        unreachable, voters = self.answered - self.reachable + 1, self.answered + 1
        return 2 * unreachable > voters

    @property
    def unanimously_unreachable(self) -> bool:
        """Whether at least one daemon answered and no daemon that answered reaches the backend."""
        return self.answered > 0 and not self.reachable


# by a backend's name
ReachabilityPoll = Callable[[str], Awaitable[ReachabilityVotes]]
