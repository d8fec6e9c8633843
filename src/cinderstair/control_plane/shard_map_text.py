"""Formats the shard map for operators."""

from ..failover.shard_state import ShardPhase, ShardState


def shard_map_text(*, state: ShardState) -> str:
    """The shard map in force, followed by the phase and version of a pending change."""
    placements = ", ".join(
        f"{database} at {service}" for database, service in sorted(state.current.placements.items())
    )
    text = f"map {state.current.version}: {placements or 'no database is placed by a shard map'}"
    return text if state.phase == ShardPhase.steady else f"{text}; {state.phase.name}: {state.following.version}"
