"""The command that shows a controller's state."""

from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .record_command import RecordCommand


class ControllerCommand(RecordCommand):
    """Prints the state that a controller reports."""

    name = "controller"
    aliases = ["guildhall"]
    description = "Show a controller's state: register replicas, primaries, backends, proxies, held leases, counters"

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        return self.request_controller(body=Packer().u8(value=MessageType.CONTROLLER).bytes(), changes=False)
