"""The client of the platform's one service to the product's own failover: promoting a backend."""

import json

from ..runtime.context import Context
from ..runtime.http_request import HttpRequest

# How long connecting to the platform may take, in microseconds.
DIAL_WAIT_US = 500_000
# How long the platform may take to answer, in microseconds.
PROMOTE_WAIT_US = 3_000_000
HTTP_OK = 200


class Platform:
    """Invariant: a request for the same term may be repeated, so a lost answer needs no care but another request."""

    def __init__(self, *, ctx: Context, address: str) -> None:
        """:param address: host and port of the platform's HTTP endpoint."""
        self.ctx = ctx
        self.address = address

    async def promote(self, *, database: str, backend: str, term: int) -> bool:
        """Has a backend become the primary of a database in a term; whether the platform accepted that.

        False also where the answer was lost, so that the backend may be promoted nevertheless.
        """
        dialled = await self.ctx.net.dial(address=self.address, wait_us=DIAL_WAIT_US)
        if dialled.is_error():
            return False
        body = json.dumps({"database": database, "backend": backend, "term": term}).encode()
        result = await dialled.ok.send_request(
            request=HttpRequest(method="POST", path="/promote", body=body), wait_us=PROMOTE_WAIT_US
        )
        dialled.ok.close()
        self.ctx.counters.add(name="promotions.asked")
        return result.is_ok() and result.ok.status == HTTP_OK
