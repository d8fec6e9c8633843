"""An answer at an HTTP edge."""

import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, kw_only=True)
class HttpResponse:
    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        return json.loads(self.body)


def json_response(*, status: int, value: Any, headers: dict[str, str] | None = None) -> HttpResponse:
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(status=status, body=body, headers=headers or {})
