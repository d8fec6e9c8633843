"""Describes the shard map for an operator to read."""

from ..failover.shard_state import ShardPhase, ShardState


def shard_map_text(*, state: ShardState) -> str:
    """The shard map in force, and the phase and version of the one that is to follow it, if any."""
    placements = ", ".join(
        f"{database} at {service}" for database, service in sorted(state.current.placements.items())
    )
    text = f"map {state.current.version}: {placements or 'all as planned'}"
    return text if state.phase == ShardPhase.steady else f"{text}; {state.phase.name}: {state.following.version}"
