"""Receives primary assignments that a controller sends without being asked."""

from ..failover.assignment_notice import ProxyReceipt, read_assignment_notice
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.unpacker import Unpacker
from .commit_acknowledgement import CommitAcknowledgement
from .relayed_view import RelayedView


class AssignmentReceiver:
    """Applies assignments to the view, and answers what this proxy has acknowledged until then.

    Invariant: once a notice is answered, this proxy acknowledges nothing that the assignment does not allow.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        view: RelayedView,
        commit_acknowledgement: CommitAcknowledgement,
    ) -> None:
        self.ctx = ctx
        self.view = view
        self.commit_acknowledgement = commit_acknowledgement
        dispatcher.add_handler(message_type=MessageType.APPLY_ASSIGNMENT, handler=self._on_notice)

    async def _on_notice(self, unpacker: Unpacker) -> bytes:
        notice = read_assignment_notice(unpacker=unpacker)
        self.view.take_pushed(entry=notice.value)
        now_us = self.ctx.now_us()
        acknowledged = self.commit_acknowledgement.acknowledged(service=notice.service)
        return ProxyReceipt(
            running_us=now_us - self.commit_acknowledgement.began_us,
            acknowledged=acknowledged.highest,
            acknowledged_ago_us=now_us - acknowledged.last_us,
            acknowledged_least=acknowledged.least,
            reached_before=tuple(acknowledged.reached_before),
        ).bytes()
