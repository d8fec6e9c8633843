"""Operators' transitions of the shard map's state: propose a map, and abandon a proposal.

Both are pure functions of the state, so they are evaluated on the register's value at the time of the write.
"""

from dataclasses import replace

from expression import Error, Ok, Result

from ..config.shard_map import ShardMap
from ..runtime.errors import CinderstairError, ErrorCode
from .shard_state import ShardPhase, ShardState

ABANDONED = "abandoned by an operator"


def proposed(*, state: ShardState, wanted: ShardMap, in_flight_us: int) -> Result[ShardState, CinderstairError]:
    """The state in which `wanted` is proposed. Idempotent, so a proposal with unknown outcome may be repeated.

    :returns: versionTaken if another change is in progress, versionOld if the active map is as new or newer.
    """
    if state.phase != ShardPhase.steady and state.following != wanted:
        return Error(_under_way(state=state))
    if wanted.version <= state.current.version and wanted != state.current:
        reason = f"shard map {state.current.version} is active; propose a higher version"
        return Error(CinderstairError(code=ErrorCode.VERSION_OLD, reason=reason))
    if wanted in (state.current, state.following):
        return Ok(state)
    return Ok(
        ShardState(
            phase=ShardPhase.proposed,
            current=state.current,
            following=wanted,
            proposal=state.proposal + 1,
            in_flight_us=in_flight_us,
        )
    )


def abandoned(*, state: ShardState, version: int) -> Result[ShardState, CinderstairError]:
    """The state without the proposed map of this version. Idempotent, so it may be repeated after an unknown outcome.

    :returns: versionOld if no change is in progress, versionTaken if the change in progress has another version.
    """
    if state.phase != ShardPhase.steady:
        if state.following.version != version:
            return Error(_under_way(state=state))
        return Ok(replace(state, phase=ShardPhase.steady, following=ShardMap(), ready_in_us=0, reason=ABANDONED))
    if state.reason == ABANDONED and state.current.version < version:
        return Ok(state)
    reason = f"map {state.current.version} stands, and no change is in progress"
    return Error(CinderstairError(code=ErrorCode.VERSION_OLD, reason=reason))


def _under_way(*, state: ShardState) -> CinderstairError:
    reason = f"a change to shard map {state.following.version} is in progress"
    return CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=reason)
