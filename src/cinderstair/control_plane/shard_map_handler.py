"""What operators ask of the shard map: put one, try one dry, give one up, look how it comes along."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from ..config.service_plan import ServicePlan
from ..config.shard_check import shard_map_problems
from ..config.shard_map import ShardMap, check_shard_map
from ..consensus.register import Register
from ..failover.shard_map_coordinator import ShardMapCoordinator
from ..failover.shard_state import SHARDS_KEY, read_shard_state
from ..runtime.dispatcher import Dispatcher
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.message_types import SHARDS, SHARDS_ABANDON, SHARDS_PLAN, SHARDS_PROGRESS
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .status_text import describe


class ShardMapHandler:
    """Answers operators' records. `planned`: where a database goes by the plan; `brings`: whether data can move."""

    def __init__(
        self,
        *,
        dispatcher: Dispatcher,
        register: Register,
        shards: ShardMapCoordinator,
        plan: Callable[[], ServicePlan | None],
        planned: Callable[[str], str],
        brings: Callable[[], bool],
    ) -> None:
        self.register = register
        self.shards = shards
        self.plan = plan
        self.planned = planned
        self.brings = brings
        dispatcher.add_handler(message_type=SHARDS, handler=self._asked)
        dispatcher.add_handler(message_type=SHARDS_PLAN, handler=self._planned_only)
        dispatcher.add_handler(message_type=SHARDS_ABANDON, handler=self._abandoned)
        dispatcher.add_handler(message_type=SHARDS_PROGRESS, handler=self._progress)

    async def _asked(self, unpacker: Unpacker) -> bytes:
        """An operator's shard map, or no bytes for a word on the one that stands; answered by a kind and words."""
        raw = unpacker.blob()
        unpacker.done()
        if not raw:
            found = await self.register.read(key=SHARDS_KEY)
            if found.is_error():
                return Packer().text(value=found.error.code.value).text(value=found.error.reason).bytes()
            return Packer().text(value="").text(value=describe(state=read_shard_state(data=found.ok.value))).bytes()
        checked = self._checked(raw=raw)
        result = Error(checked.error) if checked.is_error() else await self.shards.propose(wanted=checked.ok)
        return answered(result=result, words="put to the proxies")

    def _checked(self, *, raw: bytes) -> Result[ShardMap, CinderstairError]:
        """An operator's map, held against the configuration and the map that stand."""
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

    async def _planned_only(self, unpacker: Unpacker) -> bytes:
        """A dry run: nothing is put anywhere."""
        raw = unpacker.blob()
        unpacker.done()
        checked = self._checked(raw=raw)
        if checked.is_error():
            return answered(result=checked, words="")
        wanted, current = checked.ok, self.shards.state.current
        if wanted.version <= current.version:
            fault = CinderstairError(code=ErrorCode.VERSION_OLD, reason=f"version {current.version} stands")
            return answered(result=Error(fault), words="")
        lines = []
        for database, service in sorted(wanted.places.items()):
            now = current.place(database=database, planned=self.planned(database))
            if now != service:
                lines.append(f"{database}: from {now} to {service}")
        foreseen = await self.shards.forecast()
        lines.append(foreseen.summary() if lines else "nothing moves")
        if not self.brings():
            lines.append("begin would be refused: nothing here brings a database's data to another place")
        return answered(result=Ok(None), words="\n".join(lines))

    async def _abandoned(self, unpacker: Unpacker) -> bytes:
        version = unpacker.u64()
        unpacker.done()
        return answered(result=await self.shards.abandon(version=version), words=f"map {version} is given up")

    async def _progress(self, unpacker: Unpacker) -> bytes:
        """Words for people, then the phase, the turn, the version that stands, and why the last was withdrawn."""
        unpacker.done()
        progress = await self.shards.progress()
        state = progress.state
        packer = Packer().text(value="").text(value=progress.summary())
        packer.u8(value=state.phase).u64(value=state.turn).u64(value=state.current.version).text(value=state.why)
        return packer.bytes()


def answered(*, result: Result[Any, CinderstairError], words: str) -> bytes:
    """An operator's answer: a kind, empty where all is well, and words."""
    if result.is_error():
        return Packer().text(value=result.error.code.value).text(value=result.error.reason).bytes()
    return Packer().text(value="").text(value=words).bytes()
