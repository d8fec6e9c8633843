"""A simulated platform: promotes the requested backend and makes the others follow it."""

import json
from typing import Any

from ..runtime.context import Context
from ..runtime.http_request import HttpRequest
from ..runtime.http_response import HttpResponse, json_response

RECONCILE_US = 200_000


class StandInPlatform:
    """Owns the wanted primary of each database; a request of a higher term replaces it, the same one is repeated.

    A request of an older term, or of the same term for another backend, gets 409; an unreachable backend 503.
    """

    def __init__(
        self, *, ctx: Context, address: str, backends: dict[str, dict[str, str]], promotion_us: int = 1_000_000
    ) -> None:
        self.ctx = ctx
        self.address = address
        self.backends = backends
        self.promotion_us = promotion_us
        self.wanted: dict[str, tuple[int, str]] = {}
        self.promotions: list[tuple[int, str, str, int]] = []

    async def start(self) -> None:
        """Serves, and starts to reconcile the backends with the wanted primaries."""
        await self.ctx.net.serve(address=self.address, handler=self.answer)
        self.ctx.spawn(work=self._reconcile(), name="reconcile")

    async def _post(self, *, address: str, path: str, body: dict[str, Any]) -> bool:
        dialled = await self.ctx.net.dial(address=address, wait_us=300_000)
        if dialled.is_error():
            return False
        request = HttpRequest(method="POST", path=path, body=json.dumps(body).encode())
        result = await dialled.ok.send_request(request=request, wait_us=500_000)
        dialled.ok.close()
        return result.is_ok() and result.ok.status == 200

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Serves POST /promote."""
        if request.path != "/promote":
            return json_response(status=404, value={"ok": False})
        body = json.loads(request.body)
        database, backend, term = body["database"], body["backend"], body["term"]
        known = self.wanted.get(database, (0, ""))
        if term < known[0] or (term == known[0] and backend != known[1]):
            return json_response(status=409, value={"ok": False, "why": "superseded by a request of a later term"})
        if term > known[0]:
            self.wanted[database] = (term, backend)
            await self.ctx.sleep(duration_us=self.promotion_us)
        if self.wanted[database] != (term, backend):
            return json_response(status=409, value={"ok": False, "why": "superseded by a request of a later term"})
        address = self.backends[database][backend]
        if not await self._post(address=address, path="/promote", body={"term": term}):
            return json_response(status=503, value={"ok": False, "why": "the backend does not respond"})
        self.promotions.append((self.ctx.now_us(), database, backend, term))
        return json_response(status=200, value={"ok": True})

    async def _reconcile(self) -> None:
        while True:
            for database, (term, leader) in list(self.wanted.items()):
                address = self.backends[database][leader]
                for name, each in self.backends[database].items():
                    if name != leader:
                        work = self._post(address=each, path="/follow", body={"term": term, "leader": address})
                        self.ctx.spawn(work=work, name="follow")
            await self.ctx.sleep(duration_us=RECONCILE_US)
