"""An HTTP response, sent by a server or received from a backend."""

import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    """An HTTP response; names of headers are written like Retry-After."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        """Parse the body as JSON; ValueError if it is not."""
        return json.loads(self.body)


def json_response(*, status: int, value: Any, headers: dict[str, str] | None = None) -> HttpResponse:
    """Return a response with the value as compact JSON."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status=status, body=body, headers=headers or {})
