"""The client with which operators' commands send messages to a controller."""

from dataclasses import dataclass

from expression import Result

from ..runtime.counters import Counters
from ..runtime.errors import CinderstairError
from ..runtime.record_transport import RecordTransport
from ..runtime.unpacker import Unpacker

RESPONSE_TIMEOUT_US = 5_000_000


@dataclass(frozen=True, kw_only=True)
class ControllerResponse:
    """The fields that every response of a controller begins with.

    :ivar error_code: the value of an `ErrorCode`; empty if the request succeeded
    :ivar text: the result, or the reason of the error, for people
    """

    error_code: str
    text: str

    @property
    def message(self) -> str:
        """The error as one line for operators."""
        return f"{self.error_code}: {self.text}"


def unpack_response(*, unpacker: Unpacker) -> ControllerResponse:
    """Reads the leading fields of a response.

    :raises ValueError: if the message is malformed
    """
    error_code, text = unpacker.text(), unpacker.text()
    return ControllerResponse(error_code=error_code, text=text)


def read_response(*, data: bytes) -> ControllerResponse:
    """Reads a response that has no further fields.

    :raises ValueError: if the message is malformed
    """
    unpacker = Unpacker(data=data)
    response = unpack_response(unpacker=unpacker)
    unpacker.done()
    return response


async def send_request(*, address: str, body: bytes) -> Result[bytes, CinderstairError]:
    """Sends one request to a controller over a new connection.

    :returns: the response, or NO_RESPONSE if none came and the request may have been handled
    """
    transport = RecordTransport(counters=Counters())
    try:
        return await transport.request(address=address, body=body, wait_us=RESPONSE_TIMEOUT_US)
    finally:
        await transport.close()
