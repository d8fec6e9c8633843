"""The platform's one service to us: promoting a backend."""

import json

from ..runtime.context import Context
from ..runtime.http_request import HttpRequest

DIAL_WAIT_US = 500_000
PROMOTE_WAIT_US = 3_000_000


class Platform:
    """Asking twice for the same term is safe, so a lost answer is simply asked for again."""

    def __init__(self, *, ctx: Context, address: str) -> None:
        self.ctx = ctx
        self.address = address

    async def promote(self, *, database: str, backend: str, term: int) -> bool:
        dialled = await self.ctx.net.dial(address=self.address, wait_us=DIAL_WAIT_US)
        if dialled.is_error():
            return False
        body = json.dumps({"database": database, "backend": backend, "term": term}).encode()
        result = await dialled.ok.send_request(
            request=HttpRequest(method="POST", path="/promote", body=body), wait_us=PROMOTE_WAIT_US
        )
        dialled.ok.close()
        self.ctx.counters.add(name="promotions.asked")
        return result.is_ok() and result.ok.status == 200
