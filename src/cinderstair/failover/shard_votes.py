"""Counts the proxies' votes on a proposed shard map."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from .shard_state import Vote

# Maximum age of a vote, in microseconds; a proxy not seen for longer is silent.
VOTE_MAX_AGE_US = 3_000_000


class ProxyVote(Protocol):
    """A proxy's vote, as last received by any control daemon."""

    @property
    def at_us(self) -> int:
        """When the proxy was last seen, on this machine's monotonic clock."""
        ...

    @property
    def proposal(self) -> int:
        """The number of the proposal that the vote refers to."""
        ...

    @property
    def vote(self) -> Vote:
        """The vote itself."""
        ...


# gathers the votes of all proxies by name, from all control daemons
ProxyVotePoll = Callable[[], Awaitable[dict[str, ProxyVote]]]


class ShardVotes:
    """The votes on one proposal at one point in time.

    Invariant: a vote counts only if it is not older than the maximum age and refers to exactly this proposal.
    """

    def __init__(self, *, proxies: dict[str, ProxyVote], proposal: int, now_us: int) -> None:
        self.proposal = proposal
        self.seen = {name: vote for name, vote in proxies.items() if now_us - vote.at_us < VOTE_MAX_AGE_US}

    def with_vote(self, *, vote: Vote) -> set[str]:
        """The names of the proxies that cast this vote."""
        return {name for name, seen in self.seen.items() if seen.proposal == self.proposal and seen.vote == vote}
