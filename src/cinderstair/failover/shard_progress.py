"""Where a change of the shard map stands."""

from dataclasses import dataclass, field

from .shard_state import ShardPhase, ShardState, Vote


@dataclass(frozen=True, kw_only=True)
class ShardProgress:
    """A snapshot for operators.

    :param participants: how many proxies have an id, and so a vote.
    :param silent: how many of the participants were not heard lately.
    :param votes: how many participants cast each vote on the present proposal.
    """

    state: ShardState
    participants: int
    silent: int
    votes: dict[Vote, int] = field(default_factory=dict)

    def summary(self) -> str:
        """The progress as operators read it."""
        state = self.state
        if state.phase == ShardPhase.steady:
            withdrawn = f"; the last one was withdrawn: {state.reason}" if state.reason else ""
            return f"steady: map {state.current.version}{withdrawn}"
        votes = ", ".join(f"{self.votes.get(vote, 0)} {vote.name}" for vote in Vote if vote != Vote.silent)
        return (
            f"{state.phase.name}: map {state.following.version} after {state.current.version}; "
            f"of {self.participants} proxies {votes}, {self.silent} unheard"
        )
