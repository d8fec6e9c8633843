"""Commands that show, plan, begin and abandon a change of the shard map."""

from cleo.helpers import argument
from expression import Error, Ok, Result

from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .exit_code import ExitCode
from .record_command import RecordCommand

MAX_VERSION = 2**63 - 1


class ShardsCommand(RecordCommand):
    """Submits a shard map, or without a file shows the one in force; both use the same message type."""

    name = "shards"
    description = "Show the shard map, or submit a new one to the proxies"
    arguments = [argument("file", "the new map (JSON); without it the map in force is shown", optional=True)]

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
    """Sends the shard map in a file to a controller.

    :cvar message_type: the type of the message that carries the map
    :cvar changes: whether the request changes state
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
        # The message type SHARDS with an empty map requests the map in force.
        if not read.ok:
            return self.fail(message=f"{path}: empty", code=ExitCode.USAGE)
        body = Packer().u8(value=self.message_type).blob(value=read.ok).bytes()
        return self.request_controller(body=body, changes=self.changes)


class ShardsPlanCommand(ShardMapCommand):
    """Prints what the change to a map would do."""

    name = "shards plan"
    description = "Validate a shard map and predict how long writes would wait; changes nothing"
    message_type = MessageType.SHARDS_PLAN


class ShardsBeginCommand(ShardMapCommand):
    """Starts the change to a new map."""

    name = "shards begin"
    description = "Submit a shard map to the proxies"
    message_type = MessageType.SHARDS
    changes = True


class MapVersionCommand(RecordCommand):
    """A command whose argument is the version of a map."""

    def map_version(self) -> Result[int, ExitCode]:
        """Returns the argument `version`; if it is invalid, prints that and returns the exit code as the error."""
        version = self.argument("version")
        if not version.isdigit() or not 0 < int(version) <= MAX_VERSION:
            return Error(self.fail(message="version: a whole number above 0 is needed", code=ExitCode.USAGE))
        return Ok(int(version))


class ShardsAbandonCommand(MapVersionCommand):
    """Withdraws a map that is not yet in force."""

    name = "shards abandon"
    description = "Abandon a change of the shard map that is in progress, before any proxy has applied it"
    arguments = [argument("version", "the version of the map to abandon")]

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        version = self.map_version()
        if version.is_error():
            return version.error
        body = Packer().u8(value=MessageType.SHARDS_ABANDON).u64(value=version.ok).bytes()
        return self.request_controller(body=body, changes=True)
