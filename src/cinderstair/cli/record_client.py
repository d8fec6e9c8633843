"""Asks a running controller by records, for the operators' commands."""

from dataclasses import dataclass

from expression import Result

from ..runtime.counters import Counters
from ..runtime.errors import CinderstairError
from ..runtime.record_transport import RecordTransport
from ..runtime.unpacker import Unpacker

RESPONSE_TIMEOUT_US = 5_000_000


@dataclass(frozen=True, kw_only=True)
class ControllerResponse:
    """What every answer of a controller begins with.

    :ivar kind: the spelling of an error code; empty where the request was served
    :ivar text: for people
    """

    error_code: str
    text: str

    @property
    def message(self) -> str:
        """The error as one line."""
        return f"{self.error_code}: {self.text}"


def unpack_response(*, unpacker: Unpacker) -> ControllerResponse:
    """The beginning of an answer; raises ValueError where the bytes are none."""
    error_code, text = unpacker.text(), unpacker.text()
    return ControllerResponse(error_code=error_code, text=text)


def read_response(*, data: bytes) -> ControllerResponse:
    """An answer that holds nothing more; raises ValueError where the bytes are none."""
    unpacker = Unpacker(data=data)
    response = unpack_response(unpacker=unpacker)
    unpacker.done()
    return response


async def send_request(*, address: str, body: bytes) -> Result[bytes, CinderstairError]:
    """Sends one request to one controller; NO_RESPONSE where nobody knows whether it arrived."""
    transport = RecordTransport(counters=Counters())
    try:
        return await transport.request(address=address, body=body, wait_us=RESPONSE_TIMEOUT_US)
    finally:
        await transport.close()
