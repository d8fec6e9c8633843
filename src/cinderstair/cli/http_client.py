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

DIAL_WAIT_US = 2_000_000
ANSWER_WAIT_US = 15_000_000


async def ask(*, address: str, method: str, path: str, body: bytes = b"") -> Result[HttpResponse, CinderstairError]:
    """Sends one request on a connection of its own; NO_RESPONSE where nobody knows whether it was served."""
    net = RealNet(counters=Counters())
    dialled = await net.dial(address=address, wait_us=DIAL_WAIT_US)
    if dialled.is_error():
        return Result.Error(dialled.error)
    request = HttpRequest(method=method, path=path, body=body)
    result = await dialled.ok.send_request(request=request, wait_us=ANSWER_WAIT_US)
    dialled.ok.close()
    # lets the transport close before the loop ends
    await asyncio.sleep(0)
    return result


def ask_now(
    *, address: str, method: str, path: str, value: Any = None, body: bytes = b""
) -> Result[HttpResponse, CinderstairError]:
    """As `ask`, from code that runs no event loop.

    :param value: sent as JSON in place of `body`, where it isn't None
    """
    data = body if value is None else json.dumps(value).encode()
    return asyncio.run(ask(address=address, method=method, path=path, body=data))
