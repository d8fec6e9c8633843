"""The command that follows a change of the shard map."""

import asyncio
import time
from dataclasses import dataclass

from cleo.helpers import argument, option
from expression import Error, Ok, Result

from ..failover.shard_state import ShardPhase
from ..runtime.errors import CinderstairError
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .exit_code import ExitCode
from .record_client import send_request, unpack_response
from .record_command import CONTROLLER_ADDRESS, UNREADABLE_RESPONSE, error_text
from .shard_commands import MapVersionCommand

POLL_INTERVAL_S = 0.2
MAX_WAIT_S = 3_600


@dataclass(frozen=True, kw_only=True)
class WatchStep:
    """The state of the change in one response; `code` is None while the change is in progress."""

    text: str
    code: ExitCode | None = None


class ShardsWatchCommand(MapVersionCommand):
    """Polls a controller until the change has ended.

    Exit codes: 0 the map is in force, 1 it was withdrawn, 2 invalid usage, 3 neither within the time given.
    """

    name = "shards watch"
    description = "Follow the change of the shard map until it is done or withdrawn"
    arguments = [argument("version", "the version of the map to wait for")]
    options = [
        CONTROLLER_ADDRESS,
        option("wait", "w", "how many seconds to follow it at most", flag=False, default="60"),
    ]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        version = self.map_version()
        if version.is_error():
            return version.error
        wait_s = self._wait_s()
        if wait_s.is_error():
            return wait_s.error
        address = self.controller_address()
        if address.is_error():
            return address.error
        until_s = time.monotonic() + wait_s.ok
        return asyncio.run(self._follow(version=version.ok, until_s=until_s, address=address.ok))

    def _wait_s(self) -> Result[int, ExitCode]:
        wait = self.option("wait")
        if not wait.isdigit() or not 0 < int(wait) <= MAX_WAIT_S:
            message = f"--wait: a whole number of seconds from 1 to {MAX_WAIT_S} is needed"
            return Error(self.fail(message=message, code=ExitCode.USAGE))
        return Ok(int(wait))

    async def _follow(self, *, version: int, until_s: float, address: str) -> ExitCode:
        """Prints each new state until the change has ended or the time is up.

        :param until_s: when to stop, in seconds of the monotonic clock
        """
        printed = ""
        while time.monotonic() < until_s:
            result = await send_request(address=address, body=Packer().u8(value=MessageType.SHARDS_PROGRESS).bytes())
            try:
                step = watch_step(result=result, version=version)
            except ValueError:
                return self.fail(message=UNREADABLE_RESPONSE, code=ExitCode.FAILED)
            if step.text != printed:
                print(step.text, flush=True)
                printed = step.text
            if step.code is not None:
                return step.code
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.fail(
            message=f"map {version} is still neither in force nor withdrawn when --wait ends", code=ExitCode.UNKNOWN
        )


def watch_step(*, result: Result[bytes, CinderstairError], version: int) -> WatchStep:
    """Returns the state of the change to a map, as a response describes it.

    :param version: the version of the map
    :raises ValueError: if the response is malformed
    """
    # The change continues while this controller restarts, so a missing response does not end the command.
    if result.is_error():
        return WatchStep(text=error_text(error=result.error))
    unpacker = Unpacker(data=result.ok)
    response = unpack_response(unpacker=unpacker)
    if response.error_code:
        unpacker.done()
        return WatchStep(text=response.message, code=ExitCode.FAILED)
    phase = ShardPhase(unpacker.u8())
    unpacker.u64()  # the number of the change's step, which is not used here
    current_version = unpacker.u64()
    withdrawal_reason = unpacker.text()
    unpacker.done()
    if current_version >= version:
        return WatchStep(text=response.text, code=ExitCode.DONE)
    if phase != ShardPhase.steady:
        return WatchStep(text=response.text)
    text = response.text if withdrawal_reason else f"{response.text}; no change is on its way"
    return WatchStep(text=text, code=ExitCode.FAILED)
