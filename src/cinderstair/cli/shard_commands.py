"""Commands that show, plan, begin and abandon a change of the shard map."""

from cleo.helpers import argument
from expression import Error, Ok, Result

from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .exit_code import ExitCode
from .record_command import RecordCommand

MAX_VERSION = 2**63 - 1


class ShardsCommand(RecordCommand):
    """Without a file the same question shows the map in force."""

    name = "shards"
    description = "Show the shard map, or submit a new one to the proxies"
    arguments = [argument("file", "the new map (JSON); none: show the one in force", optional=True)]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        raw = b""
        if self.argument("file"):
            read = self.read_file(path=self.argument("file"))
            if read.is_error():
                return read.error
            raw = read.ok
        body = Packer().u8(value=MessageType.SHARDS).blob(value=raw).bytes()
        return self.request_controller(body=body, changes=bool(raw))


class ShardMapCommand(RecordCommand):
    """Sends the map that a file holds.

    :cvar message_type: the record that carries the map
    :cvar changes: whether the request changes anything
    """

    arguments = [argument("file", "the new map (JSON)")]
    message_type = 0
    changes = False

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        path = self.argument("file")
        read = self.read_file(path=path)
        if read.is_error():
            return read.error
        # An empty map would be taken as the question for the one in force.
        if not read.ok:
            return self.fail(message=f"{path}: empty", code=ExitCode.USAGE)
        body = Packer().u8(value=self.message_type).blob(value=read.ok).bytes()
        return self.request_controller(body=body, changes=self.changes)


class ShardsPlanCommand(ShardMapCommand):
    """Asks what a map would change."""

    name = "shards plan"
    description = "Check a shard map and predict how long writes would wait; changes nothing"
    message_type = MessageType.SHARDS_PLAN


class ShardsBeginCommand(ShardMapCommand):
    """Begins the change to a map."""

    name = "shards begin"
    description = "Submit a shard map to the proxies"
    message_type = MessageType.SHARDS
    changes = True


class MapVersionCommand(RecordCommand):
    """Takes the version of a map as its argument."""

    def map_version(self) -> Result[int, ExitCode]:
        """The argument `version`; where it is none that is printed, and the exit code returned."""
        version = self.argument("version")
        if not version.isdigit() or not 0 < int(version) <= MAX_VERSION:
            return Error(self.fail(message="version: a whole number above 0 is needed", code=ExitCode.USAGE))
        return Ok(int(version))


class ShardsAbandonCommand(MapVersionCommand):
    """Withdraws a map that is not in force yet."""

    name = "shards abandon"
    description = "Abandon the shard map's change that is in progress, before any proxy has applied it"
    arguments = [argument("version", "the version of the map that is to be abandoned")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        version = self.map_version()
        if version.is_error():
            return version.error
        body = Packer().u8(value=MessageType.SHARDS_ABANDON).u64(value=version.ok).bytes()
        return self.request_controller(body=body, changes=True)
