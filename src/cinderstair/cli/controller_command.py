"""The command that shows a controller's state."""

from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from .record_command import RecordCommand


class ControllerCommand(RecordCommand):
    """Prints a controller's own report."""

    name = "controller"
    aliases = ["guildhall"]
    description = "Show what a controller knows: register replicas, leads, backends, proxies, duties, counters"

    def handle(self) -> int:
        """Runs the command; returns its exit code."""
        return self.request_controller(body=Packer().u8(value=MessageType.CONTROLLER).bytes(), changes=False)
