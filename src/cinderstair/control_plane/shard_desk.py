"""What operators ask of the shard map: put one, try one dry, give one up, look how it comes along."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from ..config.service_plan import ServicePlan
from ..config.shard_check import shard_map_troubles
from ..config.shard_map import ShardMap, check_shard_map
from ..consensus.register import Register
from ..failover.shard_duty import ShardDuty
from ..failover.shard_state import SHARDS_KEY, read_shard_state
from ..runtime.desk import Desk
from ..runtime.desks import SHARDS, SHARDS_ABANDON, SHARDS_PLAN, SHARDS_PROGRESS
from ..runtime.fault import Fault
from ..runtime.kind import Kind
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .status_text import describe


class ShardDesk:
    """Answers operators' records. `planned`: where a database goes by the plan; `brings`: whether data can move."""

    def __init__(
        self,
        *,
        desk: Desk,
        register: Register,
        shards: ShardDuty,
        plan: Callable[[], ServicePlan | None],
        planned: Callable[[str], str],
        brings: Callable[[], bool],
    ) -> None:
        self.register = register
        self.shards = shards
        self.plan = plan
        self.planned = planned
        self.brings = brings
        desk.open(kind=SHARDS, answer=self._asked)
        desk.open(kind=SHARDS_PLAN, answer=self._planned_only)
        desk.open(kind=SHARDS_ABANDON, answer=self._abandoned)
        desk.open(kind=SHARDS_PROGRESS, answer=self._progress)

    async def _asked(self, unpacker: Unpacker) -> bytes:
        """An operator's shard map, or no bytes for a word on the one that stands; answered by a kind and words."""
        raw = unpacker.blob()
        unpacker.done()
        if not raw:
            found = await self.register.read(key=SHARDS_KEY)
            if found.is_error():
                return Packer().text(value=found.error.kind.value).text(value=found.error.why).bytes()
            return Packer().text(value="").text(value=describe(state=read_shard_state(data=found.ok.value))).bytes()
        checked = self._checked(raw=raw)
        result = Error(checked.error) if checked.is_error() else await self.shards.propose(wanted=checked.ok)
        return answered(result=result, words="put to the booths")

    def _checked(self, *, raw: bytes) -> Result[ShardMap, Fault]:
        """An operator's map, held against the configuration and the map that stand."""
        checked = check_shard_map(raw=raw)
        if checked.is_error():
            return checked
        plan = self.plan()
        if plan is None:
            return Error(Fault(kind=Kind.noConfiguration, why="no configuration has been accepted yet"))
        text, current = raw.decode(errors="replace"), self.shards.state.current
        troubles = shard_map_troubles(text=text, wanted=checked.ok, current=current, plan=plan)
        if troubles:
            return Error(Fault(kind=Kind.brokenConfiguration, why="\n".join(troubles)))
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
            fault = Fault(kind=Kind.versionOld, why=f"version {current.version} stands")
            return answered(result=Error(fault), words="")
        lines = []
        for database, service in sorted(wanted.places.items()):
            now = current.place(database=database, planned=self.planned(database))
            if now != service:
                lines.append(f"{database}: from {now} to {service}")
        foreseen = await self.shards.forecast()
        lines.append(foreseen.words() if lines else "nothing moves")
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
        packer = Packer().text(value="").text(value=progress.words())
        packer.u8(value=state.phase).u64(value=state.turn).u64(value=state.current.version).text(value=state.why)
        return packer.bytes()


def answered(*, result: Result[Any, Fault], words: str) -> bytes:
    """An operator's answer: a kind, empty where all is well, and words."""
    if result.is_error():
        return Packer().text(value=result.error.kind.value).text(value=result.error.why).bytes()
    return Packer().text(value="").text(value=words).bytes()
