"""The verbs of operators that speak to a running guildhall, by records."""

import asyncio
import sys
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import argument, option
from expression import Result

from ..runtime.counters import Counters
from ..runtime.desks import GUILDHALL, SHARDS
from ..runtime.fault import Fault
from ..runtime.file_place import address_trouble
from ..runtime.packer import Packer
from ..runtime.recordwire import RecordWire
from ..runtime.unpacker import Unpacker

DONE, DENIED, USAGE, UNKNOWN = 0, 1, 2, 3
WAIT_US = 5_000_000
AT = option("at", "a", "records address of any guildhall", flag=False, default="127.0.0.1:7101")


async def ask(*, address: str, body: bytes) -> Result[bytes, Fault]:
    """One question to one guildhall. wireUnsure: nobody knows whether it was heard."""
    wire = RecordWire(counters=Counters())
    try:
        return await wire.ask(address=address, body=body, wait_us=WAIT_US)
    finally:
        await wire.close()


class ControlVerb(Command):
    """Exit codes: 0 done, 1 denied, 2 usage, 3 outcome unknown."""

    options = [AT]

    def fail(self, *, why: str, code: int) -> int:
        print(why, file=sys.stderr)
        return code

    def put(self, *, body: bytes, changes: bool) -> int:
        trouble = address_trouble(value=self.option("at"))
        if trouble:
            return self.fail(why=f"--at: {trouble}", code=USAGE)
        result = asyncio.run(ask(address=self.option("at"), body=body))
        if result.is_error():
            return self.fail(
                why=f"{result.error.kind.value}: {result.error.why}", code=UNKNOWN if changes else DENIED
            )
        try:
            unpacker = Unpacker(data=result.ok)
            kind, words = unpacker.text(), unpacker.text()
            unpacker.done()
        except ValueError:
            return self.fail(why="an answer that can't be read: is this a guildhall's records address?", code=DENIED)
        if kind:
            return self.fail(why=f"{kind}: {words}", code=DENIED)
        print(words)
        return DONE


class ShardsVerb(ControlVerb):
    name = "shards"
    description = "Show the shard map, or put a new one to the booths"
    arguments = [argument("file", "the new map (JSON); none: show the one that stands", optional=True)]

    def handle(self) -> int:
        raw = b""
        if self.argument("file"):
            try:
                raw = Path(self.argument("file")).read_bytes()
            except OSError as error:
                return self.fail(why=f"{self.argument('file')}: {error.strerror}", code=USAGE)
        return self.put(body=Packer().u8(value=SHARDS).blob(value=raw).bytes(), changes=bool(raw))


class GuildhallVerb(ControlVerb):
    name = "guildhall"
    description = "Show what a guildhall knows: vaults, leads, backends, booths, duties, counters"

    def handle(self) -> int:
        return self.put(body=Packer().u8(value=GUILDHALL).bytes(), changes=False)
