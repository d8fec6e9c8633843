"""Counts what proxies say of the next shard map."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from .shard_state import Vote

# A proxy that was not seen for this long is silent, and its last vote counts no more, in microseconds.
SEEN_LATELY_US = 3_000_000


class ProxyVote(Protocol):
    """A proxy's vote, as any control daemon has seen it."""

    @property
    def at_us(self) -> int:
        """When the proxy was last seen, on this machine's monotonic clock."""
        ...

    @property
    def proposal(self) -> int:
        """The proposal that the vote is about."""
        ...

    @property
    def vote(self) -> Vote:
        """What the proxy said."""
        ...


# gathers the votes of all proxies by name, from all control daemons
ProxyVotePoll = Callable[[], Awaitable[dict[str, ProxyVote]]]


class ShardVotes:
    """The votes at one time on one proposal.

    Invariant: a vote counts only where it was seen lately and is about exactly this proposal.
    """

    def __init__(self, *, proxies: dict[str, ProxyVote], proposal: int, now_us: int) -> None:
        self.proposal = proposal
        self.seen = {name: vote for name, vote in proxies.items() if now_us - vote.at_us < SEEN_LATELY_US}

    def with_vote(self, *, vote: Vote) -> set[str]:
        """The names of the proxies that cast this vote."""
        return {name for name, seen in self.seen.items() if seen.proposal == self.proposal and seen.vote == vote}
