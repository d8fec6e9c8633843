"""Sends one request to a backend over one channel and parses the reply."""

import json
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.http_request import HttpRequest
from ..runtime.net import Connection
from .request import Request

FULL = "full"
# reasons by which a backend reports that it has not run the request, so it may be sent to another one
NOT_RUN = frozenset(["term", "notLeading", "emptying", FULL])


@dataclass(frozen=True, kw_only=True)
class Reply:
    """A backend's reply.

    `ran` is false where the request was not run or failed: `reason` is then the machine-readable cause and `message`
    its text. `wrote` says whether data was changed, `position` is the log position of `term` after the request.
    """

    ran: bool
    reason: str
    message: str
    rows: list[Any]
    term: int
    position: int
    wrote: bool


def read_reply(*, value: Any) -> Reply:
    """Parses a reply's JSON.

    :raises ValueError, KeyError, TypeError, AttributeError: where the value is not a reply.
    """
    return Reply(
        ran=bool(value["ok"]),
        reason=str(value.get("reason", "")),
        message=str(value.get("why", "")),
        rows=list(value.get("rows", [])),
        term=int(value["term"]),
        position=int(value["position"]),
        wrote=bool(value.get("wrote", False)),
    )


class ForwardMixin:
    """Sends the text of a statement unchanged, together with the session's values."""

    async def send_step(
        self, *, connection: Connection, request: Request, step: str, term: int, wait_us: int
    ) -> Result[Reply, CinderstairError]:
        """Sends one step: `begin`, `commit`, `rollback`, or a statement inside (`in`) or outside (`alone`) of those.

        :returns: the reply; an error of the connection, or NO_RESPONSE where the reply can't be read.
        """
        prepared = request.body.get("prepared")
        body: dict[str, Any] = {
            "step": step,
            "kind": request.kind,
            "term": term,
            "database": request.bound.database,
            "values": request.bound.values,
        }
        if request.verb == "statement":
            body["text"] = request.bound.prepared[prepared] if prepared is not None else request.body["text"]
            body["params"] = request.body.get("params", [])
        http = HttpRequest(method="POST", path="/run", body=json.dumps(body, separators=(",", ":")).encode())
        result = await connection.send_request(request=http, wait_us=max(1, wait_us))
        if result.is_error():
            return Error(result.error)
        try:
            return Ok(read_reply(value=result.ok.json()))
        except (ValueError, KeyError, TypeError, AttributeError):
            return Error(CinderstairError(code=ErrorCode.NO_RESPONSE, reason="the backend's reply can't be parsed"))
