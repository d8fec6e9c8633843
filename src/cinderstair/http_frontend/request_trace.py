"""Records trace spans of the HTTP proxy's requests."""

from ..runtime.context import Context
from ..runtime.http_response import HttpResponse
from .request import Request

# statuses from this one on mark a span as failed
FIRST_SERVER_ERROR = 500


def trace_request(*, ctx: Context, request: Request, response: HttpResponse) -> None:
    """Records a span for a session's request if tracing is enabled; heartbeats and probes are left out as noise."""
    if ctx.traces is None or not request.session_id:
        return
    took_us = ctx.now_us() - request.start_us
    attributes: dict[str, str | int] = {
        "cinderstair.kind": request.kind,
        "cinderstair.site": ctx.site,
        "cinderstair.database": "" if request.session is None else request.session.database,
        "http.response.status_code": response.status,
    }
    ctx.traces.span(
        name=request.verb,
        wall_us=ctx.wall_us() - took_us,
        took_us=took_us,
        attributes=attributes,
        failed=response.status >= FIRST_SERVER_ERROR,
    )
