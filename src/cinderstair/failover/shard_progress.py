"""Progress of a change of the shard map."""

from dataclasses import dataclass, field

from .shard_state import ShardPhase, ShardState, Vote


@dataclass(frozen=True, kw_only=True)
class ShardProgress:
    """A snapshot of the state and the votes, shown to operators.

    :param participants: the number of proxies with an id, which have a vote.
    :param silent: the number of participants without a recent contact; see `shard_votes`.
    :param votes: the number of participants that cast each vote on the current proposal.
    """

    state: ShardState
    participants: int
    silent: int
    votes: dict[Vote, int] = field(default_factory=dict)

    def summary(self) -> str:
        """The progress as a line of text for operators."""
        state = self.state
        if state.phase == ShardPhase.steady:
            withdrawn = f"; the last one was withdrawn: {state.reason}" if state.reason else ""
            return f"steady: map {state.current.version}{withdrawn}"
        votes = ", ".join(f"{self.votes.get(vote, 0)} {vote.name}" for vote in Vote if vote != Vote.silent)
        return (
            f"{state.phase.name}: map {state.following.version} after {state.current.version}; "
            f"of {self.participants} proxies {votes}, {self.silent} unheard"
        )
