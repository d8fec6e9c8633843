"""Where a change of the shard map stands."""

from dataclasses import dataclass, field

from .shard_state import ShardPhase, ShardState, Vote


@dataclass(frozen=True, kw_only=True)
class ShardProgress:
    """`named` proxies have a slot, `unheard` of them were not heard lately; `votes` are of the others."""

    state: ShardState
    named: int
    unheard: int
    votes: dict[Vote, int] = field(default_factory=dict)

    def words(self) -> str:
        state = self.state
        if state.phase == ShardPhase.steady:
            why = f"; the last one was withdrawn: {state.why}" if state.why else ""
            return f"steady: map {state.current.version}{why}"
        said = ", ".join(f"{self.votes.get(vote, 0)} {vote.name}" for vote in Vote if vote != Vote.silent)
        return (
            f"{state.phase.name}: map {state.following.version} after {state.current.version}; "
            f"of {self.named} proxies {said}, {self.unheard} unheard"
        )
