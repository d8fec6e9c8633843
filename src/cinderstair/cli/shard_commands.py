"""The verbs that plan, begin, watch and abandon a change of the shard map."""

import asyncio
import time
from pathlib import Path

from cleo.helpers import argument, option

from ..failover.shard_state import ShardPhase
from ..runtime.message_types import SHARDS, SHARDS_ABANDON, SHARDS_PLAN, SHARDS_PROGRESS
from ..runtime.packer import Packer
from ..runtime.settings_validation import address_error
from ..runtime.unpacker import Unpacker
from .controller_commands import AT, RecordCommand, ask
from .exit_code import ExitCode

LOOK_EVERY_S = 0.2
MOST_WAIT_S = 3_600


class ShardMapCommand(RecordCommand):
    """Sends a map that stands in a file."""

    arguments = [argument("file", "the new map (JSON)")]
    kind = 0
    changes = False

    def handle(self) -> int:
        try:
            raw = Path(self.argument("file")).read_bytes()
        except OSError as error:
            return self.fail(message=f"{self.argument('file')}: {error.strerror}", code=ExitCode.USAGE)
        if not raw:
            return self.fail(message=f"{self.argument('file')}: empty", code=ExitCode.USAGE)
        return self.put(body=Packer().u8(value=self.kind).blob(value=raw).bytes(), changes=self.changes)


class ShardsPlanCommand(ShardMapCommand):
    name = "shards plan"
    description = "Check a shard map against what stands, and foretell how long writes would wait; changes nothing"
    kind = SHARDS_PLAN


class ShardsBeginCommand(ShardMapCommand):
    name = "shards begin"
    description = "Put a shard map to the proxies"
    kind = SHARDS
    changes = True


class ShardsAbandonCommand(RecordCommand):
    name = "shards abandon"
    description = "Give up the change of the shard map that is on its way, before anything was taken over"
    arguments = [argument("version", "the version that is on its way")]

    def handle(self) -> int:
        version = self.argument("version")
        if not version.isdigit() or not 0 < int(version) < 2**63:
            return self.fail(message="version: a whole number above 0 is needed", code=ExitCode.USAGE)
        body = Packer().u8(value=SHARDS_ABANDON).u64(value=int(version)).bytes()
        return self.put(body=body, changes=True)


class ShardsWatchCommand(RecordCommand):
    """Exit codes: 0 the map stands, 1 it was withdrawn, 2 usage, 3 neither within the time given."""

    name = "shards watch"
    description = "Follow the change of the shard map until it is done or withdrawn"
    arguments = [argument("version", "the version that is awaited")]
    options = [AT, option("wait", "w", "seconds to follow it at most", flag=False, default="60")]

    def handle(self) -> int:
        version, wait, at = self.argument("version"), self.option("wait"), self.option("at")
        if not version.isdigit() or not 0 < int(version) < 2**63:
            return self.fail(message="version: a whole number above 0 is needed", code=ExitCode.USAGE)
        if not wait.isdigit() or not 0 < int(wait) <= MOST_WAIT_S:
            return self.fail(
                message=f"--wait: a whole number of seconds from 1 to {MOST_WAIT_S} is needed", code=ExitCode.USAGE
            )
        problem = address_error(value=at)
        if problem:
            return self.fail(message=f"--at: {problem}", code=ExitCode.USAGE)
        return asyncio.run(self._follow(version=int(version), until_s=time.monotonic() + int(wait), at=at))

    async def _follow(self, *, version: int, until_s: float, at: str) -> int:
        said = ""
        while time.monotonic() < until_s:
            result = await ask(address=at, body=Packer().u8(value=SHARDS_PROGRESS).bytes())
            words, code = "", None
            if result.is_error():
                # why: a controller may be restarted meanwhile, and the change goes on without it
                words = f"{result.error.code.value}: {result.error.reason}"
            else:
                try:
                    words, code = read_progress(data=result.ok, version=version)
                except ValueError:
                    why = "an answer that can't be read: is this a controller's records address?"
                    return self.fail(message=why, code=ExitCode.FAILED)
            if words != said:
                print(words, flush=True)
                said = words
            if code is not None:
                return code
            await asyncio.sleep(LOOK_EVERY_S)
        return self.fail(message=f"map {version} is neither in force nor withdrawn yet", code=ExitCode.UNKNOWN)


def read_progress(*, data: bytes, version: int) -> tuple[str, int | None]:
    """Words, and the verb's exit code once it is known. Raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    kind, words = unpacker.text(), unpacker.text()
    if kind:
        unpacker.done()
        return f"{kind}: {words}", ExitCode.FAILED
    phase, _, stands, why = ShardPhase(unpacker.u8()), unpacker.u64(), unpacker.u64(), unpacker.text()
    unpacker.done()
    if stands >= version:
        return words, ExitCode.DONE
    if phase == ShardPhase.steady:
        return words if why else f"{words}; no change is on its way", ExitCode.FAILED
    return words, None
