"""Asks a running stall over its HTTP edge, for the operators' verbs."""

import asyncio
import json
from typing import Any

from expression import Result

from ..runtime.counters import Counters
from ..runtime.fault import Fault
from ..runtime.httpjob import HttpJob
from ..runtime.httpresponse import HttpResponse
from ..runtime.realnet import RealNet

DIAL_WAIT_US = 2_000_000
ANSWER_WAIT_US = 15_000_000


async def ask(*, address: str, method: str, path: str, body: bytes = b"") -> Result[HttpResponse, Fault]:
    net = RealNet(counters=Counters())
    dialled = await net.dial(address=address, wait_us=DIAL_WAIT_US)
    if dialled.is_error():
        return Result.Error(dialled.error)
    job = HttpJob(method=method, path=path, body=body)
    result = await dialled.ok.pass_job(job=job, wait_us=ANSWER_WAIT_US)
    dialled.ok.close()
    await asyncio.sleep(0)
    return result


def ask_now(
    *, address: str, method: str, path: str, value: Any = None, body: bytes = b""
) -> Result[HttpResponse, Fault]:
    data = body if value is None else json.dumps(value).encode()
    return asyncio.run(ask(address=address, method=method, path=path, body=data))
