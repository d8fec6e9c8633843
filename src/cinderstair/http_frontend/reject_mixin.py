"""Builds the responses of the HTTP proxy: `done`, and errors as listed in `error_responses`."""

from typing import Any

from ..runtime.context import Context
from ..runtime.error_responses import ERROR_RESPONSES
from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.http_response import HttpResponse, json_response


class RejectMixin:
    """Builds and counts responses."""

    ctx: Context

    def reject(self, *, kind: ErrorCode, reason: str, details: dict[str, Any] | None = None) -> HttpResponse:
        """Builds an error response.

        :param details: further fields; `retryAfterUs` (microseconds) overrides the value of the table.
        """
        answer = ERROR_RESPONSES[kind]
        self.ctx.counters.add(name=f"answers.{kind.value}")
        value: dict[str, Any] = {"outcome": answer.outcome, "kind": kind.value, "why": reason}
        headers = {}
        # tells a client that may retry when to do so, instead of holding its request until then
        if answer.retry_after_us:
            retry_us = int((details or {}).get("retryAfterUs", answer.retry_after_us))
            value["retryAfterUs"] = retry_us
            headers["Retry-After"] = str(max(1, -(-retry_us // 1_000_000)))
        return json_response(status=answer.status, value={**value, **(details or {})}, headers=headers)

    def reject_with(self, *, error: CinderstairError) -> HttpResponse:
        """Builds the response for an error value."""
        return self.reject(kind=error.code, reason=error.reason, details=error.details)

    def done(self, *, value: dict[str, Any] | None = None, status: int = 200) -> HttpResponse:
        """Builds the response of a request that succeeded, with further fields."""
        self.ctx.counters.add(name="answers.done")
        return json_response(status=status, value={"outcome": "done", **(value or {})})
