"""Maps a path and a method to a verb."""

import re

from ...runtime.context import Context
from ...runtime.errors import ErrorCode
from ...runtime.http_response import HttpResponse
from ..reject_mixin import RejectMixin
from ..request import Request

SESSION = r"/v1/sessions/(?P<session>[A-Za-z0-9._-]+)"
PATHS = (
    (re.compile(r"^/ready$"), {"GET": "ready"}),
    (re.compile(r"^/drain$"), {"POST": "drain"}),
    (re.compile(r"^/counters$"), {"GET": "counters"}),
    (re.compile(r"^/status$"), {"GET": "status"}),
    (re.compile(r"^/v1/beats$"), {"POST": "beat"}),
    (re.compile(r"^/v1/configuration$"), {"GET": "fetch", "PUT": "submit"}),
    (re.compile(r"^/v1/override$"), {"POST": "override"}),
    (re.compile(r"^/v1/vaults$"), {"POST": "replaceVault"}),
    (re.compile(r"^/v1/sessions$"), {"POST": "open"}),
    (re.compile(rf"^{SESSION}$"), {"DELETE": "close"}),
    (re.compile(rf"^{SESSION}/statements$"), {"POST": "statement"}),
    (re.compile(rf"^{SESSION}/begin$"), {"POST": "begin"}),
    (re.compile(rf"^{SESSION}/commit$"), {"POST": "commit"}),
    (re.compile(rf"^{SESSION}/rollback$"), {"POST": "rollback"}),
    (re.compile(rf"^{SESSION}/values$"), {"PUT": "values"}),
    (
        re.compile(rf"^{SESSION}/prepared/(?P<name>[A-Za-z0-9_.-]+)$"),
        {"PUT": "prepare", "DELETE": "unprepare"},
    ),
)


class PathFilter(RejectMixin):
    """Sets the request's `verb`, `session_id` and `name`."""

    def __init__(self, *, ctx: Context) -> None:
        self.ctx = ctx

    async def answer(self, *, request: Request) -> HttpResponse | None:
        """Rejects unknown paths and wrong methods; else None."""
        for pattern, methods in PATHS:
            match = pattern.match(request.http.path)
            if match is None:
                continue
            verb = methods.get(request.http.method)
            if verb is None:
                return self.reject(
                    kind=ErrorCode.WRONG_METHOD, reason=f"{request.http.path} takes {', '.join(methods)}"
                )
            request.verb = verb
            found = match.groupdict()
            request.session_id, request.name = found.get("session", ""), found.get("name", "")
            return None
        return self.reject(kind=ErrorCode.UNKNOWN_PATH, reason=f"nothing at {request.http.path}")
