"""HTTP client for the platform's promotion endpoint, used by the failover of databases."""

import json

from ..runtime.context import Context
from ..runtime.http_request import HttpRequest

# Timeout for connecting to the platform, in microseconds.
DIAL_WAIT_US = 500_000
# Timeout for the platform's response, in microseconds.
PROMOTE_WAIT_US = 3_000_000
HTTP_OK = 200


class Platform:
    """Requests promotions. Requests are idempotent within a term, so a lost response is handled by a retry."""

    def __init__(self, *, ctx: Context, address: str) -> None:
        """:param address: host and port of the platform's HTTP endpoint."""
        self.ctx = ctx
        self.address = address

    async def promote(self, *, database: str, backend: str, term: int) -> bool:
        """Requests the promotion of a backend to primary of a database in a term; whether the platform accepted it.

        False also if the response was lost; the backend may have been promoted nevertheless.
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
