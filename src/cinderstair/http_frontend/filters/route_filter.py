"""Validates a statement's body and rejects kinds that a route denies."""

from ...config.route import KINDS
from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request
from ..view import View


class RouteFilter(RejectMixin):
    """Sets `request.kind`; begin, commit and rollback count as writes."""

    def __init__(self, *, ctx: Context, view: View) -> None:
        self.ctx = ctx
        self.view = view

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Rejects a request that can't be forwarded; otherwise None."""
        configuration = self.view.configuration
        if configuration is None or request.bound.database not in configuration.databases:
            return self.reject(
                kind=ErrorCode.UNKNOWN_DATABASE,
                reason=f"database '{request.bound.database}' is no longer in the configuration",
            )
        if request.verb != "statement":
            request.kind = "write"
            return None
        request.kind = str(request.body.get("kind"))
        if request.kind not in KINDS:
            return self.reject(kind=ErrorCode.UNKNOWN_KIND, reason=f"kind: one of {', '.join(KINDS)}")
        prepared = request.body.get("prepared")
        if prepared is not None and prepared not in request.bound.prepared:
            return self.reject(kind=ErrorCode.UNKNOWN_PREPARED, reason=f"nothing prepared as '{prepared}'")
        if prepared is None and not isinstance(request.body.get("text"), str):
            return self.reject(kind=ErrorCode.MALFORMED, reason="text: a text is needed, or prepared: a name")
        if not isinstance(request.body.get("params", []), list):
            return self.reject(kind=ErrorCode.MALFORMED, reason="params: a list is needed")
        if configuration.route(kind=request.kind, database=request.bound.database).target == "deny":
            return self.reject(kind=ErrorCode.ROUTE_DENIED, reason=f"a route denies kind {request.kind}")
        return None
