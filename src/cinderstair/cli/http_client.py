"""The HTTP client with which operators' commands send requests to an HTTP proxy."""

import asyncio
import json
from typing import Any

from expression import Result

from ..runtime.counters import Counters
from ..runtime.errors import CinderstairError
from ..runtime.http_request import HttpRequest
from ..runtime.http_response import HttpResponse
from ..runtime.real_net import RealNet

CONNECT_TIMEOUT_US = 2_000_000
RESPONSE_TIMEOUT_US = 15_000_000


async def send_request(
    *, address: str, method: str, path: str, body: bytes = b""
) -> Result[HttpResponse, CinderstairError]:
    """Sends one request over a new connection.

    :returns: the response, whatever its status. Errors: REQUEST_NOT_SENT if the proxy can't be connected to;
        NO_RESPONSE if the request may have been handled
    """
    net = RealNet(counters=Counters())
    connected = await net.dial(address=address, wait_us=CONNECT_TIMEOUT_US)
    if connected.is_error():
        return Result.Error(connected.error)
    request = HttpRequest(method=method, path=path, body=body)
    result = await connected.ok.send_request(request=request, wait_us=RESPONSE_TIMEOUT_US)
    connected.ok.close()
    # Let the transport close before the event loop ends.
    await asyncio.sleep(0)
    return result


def request_blocking(
    *, address: str, method: str, path: str, value: Any = None, body: bytes = b""
) -> Result[HttpResponse, CinderstairError]:
    """Calls `send_request` from code that runs outside an event loop.

    :param value: sent as JSON in place of `body` unless it is None
    """
    data = body if value is None else json.dumps(value).encode()
    return asyncio.run(send_request(address=address, method=method, path=path, body=data))
