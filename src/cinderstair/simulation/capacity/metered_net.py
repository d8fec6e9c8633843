"""A network for records that counts its traffic."""

from expression import Result

from ...runtime.counters import Counters
from ...runtime.errors import CinderstairError
from ...runtime.net import RecordHandler
from ...runtime.record_frame import FRAME_HEADER
from ...runtime.record_net import RecordNet


class MeteredNet(RecordNet):
    """Counts records and their bytes with frame headers. An unanswered request counts as sent only."""

    def __init__(self, *, counters: Counters) -> None:
        super().__init__(counters=counters)
        self.records_in = self.records_out = self.bytes_in = self.bytes_out = 0

    def _count_sent(self, *, body: bytes) -> None:
        self.records_out += 1
        self.bytes_out += len(body) + FRAME_HEADER.size

    def _count_received(self, *, body: bytes) -> None:
        self.records_in += 1
        self.bytes_in += len(body) + FRAME_HEADER.size

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        self._count_sent(body=body)
        result = await super().request(address=address, body=body, wait_us=wait_us)
        if result.is_ok():
            self._count_received(body=result.ok)
        return result

    async def listen(self, *, address: str, handler: RecordHandler) -> None:
        async def metered(body: bytes) -> bytes:
            self._count_received(body=body)
            response = await handler(body)
            self._count_sent(body=response)
            return response

        await super().listen(address=address, handler=metered)
