"""Sends one job over one channel to a backend, and parses the reply."""

import json
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result

from ..runtime.errors import CinderstairError, ErrorCode
from ..runtime.http_request import HttpRequest
from ..runtime.net import Connection
from .request import Request

FULL = "full"
# with these reasons a backend says that it has not run the job, so that it may be sent again elsewhere
NOT_RUN = frozenset(["term", "notLeading", "emptying", FULL])


@dataclass(frozen=True, kw_only=True)
class Reply:
    """A backend's reply. `reason` and `message` say why it has not run the job; `wrote`: it changed something."""

    ran: bool
    reason: str
    message: str
    rows: list[Any]
    term: int
    position: int
    wrote: bool


def read_reply(*, value: Any) -> Reply:
    """Parses a reply's JSON; raises one of the built-in errors where it is none."""
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
    """Sends the text of a job unchanged, with the session's values beside it."""

    async def send_step(
        self, *, connection: Connection, request: Request, step: str, term: int, wait_us: int
    ) -> Result[Reply, CinderstairError]:
        """Sends one step (`alone`, `begin`, `in`, `commit` or `rollback`) of a term.

        :returns: the reply; an error of the connection, or WIRE_UNSURE where the reply can't be read.
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
            return Error(CinderstairError(code=ErrorCode.WIRE_UNSURE, reason="the backend's answer can't be read"))
