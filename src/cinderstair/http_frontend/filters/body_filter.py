"""Parses the JSON body of a request."""

import json

from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request

MAX_BODY_BYTES = 1024 * 1024
NO_BODY_VERBS = frozenset(["ready", "drain", "counters", "status", "fetch", "close", "unprepare"])
RAW_BODY_VERBS = frozenset(["submit"])


class BodyFilter(RejectMixin):
    """Sets `request.body`, for verbs that have a JSON body."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Rejects a body that is too large or not a JSON object; otherwise None."""
        if len(request.http.body) > MAX_BODY_BYTES:
            return self.reject(kind=ErrorCode.TOO_LARGE, reason=f"the body exceeds {MAX_BODY_BYTES} bytes")
        # a configuration is stored byte for byte, so it is not parsed here
        if request.verb in NO_BODY_VERBS or request.verb in RAW_BODY_VERBS:
            return None
        try:
            body = json.loads(request.http.body)
        except (ValueError, RecursionError) as error:
            return self.reject(kind=ErrorCode.MALFORMED, reason=f"the body is not JSON: {error}")
        if not isinstance(body, dict):
            return self.reject(kind=ErrorCode.MALFORMED, reason="the body is not an object")
        request.body = body
        return None
