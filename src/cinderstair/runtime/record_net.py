"""The network of a lean daemon: records alone. Its edges are its adapters' own."""

from expression import Result

from .counters import Counters
from .errors import CinderstairError
from .net import Connection, HttpAnswer, RecordAnswer
from .record_transport import RecordTransport


class RecordNet:
    """A Net without HTTP, so that neither of its libraries is loaded."""

    def __init__(self, *, counters: Counters) -> None:
        self.wire = RecordTransport(counters=counters)

    async def request(self, *, address: str, body: bytes, wait_us: int) -> Result[bytes, CinderstairError]:
        return await self.wire.request(address=address, body=body, wait_us=wait_us)

    async def listen(self, *, address: str, answer: RecordAnswer) -> None:
        await self.wire.listen(address=address, answer=answer)

    async def dial(self, *, address: str, wait_us: int) -> Result[Connection, CinderstairError]:
        raise NotImplementedError("a lean daemon has no HTTP channels")

    async def serve(self, *, address: str, answer: HttpAnswer) -> None:
        raise NotImplementedError("a lean daemon has no HTTP edge of its own")

    async def refuse(self) -> None:
        """There is nothing to refuse."""

    async def close(self) -> None:
        await self.wire.close()
