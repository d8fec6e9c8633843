"""Forwards proxies' suspicions of a primary to the controller that holds the failover lease."""

from collections.abc import Callable

from ..failover.service_failover import ServiceFailover
from ..runtime.context import Context
from ..runtime.dispatcher import Dispatcher
from ..runtime.message_types import MessageType
from ..runtime.packer import Packer
from ..runtime.unpacker import Unpacker
from .acknowledgement import ACKNOWLEDGEMENT

REPORT_WAIT_US = 400_000
REPORT_INTERVAL_US = 250_000


class SuspicionReporter:
    """Owns when each primary was last reported, to limit reports to one per `REPORT_INTERVAL_US` and primary.

    Reports to peers are sent once, without retry: a proxy that still can't reach the primary reports it again.
    """

    def __init__(
        self,
        *,
        ctx: Context,
        dispatcher: Dispatcher,
        service_failover: ServiceFailover,
        peers: Callable[[], list[str]],
    ) -> None:
        self.ctx = ctx
        self.service_failover = service_failover
        self.peers = peers
        self.reported_at_us: dict[str, int] = {}
        dispatcher.add_handler(message_type=MessageType.SUSPECT, handler=self._on_suspect)

    def report(self, *, backend: str) -> None:
        """Reports that a proxy can't reach a backend; backends that are no primary are ignored."""
        now_us = self.ctx.now_us()
        if not any(assignment.primary == backend for assignment in self.service_failover.primaries.values()):
            return
        if now_us - self.reported_at_us.get(backend, -REPORT_INTERVAL_US) < REPORT_INTERVAL_US:
            return
        self.reported_at_us[backend] = now_us
        self.ctx.counters.add(name="promotion.suspicions")
        if self.service_failover.lease.held:
            self.service_failover.suspect(name=backend)
            return
        body = Packer().u8(value=MessageType.SUSPECT).text(value=backend).bytes()
        for address in self.peers():
            self.ctx.spawn(
                work=self.ctx.peer_client.request(address=address, body=body, wait_us=REPORT_WAIT_US),
                name="suspect.tell",
            )

    async def _on_suspect(self, unpacker: Unpacker) -> bytes:
        backend = unpacker.text()
        unpacker.done()
        if self.service_failover.lease.held:
            self.service_failover.suspect(name=backend)
        return ACKNOWLEDGEMENT
