"""Serves operators' shard map requests: propose, dry run, abandon, show the current map and the progress."""

from collections.abc import Callable

from expression import Error, Result

from ..config.service_plan import ServicePlan
from ..config.shard_check import shard_map_problems
from ..config.shard_map import ShardMap, check_shard_map
from ..consensus.register import Register
from ..failover.shard_map_coordinator import ShardMapCoordinator
from ..failover.shard_state import SHARDS_KEY, read_shard_state
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import MessageType
from ..runtime.unpacker import Unpacker
from .operator_answer import operator_answer, operator_error, operator_result
from .shard_map_text import shard_map_text


class ShardMapHandler:
    """Checks operators' shard maps against the configuration and passes them to the coordinator.

    Errors are returned to the operator as a code and a reason.

    :param plan: returns the configuration in force, None before the first.
    :param planned_service: returns the service to which the plan routes a database.
    :param can_move_data: whether a handover is set up to copy a database's data to another service.
    """

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        register: Register,
        shards: ShardMapCoordinator,
        plan: Callable[[], ServicePlan | None],
        planned_service: Callable[[str], str],
        can_move_data: Callable[[], bool],
    ) -> None:
        self.register = register
        self.shards = shards
        self.plan = plan
        self.planned_service = planned_service
        self.can_move_data = can_move_data
        dispatcher.add_handler(message_type=MessageType.SHARDS, handler=self._on_shard_map)
        dispatcher.add_handler(message_type=MessageType.SHARDS_PLAN, handler=self._on_dry_run)
        dispatcher.add_handler(message_type=MessageType.SHARDS_ABANDON, handler=self._on_abandon)
        dispatcher.add_handler(message_type=MessageType.SHARDS_PROGRESS, handler=self._on_progress)

    async def _on_shard_map(self, unpacker: Unpacker) -> bytes:
        """Proposes an operator's shard map; an empty document requests a description of the map in force."""
        raw = unpacker.blob()
        unpacker.done()
        if not raw:
            found = await self.register.read(key=SHARDS_KEY)
            if found.is_error():
                return operator_error(error=found.error)
            return operator_answer(text=shard_map_text(state=read_shard_state(data=found.ok.value))).bytes()
        checked = self._checked(raw=raw)
        result = Error(checked.error) if checked.is_error() else await self.shards.propose(wanted=checked.ok)
        return operator_result(result=result, text="proposed to the proxies")

    def _checked(self, *, raw: bytes) -> Result[ShardMap, CinderstairError]:
        """Parses a map and checks it against the configuration and the map in force; the error lists each problem."""
        checked = check_shard_map(raw=raw)
        if checked.is_error():
            return checked
        plan = self.plan()
        if plan is None:
            return Error(
                CinderstairError(code=ErrorCode.NO_CONFIGURATION, reason="no configuration has been accepted yet")
            )
        text, current = raw.decode(errors="replace"), self.shards.state.current
        problems = shard_map_problems(text=text, wanted=checked.ok, current=current, plan=plan)
        if problems:
            return Error(CinderstairError(code=ErrorCode.BROKEN_CONFIGURATION, reason="\n".join(problems)))
        return checked

    async def _on_dry_run(self, unpacker: Unpacker) -> bytes:
        """Lists what an operator's shard map would move, without proposing it."""
        raw = unpacker.blob()
        unpacker.done()
        checked = self._checked(raw=raw)
        if checked.is_error():
            return operator_error(error=checked.error)
        current = self.shards.state.current
        if checked.ok.version <= current.version:
            reason = f"version {checked.ok.version} is not above version {current.version}, which is in force"
            return operator_error(error=CinderstairError(code=ErrorCode.VERSION_OLD, reason=reason))
        lines = self._moves(wanted=checked.ok)
        forecast = await self.shards.forecast()
        lines.append(forecast.summary() if lines else "no database moves")
        if not self.can_move_data():
            lines.append(
                "begin would be refused: no handover is set up here to copy a database's data to another service"
            )
        return operator_answer(text="\n".join(lines)).bytes()

    def _moves(self, *, wanted: ShardMap) -> list[str]:
        """One line for each database that a map would move to another service."""
        lines = []
        for database, target in sorted(wanted.placements.items()):
            source = self.shards.state.current.service_of(database=database, planned=self.planned_service(database))
            if source != target:
                lines.append(f"{database}: from {source} to {target}")
        return lines

    async def _on_abandon(self, unpacker: Unpacker) -> bytes:
        version = unpacker.u64()
        unpacker.done()
        return operator_result(result=await self.shards.abandon(version=version), text=f"map {version} is abandoned")

    async def _on_progress(self, unpacker: Unpacker) -> bytes:
        """Responds with a summary, then phase, proposal, version in force and why the last proposal was withdrawn."""
        unpacker.done()
        progress = await self.shards.progress()
        state = progress.state
        packer = operator_answer(text=progress.summary())
        packer.u8(value=state.phase).u64(value=state.proposal).u64(value=state.current.version).text(
            value=state.reason
        )
        return packer.bytes()
