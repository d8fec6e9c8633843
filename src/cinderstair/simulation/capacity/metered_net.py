"""A lean daemon's network that counts what goes through it."""

from expression import Result

from ...runtime.counters import Counters
from ...runtime.errors import CinderstairError
from ...runtime.net import RecordAnswer
from ...runtime.record_net import RecordNet
from ...runtime.record_transport import HEAD


class MeteredNet(RecordNet):
    """Records that are never answered count as sent alone."""

    def __init__(self, *, counters: Counters) -> None:
        super().__init__(counters=counters)
        self.records_in = self.records_out = self.bytes_in = self.bytes_out = 0

    def _sent(self, *, body: bytes) -> None:
        self.records_out += 1
        self.bytes_out += len(body) + HEAD.size

    def _came(self, *, body: bytes) -> None:
        self.records_in += 1
        self.bytes_in += len(body) + HEAD.size

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        self._sent(body=body)
        result = await super().request(address=address, body=body, wait_us=wait_us)
        if result.is_ok():
            self._came(body=result.ok)
        return result

    async def listen(self, *, address: str, answer: RecordAnswer) -> None:
        async def metered(body: bytes) -> bytes:
            self._came(body=body)
            response = await answer(body)
            self._sent(body=response)
            return response

        await super().listen(address=address, answer=metered)
