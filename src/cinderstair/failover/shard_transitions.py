"""What operators may do to the shard map's state: propose a next map, and abandon one.

Both are functions of the state alone, so that they hold for whatever state the register has when it is written.
"""

from dataclasses import replace

from expression import Error, Ok, Result

from ..config.shard_map import ShardMap
from ..runtime.errors import CinderstairError, ErrorCode
from .shard_state import ShardPhase, ShardState

ABANDONED = "abandoned by an operator"


def proposed(*, state: ShardState, wanted: ShardMap, in_flight_us: int) -> Result[ShardState, CinderstairError]:
    """The state in which `wanted` is proposed. The same map may be proposed again, after an unclear answer.

    :returns: versionTaken where another change is under way, versionOld where as new a map is in force.
    """
    if state.phase != ShardPhase.steady and state.following != wanted:
        return Error(_under_way(state=state))
    if wanted.version <= state.current.version and wanted != state.current:
        reason = f"version {state.current.version} stands"
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
    """The state without the proposed map of this version. It may be abandoned again, after an unclear answer.

    :returns: versionOld where no change is under way, versionTaken where it is one to another version.
    """
    if state.phase != ShardPhase.steady:
        if state.following.version != version:
            return Error(_under_way(state=state))
        return Ok(replace(state, phase=ShardPhase.steady, following=ShardMap(), ready_in_us=0, reason=ABANDONED))
    if state.reason == ABANDONED and state.current.version < version:
        return Ok(state)
    reason = f"map {state.current.version} stands, no other is coming"
    return Error(CinderstairError(code=ErrorCode.VERSION_OLD, reason=reason))


def _under_way(*, state: ShardState) -> CinderstairError:
    reason = f"version {state.following.version} is on its way"
    return CinderstairError(code=ErrorCode.VERSION_TAKEN, reason=reason)
