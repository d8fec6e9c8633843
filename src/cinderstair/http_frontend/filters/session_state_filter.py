"""Opens and closes sessions and changes their values and prepared texts."""

from dataclasses import replace
from typing import Any

from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request
from ..session_replicator import SessionReplicator
from ..sessions import Sessions
from ..view import View

# limit per session of values, and of prepared texts
MAX_ENTRIES = 256
# replication timeout for a change without a deadline of its own
REPLICATE_WAIT_US = 1_000_000


class SessionStateFilter(RejectMixin):
    """Answers the requests that change a session and need no backend."""

    def __init__(
        self, *, ctx: Context, sessions: Sessions, view: View, session_replicator: SessionReplicator
    ) -> None:
        self.session_replicator = session_replicator
        self.ctx = ctx
        self.sessions = sessions
        self.view = view

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Answers by the verb; None for statements and transactions."""
        if request.verb == "open":
            return await self._open(request=request)
        if request.verb == "close":
            self.sessions.close(session=request.bound)
            return self.done()
        if request.verb == "values":
            return await self._values(request=request)
        if request.verb == "prepare":
            return await self._prepare(request=request)
        if request.verb == "unprepare":
            prepared = {name: text for name, text in request.bound.prepared.items() if name != request.name}
            return await self._change(request=request, values=request.bound.values, prepared=prepared)
        return None

    async def _open(self, *, request: Request) -> HttpResponse:
        database = request.body.get("database")
        configuration = self.view.configuration
        if configuration is None or not isinstance(database, str) or database not in configuration.databases:
            return self.reject(kind=ErrorCode.UNKNOWN_DATABASE, reason=f"no database '{database}'")
        session = self.sessions.add(database=str(database))
        if session is None:
            return self.reject(
                kind=ErrorCode.OVERLOADED, reason="the maximum number of sessions is open at this HTTP proxy"
            )
        session.busy = True
        try:
            stored = await self.session_replicator.replicate(session=session, until_us=request.until_us)
        finally:
            session.busy = False
        value = {"session": session.handle, "stall": self.ctx.name, "stands": 1 + stored}
        return self.done(value=value, status=201)

    async def _change(self, *, request: Request, values: dict[str, Any], prepared: dict[str, str]) -> HttpResponse:
        """Applies a change after trying to replicate it; `stands` in the response counts the proxies that hold it."""
        session = request.bound
        changed = replace(
            session,
            values=values,
            prepared=prepared,
            tag=session.next_tag(rng=self.ctx.rng),
            previous_tag=session.tag,
            transaction=None,
        )
        stored = await self.session_replicator.replicate(
            session=changed, until_us=request.until_us or self.ctx.now_us() + REPLICATE_WAIT_US
        )
        session.values, session.prepared = values, prepared
        session.tag, session.previous_tag, session.replica_holder = (
            changed.tag,
            changed.previous_tag,
            changed.replica_holder,
        )
        return self.done(value={"session": session.handle, "stands": 1 + stored})

    async def _values(self, *, request: Request) -> HttpResponse:
        values = request.body.get("values")
        if not isinstance(values, dict):
            return self.reject(kind=ErrorCode.MALFORMED, reason="values: an object is needed")
        if len(request.bound.values | values) > MAX_ENTRIES:
            return self.reject(kind=ErrorCode.TOO_LARGE, reason=f"a session can hold at most {MAX_ENTRIES} values")
        # a value set to null is removed
        merged = {key: value for key, value in (request.bound.values | values).items() if value is not None}
        return await self._change(request=request, values=merged, prepared=request.bound.prepared)

    async def _prepare(self, *, request: Request) -> HttpResponse:
        text = request.body.get("text")
        if not isinstance(text, str):
            return self.reject(kind=ErrorCode.MALFORMED, reason="text: a text is needed")
        if len(request.bound.prepared) >= MAX_ENTRIES and request.name not in request.bound.prepared:
            return self.reject(
                kind=ErrorCode.TOO_LARGE, reason=f"a session can hold at most {MAX_ENTRIES} prepared texts"
            )
        return await self._change(
            request=request, values=request.bound.values, prepared={**request.bound.prepared, request.name: text}
        )
