"""The verbs of operators that speak to a running controller, by records."""

import asyncio
from pathlib import Path

from cleo.helpers import argument, option
from expression import Result

from ..runtime.counters import Counters
from ..runtime.errors import CinderstairError
from ..runtime.message_types import CONTROLLER, SHARDS
from ..runtime.packer import Packer
from ..runtime.record_transport import RecordTransport
from ..runtime.settings_validation import address_error
from ..runtime.unpacker import Unpacker
from .base_command import BaseCommand
from .exit_code import ExitCode

WAIT_US = 5_000_000
AT = option("at", "a", "records address of any controller", flag=False, default="127.0.0.1:7101")


async def ask(*, address: str, body: bytes) -> Result[bytes, CinderstairError]:
    """One question to one controller. wireUnsure: nobody knows whether it was heard."""
    wire = RecordTransport(counters=Counters())
    try:
        return await wire.request(address=address, body=body, wait_us=WAIT_US)
    finally:
        await wire.close()


class RecordCommand(BaseCommand):
    """Exit codes: 0 done, 1 denied, 2 usage, 3 outcome unknown."""

    options = [AT]

    def put(self, *, body: bytes, changes: bool) -> int:
        problem = address_error(value=self.option("at"))
        if problem:
            return self.fail(message=f"--at: {problem}", code=ExitCode.USAGE)
        result = asyncio.run(ask(address=self.option("at"), body=body))
        if result.is_error():
            return self.fail(
                message=f"{result.error.code.value}: {result.error.reason}",
                code=ExitCode.UNKNOWN if changes else ExitCode.FAILED,
            )
        try:
            unpacker = Unpacker(data=result.ok)
            kind, words = unpacker.text(), unpacker.text()
            unpacker.done()
        except ValueError:
            return self.fail(
                message="an answer that can't be read: is this a controller's records address?", code=ExitCode.FAILED
            )
        if kind:
            return self.fail(message=f"{kind}: {words}", code=ExitCode.FAILED)
        print(words)
        return ExitCode.DONE


class ShardsCommand(RecordCommand):
    name = "shards"
    description = "Show the shard map, or put a new one to the proxies"
    arguments = [argument("file", "the new map (JSON); none: show the one that stands", optional=True)]

    def handle(self) -> int:
        raw = b""
        if self.argument("file"):
            try:
                raw = Path(self.argument("file")).read_bytes()
            except OSError as error:
                return self.fail(message=f"{self.argument('file')}: {error.strerror}", code=ExitCode.USAGE)
        return self.put(body=Packer().u8(value=SHARDS).blob(value=raw).bytes(), changes=bool(raw))


class ControllerCommand(RecordCommand):
    name = "controller"
    aliases = ["guildhall"]
    description = "Show what a controller knows: register replicas, leads, backends, proxies, duties, counters"

    def handle(self) -> int:
        return self.put(body=Packer().u8(value=CONTROLLER).bytes(), changes=False)
