"""Asks a running HTTP proxy over HTTP, for the operators' commands."""

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
    """Sends one request on a connection of its own; NO_RESPONSE where nobody knows whether it was served."""
    net = RealNet(counters=Counters())
    connected = await net.dial(address=address, wait_us=CONNECT_TIMEOUT_US)
    if connected.is_error():
        return Result.Error(connected.error)
    request = HttpRequest(method=method, path=path, body=body)
    result = await connected.ok.send_request(request=request, wait_us=RESPONSE_TIMEOUT_US)
    connected.ok.close()
    # lets the transport close before the loop ends
    await asyncio.sleep(0)
    return result


def request_blocking(
    *, address: str, method: str, path: str, value: Any = None, body: bytes = b""
) -> Result[HttpResponse, CinderstairError]:
    """As `ask`, from code that runs no event loop.

    :param value: sent as JSON in place of `body`, where it isn't None
    """
    data = body if value is None else json.dumps(value).encode()
    return asyncio.run(send_request(address=address, method=method, path=path, body=data))
