"""Asks a running controller by records, for the operators' commands."""

from dataclasses import dataclass

from expression import Result

from ..runtime.counters import Counters
from ..runtime.errors import CinderstairError
from ..runtime.record_transport import RecordTransport
from ..runtime.unpacker import Unpacker

ANSWER_WAIT_US = 5_000_000


@dataclass(frozen=True, kw_only=True)
class ControllerAnswer:
    """What every answer of a controller begins with.

    :ivar kind: the spelling of an error code; empty where the request was served
    :ivar text: for people
    """

    kind: str
    text: str

    @property
    def message(self) -> str:
        """The error as one line."""
        return f"{self.kind}: {self.text}"


def unpack_answer(*, unpacker: Unpacker) -> ControllerAnswer:
    """The beginning of an answer; raises ValueError where the bytes are none."""
    kind, text = unpacker.text(), unpacker.text()
    return ControllerAnswer(kind=kind, text=text)


def read_answer(*, data: bytes) -> ControllerAnswer:
    """An answer that holds nothing more; raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    answer = unpack_answer(unpacker=unpacker)
    unpacker.done()
    return answer


async def ask(*, address: str, body: bytes) -> Result[bytes, CinderstairError]:
    """Sends one request to one controller; NO_RESPONSE where nobody knows whether it arrived."""
    transport = RecordTransport(counters=Counters())
    try:
        return await transport.request(address=address, body=body, wait_us=ANSWER_WAIT_US)
    finally:
        await transport.close()
